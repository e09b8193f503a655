//! A whole small fleet as real processes: platform, engines, services and
//! instances of the product, with generated settings, catalogue and list.
//!
//! Every process is this binary, executed again. With [`Plan::proxied`] each
//! connection to an endpoint and between instances runs through a proxy of
//! its own. Instances may be split over two *views*: each view has a platform
//! and proxies of its own, so that a partition can run between them.

pub mod catalogue;
pub mod list;
pub mod operators;
pub mod plan;
pub mod route;
pub mod start;

pub use plan::Plan;

use crate::process::child::{Child, ChildError};
use crate::standins::admin::{Admin, AdminError};
use catalogue::Catalogue;
use operators::Operators;
use route::Route;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// What can go wrong with a fleet.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FleetError {
    /// {0}
    Child(#[from] ChildError),
    /// {0}
    Admin(#[from] AdminError),
    /// the fleet's directory or ports: {0}
    Io(#[from] io::Error),
    /// {name} was not ready within {seconds} s; its last words: {last_words}
    NotReady {
        /// The instance's name.
        name: String,
        /// How long it was waited for.
        seconds: u64,
        /// The end of its log, since the log goes with the fleet's directory.
        last_words: String,
    },
    /// {name} ended by itself; its last words: {last_words}
    Ended {
        /// The instance's name.
        name: String,
        /// The end of its log, since the log goes with the fleet's directory.
        last_words: String,
    },
}

/// An endpoint of the fleet.
#[derive(Debug)]
pub struct Endpoint {
    /// Its published name.
    pub name: String,
    /// The process; it is gone after a kill.
    pub child: Child,
    /// Where the process itself listens.
    pub address: SocketAddr,
    /// The file that survives its kill.
    pub journal: PathBuf,
    /// What it was started with, to start it again.
    args: Vec<String>,
}

/// An instance of the fleet.
#[derive(Debug)]
pub struct Instance {
    /// Its published name.
    pub name: String,
    /// The process, while there is one.
    pub child: Child,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers reach the process itself.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Which view it belongs to.
    pub view: usize,
}

/// What a part of the fleet sees: a platform and ways to all others.
#[derive(Debug)]
pub struct View {
    /// The platform's process.
    pub child: Child,
    /// Where the platform itself listens.
    pub platform: SocketAddr,
    /// The way to the platform.
    pub to_platform: Route,
    /// The ways to the endpoints, in the order of [`Fleet::endpoints`].
    pub to_endpoints: Vec<Route>,
    /// The ways to the instances, in the order of [`Fleet::instances`].
    pub to_instances: Vec<Route>,
}

/// A running fleet; all of its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// What it was started from.
    pub plan: Plan,
    /// Engines first, then services.
    pub endpoints: Vec<Endpoint>,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Views; one unless the plan says two.
    pub views: Vec<View>,
    /// The admin side of the stand-ins.
    pub admin: Admin,
    /// The operators' side of the instances.
    pub operators: Operators,
    /// The catalogue that was published last.
    pub catalogue: Catalogue,
    /// Names that the next published list calls leaving.
    pub leaving: Vec<String>,
    /// Names that the next published list leaves out.
    pub unlisted: Vec<String>,
    list_revision: u64,
    dir: TempDir,
}

/// How long an instance may take until it serves.
pub const READY_LIMIT: Duration = Duration::from_secs(30);
/// How often an instance is asked whether it serves.
const READY_POLL: Duration = Duration::from_millis(20);

impl Fleet {
    /// Returns the directory with settings, logs and journals.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Keeps the directory after the fleet's end, for a look at the logs.
    pub fn keep_dir(&mut self) -> &Path {
        self.dir.disable_cleanup(true);
        self.dir.path()
    }

    /// Waits until instance `index` serves.
    pub async fn ready(&mut self, index: usize) -> Result<(), FleetError> {
        let deadline = tokio::time::Instant::now() + READY_LIMIT;
        loop {
            let instance = &mut self.instances[index];
            // Looked at first: an instance that found its port taken has ended, and the one
            // that took it, of this fleet or another, may answer that it is ready.
            if instance.child.ended().is_some() {
                return Err(FleetError::Ended {
                    name: instance.name.clone(),
                    last_words: instance.child.last_words(),
                });
            }
            let operators = &self.operators;
            if operators.is_ready(instance.operators, &instance.name).await {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(FleetError::NotReady {
                    name: instance.name.clone(),
                    seconds: READY_LIMIT.as_secs(),
                    last_words: instance.child.last_words(),
                });
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }

    /// Waits until a catalogue revision is in force at every instance.
    pub async fn catalogue_in_force(&mut self, revision: u64) -> Result<(), FleetError> {
        let deadline = tokio::time::Instant::now() + READY_LIMIT;
        for instance in &self.instances {
            loop {
                let status = self.operators.status(instance.operators).await;
                if status.is_ok_and(|it| it.catalogue.revision == revision) {
                    break;
                }
                if tokio::time::Instant::now() >= deadline {
                    return Err(FleetError::NotReady {
                        name: instance.name.clone(),
                        seconds: READY_LIMIT.as_secs(),
                        last_words: instance.child.last_words(),
                    });
                }
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until every instance serves.
    pub async fn all_ready(&mut self) -> Result<(), FleetError> {
        for index in 0..self.instances.len() {
            self.ready(index).await?;
        }
        Ok(())
    }

    /// Publishes the next revision of the list in every view.
    pub async fn publish_list(&mut self) -> Result<(), FleetError> {
        self.list_revision += 1;
        for view in 0..self.views.len() {
            let bytes = list::json(self, view, self.list_revision);
            self.write(view, "instances", bytes, self.list_revision)
                .await?;
        }
        Ok(())
    }

    /// Publishes other bytes in place of the list, for example half of one.
    pub async fn publish_list_bytes(&mut self, bytes: Vec<u8>) -> Result<(), FleetError> {
        self.list_revision += 1;
        for view in 0..self.views.len() {
            self.write(view, "instances", bytes.clone(), self.list_revision)
                .await?;
        }
        Ok(())
    }

    /// Returns the bytes that the list would have now.
    pub fn list_bytes(&self) -> Vec<u8> {
        list::json(self, 0, self.list_revision + 1)
    }

    /// Publishes the next revision of the catalogue in every view.
    pub async fn publish_catalogue(&mut self) -> Result<(), FleetError> {
        self.catalogue.revision += 1;
        for view in 0..self.views.len() {
            self.write_catalogue(view, &self.catalogue).await?;
        }
        Ok(())
    }

    /// Publishes an index alone in every view, for example a broken one.
    pub async fn publish_index(&self, index: String, revision: u64) -> Result<(), FleetError> {
        for view in 0..self.views.len() {
            self.write(view, "catalogue-index", index.clone(), revision)
                .await?;
        }
        Ok(())
    }

    /// Publishes a catalogue in one view, as it is.
    pub async fn write_catalogue(
        &self,
        view: usize,
        catalogue: &Catalogue,
    ) -> Result<(), FleetError> {
        // Shards before the index, so that no reader finds an index whose
        // shards are not there yet.
        for (n, shard) in catalogue.shards().into_iter().enumerate() {
            let name = format!("catalogue-shard-{n}");
            self.write(view, &name, shard, catalogue.revision).await?;
        }
        let index = catalogue.index();
        self.write(view, "catalogue-index", index, catalogue.revision)
            .await
    }

    async fn write(
        &self,
        view: usize,
        name: &str,
        bytes: impl Into<Vec<u8>>,
        revision: u64,
    ) -> Result<(), FleetError> {
        let platform = self.views[view].platform;
        self.admin
            .write_value(platform, name, bytes, revision)
            .await?;
        Ok(())
    }
}

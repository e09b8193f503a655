//! Takes a failure back.

use super::CaseError;
use super::kind::Fault;
use super::scene::{SERVICE, Scene};
use crate::proxy::Rules;
use crate::standins::platform::Mode;
use nix::sys::signal::Signal;
use std::time::Duration;

/// How long a planned stop may take: longer than the longest stream of a case.
pub const STOP_LIMIT: Duration = Duration::from_secs(60);
/// How often a stopping instance is looked at.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Takes `fault` back from the target of `slot`.
pub async fn heal(scene: &mut Scene, fault: Fault, slot: usize) -> Result<(), CaseError> {
    match fault {
        Fault::EngineDies => restart_endpoint(scene, slot)?,
        Fault::EnginePauses => scene.fleet.endpoints[slot].child.signal(Signal::SIGCONT)?,
        Fault::EngineLeaves => stay(scene, slot).await?,
        Fault::EngineListedLeaving => list_all(scene, Some(slot)).await?,
        Fault::EngineReclaimed => {
            scene.note_staying(slot);
            restart_endpoint(scene, slot)?;
        }
        Fault::EngineStalls
        | Fault::EngineBusy
        | Fault::EngineErrors
        | Fault::GarbageAnswers
        | Fault::HalfFrames
        | Fault::TruncatedAnswers
        | Fault::CrossedAnswers
        | Fault::DuplicateTokens
        | Fault::ReorderedTokens
        | Fault::CutStreams
        | Fault::LostGenerations => {
            clear_faults(scene, slot).await?;
        }
        Fault::ServiceLosesAnswers | Fault::ServiceCrosses | Fault::ServiceStalls => {
            clear_faults(scene, SERVICE).await?;
        }
        Fault::LinkStalls | Fault::LinkCutMidFrame | Fault::LinkSlow | Fault::AnswersLost => {
            for view in &scene.fleet.views {
                view.to_endpoints[slot].set(Rules::default());
            }
        }
        Fault::LinkFlaps | Fault::PeerLinksFlap => stop_repeating(scene, slot),
        Fault::ServiceDies => restart_endpoint(scene, SERVICE)?,
        Fault::InstanceKilled => start_instance(scene, slot).await?,
        Fault::InstancePaused => scene.fleet.instances[slot].child.signal(Signal::SIGCONT)?,
        Fault::InstanceStopped => {
            note_exit(scene, slot).await?;
            start_instance(scene, slot).await?;
        }
        Fault::HalvesParted | Fault::OneWayPartition => {
            let routes = scene.fleet.views.iter().flat_map(|view| &view.to_instances);
            routes.for_each(|route| route.set(Rules::default()));
        }
        Fault::PlatformDown | Fault::PlatformSilent | Fault::PlatformOlder => {
            for view in &scene.fleet.views {
                scene
                    .fleet
                    .admin
                    .set_mode(view.platform, Mode::Well)
                    .await?;
            }
        }
        Fault::ListEmpty | Fault::ListHalf | Fault::ListShort => list_all(scene, None).await?,
        Fault::CatalogueBroken | Fault::CatalogueLower => {
            // Above the number that was used up by what was published in between.
            scene.fleet.catalogue.revision += 1;
            scene.fleet.publish_catalogue().await?;
        }
        Fault::InstanceRestarted | Fault::FleetRestarts | Fault::CatalogueRaces => {}
    }
    Ok(())
}

async fn clear_faults(scene: &Scene, endpoint: usize) -> Result<(), CaseError> {
    let address = scene.fleet.endpoints[endpoint].address;
    Ok(scene.fleet.admin.clear_faults(address).await?)
}

fn restart_endpoint(scene: &mut Scene, index: usize) -> Result<(), CaseError> {
    let program = scene.program.clone();
    Ok(scene.fleet.restart_endpoint(index, &program)?)
}

async fn stay(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    scene.note_staying(slot);
    let address = scene.fleet.endpoints[slot].address;
    Ok(scene.fleet.admin.set_leaving(address, false).await?)
}

async fn list_all(scene: &mut Scene, staying: Option<usize>) -> Result<(), CaseError> {
    if let Some(slot) = staying {
        scene.note_staying(slot);
    }
    scene.fleet.leaving.clear();
    scene.fleet.unlisted.clear();
    Ok(scene.fleet.publish_list().await?)
}

fn stop_repeating(scene: &mut Scene, slot: usize) {
    let (ended, going): (Vec<_>, Vec<_>) =
        scene.repeating.drain(..).partition(|(of, _)| *of == slot);
    scene.repeating = going;
    ended.iter().for_each(|(_, task)| task.abort());
}

async fn start_instance(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    let program = scene.program.clone();
    scene.fleet.restart_instance(slot, &program)?;
    scene.fleet.ready(slot).await?;
    scene.note_up(slot);
    Ok(())
}

/// Waits for the end of a planned stop and notes its exit code.
pub async fn note_exit(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    let deadline = tokio::time::Instant::now() + STOP_LIMIT;
    let instance = &mut scene.fleet.instances[slot];
    while instance.child.ended().is_none() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(STOP_POLL).await;
    }
    let code = instance.child.ended().and_then(|status| status.code());
    instance.child.kill();
    let stops = scene.notes.stops.iter_mut().rev();
    if let Some(stop) = stops
        .into_iter()
        .find(|stop| stop.instance == instance.name)
    {
        stop.exit_code = code;
    }
    Ok(())
}

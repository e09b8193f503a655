//! Lets a failure strike.

use super::CaseError;
use super::kind::Fault;
use super::scene::{SERVICE, Scene};
use crate::checker::PlannedStop;
use crate::proxy::Rules;
use crate::standins::engine::fault::{Fault as EngineFault, FaultRule};
use crate::standins::journal::now_us;
use crate::standins::platform::Mode;
use crate::standins::service::{ServiceFault, ServiceRule};
use nix::sys::signal::Signal;
use std::time::Duration;

/// How many attempts a fault inside an engine strikes.
const STRUCK_ATTEMPTS: u32 = 30;
/// The token at which a fault inside a stream strikes.
const STRUCK_TOKEN: u32 = 2;
/// How many calls a fault inside a service strikes.
const STRUCK_CALLS: u32 = 15;
/// Notice that a reclaimed engine gives.
const RECLAIM_NOTICE: Duration = Duration::from_secs(1);
/// Time between the revisions that race.
const RACE_INTERVAL: Duration = Duration::from_millis(30);
/// Revisions that race.
const RACING_REVISIONS: usize = 4;
/// How often a flapping link is cut.
const FLAP_INTERVAL: Duration = Duration::from_millis(150);
/// How late late answers are.
const LATE_MS: u64 = 400;

/// Lets `fault` strike the target of `slot`; two failures of a case have
/// different slots and so different engines and instances.
pub async fn inject(scene: &mut Scene, fault: Fault, slot: usize) -> Result<(), CaseError> {
    match fault {
        Fault::EngineDies => scene.fleet.endpoints[slot].child.kill(),
        Fault::EnginePauses => scene.fleet.endpoints[slot].child.signal(Signal::SIGSTOP)?,
        Fault::EngineStalls => engine(scene, slot, EngineFault::Stall).await?,
        Fault::EngineLeaves => leave(scene, slot).await?,
        Fault::EngineListedLeaving => list_leaving(scene, slot).await?,
        Fault::EngineReclaimed => reclaim(scene, slot).await?,
        Fault::EngineBusy => engine(scene, slot, EngineFault::RefuseBusy).await?,
        Fault::EngineErrors => engine(scene, slot, EngineFault::ServerError).await?,
        Fault::GarbageAnswers => engine(scene, slot, EngineFault::Garbage).await?,
        Fault::HalfFrames => engine(scene, slot, EngineFault::HalfFrame).await?,
        Fault::TruncatedAnswers => engine(scene, slot, EngineFault::NoEndMark).await?,
        Fault::CrossedAnswers => engine(scene, slot, EngineFault::OtherId).await?,
        Fault::DuplicateTokens => engine(scene, slot, EngineFault::DuplicateToken).await?,
        Fault::ReorderedTokens => engine(scene, slot, EngineFault::ReorderedToken).await?,
        Fault::CutStreams => engine(scene, slot, EngineFault::Cut).await?,
        Fault::LostGenerations => engine(scene, slot, EngineFault::Lose).await?,
        Fault::LinkStalls => link(scene, slot, Rules::STALLED),
        Fault::LinkCutMidFrame => link(scene, slot, Rules::CUT_ANSWERS),
        Fault::LinkFlaps => flap_endpoint(scene, slot),
        Fault::LinkSlow => link(scene, slot, Rules::delayed(LATE_MS)),
        Fault::AnswersLost => link(scene, slot, Rules::ANSWERS_LOST),
        Fault::ServiceLosesAnswers => service(scene, ServiceFault::LoseAnswer).await?,
        Fault::ServiceCrosses => service(scene, ServiceFault::OtherId).await?,
        Fault::ServiceStalls => service(scene, ServiceFault::Stall).await?,
        Fault::ServiceDies => scene.fleet.endpoints[SERVICE].child.kill(),
        Fault::InstanceKilled => kill_instance(scene, slot),
        Fault::InstanceRestarted => restart_instances(scene, &[slot]).await?,
        Fault::InstancePaused => scene.fleet.instances[slot].child.signal(Signal::SIGSTOP)?,
        Fault::InstanceStopped => stop_instance(scene, slot)?,
        Fault::FleetRestarts => {
            let all: Vec<usize> = (0..scene.fleet.instances.len()).collect();
            restart_instances(scene, &all).await?;
        }
        Fault::HalvesParted => part(scene, Rules::STALLED, Rules::STALLED),
        Fault::OneWayPartition => part(scene, Rules::QUESTIONS_LOST, Rules::ANSWERS_LOST),
        Fault::PeerLinksFlap => flap_peers(scene, slot),
        Fault::PlatformDown => platform(scene, Mode::Down).await?,
        Fault::PlatformSilent => platform(scene, Mode::Silent).await?,
        Fault::PlatformOlder => older_platform(scene, slot).await?,
        Fault::ListEmpty => empty_list(scene).await?,
        Fault::ListHalf => half_list(scene).await?,
        Fault::ListShort => short_list(scene).await?,
        Fault::CatalogueRaces => race_catalogues(scene).await?,
        Fault::CatalogueBroken => broken_catalogue(scene).await?,
        Fault::CatalogueLower => lower_catalogue(scene).await?,
    }
    Ok(())
}

async fn engine(scene: &Scene, slot: usize, fault: EngineFault) -> Result<(), CaseError> {
    let rule = FaultRule {
        fault,
        times: STRUCK_ATTEMPTS,
        after: STRUCK_TOKEN,
        prompt_contains: String::new(),
    };
    let address = scene.fleet.endpoints[slot].address;
    Ok(scene.fleet.admin.engine_fault(address, &rule).await?)
}

async fn service(scene: &Scene, fault: ServiceFault) -> Result<(), CaseError> {
    let rule = ServiceRule {
        fault,
        times: STRUCK_CALLS,
        body_contains: String::new(),
    };
    let address = scene.fleet.endpoints[SERVICE].address;
    Ok(scene.fleet.admin.service_fault(address, &rule).await?)
}

async fn leave(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    let address = scene.fleet.endpoints[slot].address;
    scene.fleet.admin.set_leaving(address, true).await?;
    scene.note_leaving(slot);
    Ok(())
}

async fn list_leaving(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    let name = scene.fleet.endpoints[slot].name.clone();
    scene.fleet.leaving.push(name);
    scene.fleet.publish_list().await?;
    scene.note_leaving(slot);
    Ok(())
}

async fn reclaim(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    leave(scene, slot).await?;
    tokio::time::sleep(RECLAIM_NOTICE).await;
    scene.fleet.endpoints[slot].child.kill();
    Ok(())
}

fn link(scene: &Scene, slot: usize, rules: Rules) {
    for view in &scene.fleet.views {
        view.to_endpoints[slot].set(rules);
    }
}

fn flap_endpoint(scene: &mut Scene, slot: usize) {
    let routes = scene.fleet.views.iter();
    let cutters: Vec<_> = routes
        .filter_map(|view| view.to_endpoints[slot].cutter())
        .collect();
    repeat(scene, slot, move || cutters.iter().for_each(|cut| cut()));
}

fn flap_peers(scene: &mut Scene, slot: usize) {
    let views = scene.fleet.views.iter();
    let cutters: Vec<_> = views
        .flat_map(|view| view.to_instances.iter())
        .filter_map(|route| route.cutter())
        .collect();
    repeat(scene, slot, move || cutters.iter().for_each(|cut| cut()));
}

fn repeat(scene: &mut Scene, slot: usize, action: impl Fn() + Send + 'static) {
    let task = tokio::spawn(async move {
        loop {
            action();
            tokio::time::sleep(FLAP_INTERVAL).await;
        }
    });
    scene.repeating.push((slot, task));
}

fn kill_instance(scene: &mut Scene, slot: usize) {
    scene.note_down(slot);
    scene.fleet.instances[slot].child.kill();
}

async fn restart_instances(scene: &mut Scene, slots: &[usize]) -> Result<(), CaseError> {
    for &slot in slots {
        kill_instance(scene, slot);
    }
    let program = scene.program.clone();
    for &slot in slots {
        scene.fleet.restart_instance(slot, &program)?;
    }
    for &slot in slots {
        scene.fleet.ready(slot).await?;
        scene.note_up(slot);
    }
    Ok(())
}

/// The stop's exit code is noted when it is healed, after the last stream.
fn stop_instance(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    let stop = PlannedStop {
        instance: scene.fleet.instances[slot].name.clone(),
        at_us: now_us(),
        exit_code: None,
    };
    scene.notes.stops.push(stop);
    scene.note_down(slot);
    scene.fleet.instances[slot].child.signal(Signal::SIGTERM)?;
    Ok(())
}

/// Parts the instances of the two views: `first` rules what the first view's
/// instances dial, `second` what the second view's do.
fn part(scene: &Scene, first: Rules, second: Rules) {
    for (number, (view, rules)) in scene.fleet.views.iter().zip([first, second]).enumerate() {
        let others = scene.fleet.instances.iter().zip(&view.to_instances);
        for (_, route) in others.filter(|(instance, _)| instance.view != number) {
            route.set(rules);
        }
    }
}

async fn platform(scene: &Scene, mode: Mode) -> Result<(), CaseError> {
    for view in &scene.fleet.views {
        scene.fleet.admin.set_mode(view.platform, mode).await?;
    }
    Ok(())
}

async fn older_platform(scene: &mut Scene, slot: usize) -> Result<(), CaseError> {
    scene.fleet.publish_catalogue().await?;
    // Long enough for the new revision to be in force before it is hidden again.
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform(scene, Mode::Older).await?;
    restart_instances(scene, &[slot]).await
}

async fn empty_list(scene: &mut Scene) -> Result<(), CaseError> {
    let all = scene.fleet.instances.iter().map(|i| i.name.clone());
    let endpoints = scene.fleet.endpoints.iter().map(|e| e.name.clone());
    scene.fleet.unlisted = all.chain(endpoints).collect();
    Ok(scene.fleet.publish_list().await?)
}

async fn half_list(scene: &mut Scene) -> Result<(), CaseError> {
    let mut bytes = scene.fleet.list_bytes();
    bytes.truncate(bytes.len() / 2);
    Ok(scene.fleet.publish_list_bytes(bytes).await?)
}

async fn short_list(scene: &mut Scene) -> Result<(), CaseError> {
    let rest = scene.fleet.instances.iter().skip(1);
    let rest = rest.map(|instance| instance.name.clone());
    let engines = scene.fleet.endpoints.iter().skip(1).take(SERVICE - 1);
    let engines = engines.map(|endpoint| endpoint.name.clone());
    scene.fleet.unlisted = rest.chain(engines).collect();
    Ok(scene.fleet.publish_list().await?)
}

async fn race_catalogues(scene: &mut Scene) -> Result<(), CaseError> {
    for _ in 0..RACING_REVISIONS {
        scene.fleet.publish_catalogue().await?;
        tokio::time::sleep(RACE_INTERVAL).await;
    }
    Ok(())
}

async fn broken_catalogue(scene: &mut Scene) -> Result<(), CaseError> {
    scene.fleet.catalogue.revision += 1;
    let revision = scene.fleet.catalogue.revision;
    let index = scene.fleet.catalogue.index();
    let broken = index.replace("class = \"urgent\"", "class = \"urgnet\"");
    Ok(scene.fleet.publish_index(broken, revision).await?)
}

async fn lower_catalogue(scene: &mut Scene) -> Result<(), CaseError> {
    scene.fleet.publish_catalogue().await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut lower = scene.fleet.catalogue.clone();
    lower.revision -= 1;
    let above = scene.fleet.catalogue.revision + 1;
    Ok(scene.fleet.publish_index(lower.index(), above).await?)
}

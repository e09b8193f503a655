//! At most once between real processes: what the services' journals say ran,
//! against what the callers were told.

use nix::sys::signal::Signal;
use oriolemux_bench::fleet::catalogue::{LOOKUP, SALE, SCHOOL_KEY};
use oriolemux_bench::fleet::{Fleet, Plan};
use oriolemux_bench::load::{CallRequest, Caller, CallerEnding, Received};
use oriolemux_bench::proxy::Rules;
use oriolemux_bench::standins::journal::{self, Fact};
use oriolemux_bench::standins::service::{ServiceFault, ServiceRule};
use oriolemux_core::keys::KeyHash;
use oriolemux_core::rendezvous::{self, Candidate};
use oriolemux_core::{InstanceKey, WorkspaceKey};
use rstest::rstest;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longer than any test waits when all is well.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long a call runs: long enough that concurrent repeats overlap it.
const SERVICE_ARGS: &str = "--call-ms 400";

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_oriolemux-bench"))
}

fn plan() -> Plan {
    Plan::default()
        .with_instances(4)
        .with_services(2)
        .with_service_args(SERVICE_ARGS)
        .with_short_claims()
}

async fn fleet() -> Fleet {
    started(plan()).await
}

async fn started(plan: Plan) -> Fleet {
    let mut fleet = Fleet::start(plan, program()).await.expect("starts");
    fleet.all_ready().await.expect("every instance serves");
    fleet
}

/// What binds a call's repeats.
#[derive(Clone, Debug)]
enum Name {
    None,
    Key(String),
    Ticket(String),
}

fn sale(body: &str, name: &Name) -> CallRequest {
    let (idempotency_key, ticket) = match name.clone() {
        Name::None => (None, None),
        Name::Key(key) => (Some(key), None),
        Name::Ticket(ticket) => (None, Some(ticket)),
    };
    CallRequest {
        entry: SALE.to_owned(),
        body: body.to_owned(),
        idempotency_key,
        ticket,
    }
}

async fn send(fleet: &Fleet, instance: usize, call: &CallRequest) -> Received {
    let caller = Caller::new(SCHOOL_KEY).expect("a client");
    caller.call(fleet.instances[instance].callers, call).await
}

async fn draw(fleet: &Fleet, instance: usize) -> Name {
    let caller = Caller::new(SCHOOL_KEY).expect("a client");
    let address = fleet.instances[instance].callers;
    Name::Ticket(caller.ticket(address).await.expect("a ticket"))
}

/// Returns all that the endpoints wrote down.
fn facts(fleet: &Fleet) -> Vec<Fact> {
    let journals = fleet.endpoints.iter().map(|it| journal::read(&it.journal));
    let entries = journals.flat_map(|it| it.expect("a journal"));
    entries.map(|it| it.fact).collect()
}

/// Returns the attempts that arrived at a service with this body.
fn arrivals(fleet: &Fleet, body: &str) -> Vec<String> {
    let arrived = facts(fleet).into_iter().filter_map(|fact| match fact {
        Fact::Arrived {
            attempt, prompt, ..
        } if prompt == body => Some(attempt),
        _ => None,
    });
    arrived.collect()
}

/// Returns how often a service truly ran a call with this body.
fn runs(fleet: &Fleet, body: &str) -> usize {
    let attempts = arrivals(fleet, body);
    let ran =
        |fact: &Fact| matches!(fact, Fact::Accepted { attempt, .. } if attempts.contains(attempt));
    facts(fleet).iter().filter(|it| ran(it)).count()
}

/// Returns reason and outcome of an error.
fn told(received: &Received) -> (&str, &str) {
    match &received.ending {
        CallerEnding::Error {
            reason, outcome, ..
        } => (reason, outcome),
        other => panic!("no error: {other:?}"),
    }
}

/// Whether nothing was decided on the name yet: the home of a key is not sure
/// right after the start, and the links to it are only being made.
fn is_unsure(received: &Received) -> bool {
    matches!(&received.ending, CallerEnding::Error { reason, .. }
        if matches!(reason.as_str(), "key_home_unsure" | "home_silent"))
}

/// Sends the call to all `instances` at once.
async fn send_to(fleet: &Fleet, instances: &[usize], call: &CallRequest) -> Vec<Received> {
    let sends = instances.iter().map(|&n| send(fleet, n, call));
    futures_util::future::join_all(sends).await
}

/// Sends the call to all `instances` at once, and again for as long as no
/// answer decides on its name, as a caller that is told "unknown" does.
async fn send_at_once(fleet: &Fleet, instances: &[usize], call: &CallRequest) -> Vec<Received> {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let answers = send_to(fleet, instances, call).await;
        if !answers.iter().all(is_unsure) {
            return answers;
        }
        assert_eq!(runs(fleet, &call.body), 0, "unsure, but it ran");
        assert!(Instant::now() < deadline, "still unsure: {answers:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Sends the call to all `instances` at once, and again until one of them runs it. A short claim
/// may expire while its request waits for one unreachable home after the other; its caller is
/// told "unknown", and nothing may have run.
async fn until_granted(fleet: &Fleet, instances: &[usize], call: &CallRequest) -> Vec<Received> {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let answers = send_at_once(fleet, instances, call).await;
        if answers.iter().any(Received::is_complete) {
            return answers;
        }
        assert!(
            answers.iter().all(|it| told(it).1 == "unknown"),
            "{answers:?}"
        );
        assert_eq!(runs(fleet, &call.body), 0, "{answers:?}");
        assert!(Instant::now() < deadline, "never granted: {answers:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Waits until a service runs a call with this body.
async fn until_it_runs(fleet: &Fleet, body: &str) {
    let deadline = Instant::now() + PATIENCE;
    while runs(fleet, body) == 0 {
        assert!(Instant::now() < deadline, "it never ran");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Symptom: one shirt is sold twice. Sequence: a caller's screen sends its
/// order again while the first is on its way, and the balancer hands each copy
/// to another instance. Cause: instances that know nothing of each other.
#[rstest]
#[case::key(false)]
#[case::ticket(true)]
#[tokio::test(flavor = "multi_thread")]
async fn copies_sent_at_once_run_once(#[case] by_ticket: bool) {
    let fleet = fleet().await;
    let name = match by_ticket {
        true => draw(&fleet, 0).await,
        false => Name::Key("order-1".to_owned()),
    };
    let call = sale("one shirt", &name);

    let answers = send_at_once(&fleet, &[1, 2, 3], &call).await;

    assert_eq!(runs(&fleet, &call.body), 1, "{answers:?}");
    let whole = answers.iter().filter(|it| it.is_complete()).count();
    assert_eq!(whole, 1, "{answers:?}");
    for copy in answers.iter().filter(|it| !it.is_complete()) {
        let truthful = match told(copy) {
            ("already_running" | "key_home_unsure" | "home_silent", "unknown") => true,
            ("already_ran", outcome) => outcome == "complete",
            _ => false,
        };
        assert!(truthful, "{copy:?}");
    }
    assert_eq!(once_it_ended(&fleet, &call).await, "complete");
    assert_eq!(runs(&fleet, &call.body), 1);
}

/// Repeats the call until its end is known where its name was granted, which
/// may be a moment after its caller has the answer; returns the outcome.
async fn once_it_ended(fleet: &Fleet, call: &CallRequest) -> String {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let repeat = send(fleet, 0, call).await;
        match told(&repeat) {
            ("already_ran", outcome) => return outcome.to_owned(),
            other => assert_eq!(other, ("already_running", "unknown")),
        }
        assert!(Instant::now() < deadline, "its end is never told");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Symptom: an order is told "not run" or runs again after an instance was
/// lost. Sequence: an instance has sent the order to a service and is killed;
/// the caller's connection breaks, and its repeats reach other instances, and
/// with a ticket the instance's next life. Cause: nobody is left who knows what
/// became of it.
#[rstest]
#[case::key(false)]
#[case::ticket(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_after_its_instance_was_killed_runs_nothing(#[case] by_ticket: bool) {
    let mut fleet = fleet().await;
    let name = match by_ticket {
        true => draw(&fleet, 3).await,
        false => settled_key(&fleet).await,
    };
    let call = sale("one shirt", &name);
    tokio::select! {
        received = send(&fleet, 0, &call) => panic!("answered: {received:?}"),
        () = until_it_runs(&fleet, &call.body) => {}
    }
    fleet.instances[0].child.kill();

    for round in 0..8 {
        let repeat = send(&fleet, 1 + round % 3, &call).await;
        assert_eq!(told(&repeat).1, "unknown", "{repeat:?}");
        sleep(Duration::from_millis(200)).await;
    }
    if by_ticket {
        // Beyond the time for which outcomes are remembered.
        fleet.restart_instance(0, program()).expect("starts again");
        fleet.ready(0).await.expect("serves again");
        for round in 0..12 {
            let repeat = send(&fleet, round % 4, &call).await;
            assert_eq!(told(&repeat).1, "unknown", "{repeat:?}");
            sleep(Duration::from_millis(400)).await;
        }
    }

    assert_eq!(runs(&fleet, &call.body), 1);
}

/// Symptom: one shirt is sold twice. Sequence: the process that grants the
/// name is frozen; copies of the order are refused, then it wakes and finds
/// their claims in its sockets, while further copies arrive. Cause: a grant to
/// a request that was answered long ago, beside one to a copy that runs.
#[rstest]
#[case::key(false)]
#[case::ticket(true)]
#[tokio::test(flavor = "multi_thread")]
async fn copies_around_a_frozen_granter_run_once(#[case] by_ticket: bool) {
    let fleet = fleet().await;
    let name = match by_ticket {
        true => draw(&fleet, 1).await,
        false => settled_key(&fleet).await,
    };
    let call = sale("one shirt", &name);
    let granter = &fleet.instances[1].child;
    granter.signal(Signal::SIGSTOP).expect("is told to freeze");
    until_frozen(granter.pid()).await;

    let frozen = send_to(&fleet, &[0, 2, 3], &call).await;

    for copy in &frozen {
        assert_eq!(told(copy).1, "unknown", "{copy:?}");
    }
    assert_eq!(runs(&fleet, &call.body), 0);
    granter.signal(Signal::SIGCONT).expect("wakes");
    let deadline = Instant::now() + PATIENCE;
    let mut whole = 0;
    while whole == 0 {
        let answers = send_to(&fleet, &[0, 2, 3], &call).await;
        whole += answers.iter().filter(|it| it.is_complete()).count();
        for copy in answers.iter().filter(|it| !it.is_complete()) {
            let truthful = matches!(told(copy), (_, "unknown") | ("already_ran", "complete"));
            assert!(truthful, "{copy:?}");
        }
        assert!(runs(&fleet, &call.body) <= 1, "{answers:?}");
        assert!(Instant::now() < deadline, "never granted: {answers:?}");
    }
    assert_eq!((whole, runs(&fleet, &call.body)), (1, 1));
}

/// Waits until no thread of a process runs any more. On a busy machine that
/// is a while after the signal, and until then the process answers.
async fn until_frozen(pid: u32) {
    let deadline = Instant::now() + PATIENCE;
    while !is_frozen(pid).expect("the process is there") {
        assert!(Instant::now() < deadline, "it never froze");
        sleep(Duration::from_millis(1)).await;
    }
}

fn is_frozen(pid: u32) -> std::io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let status = std::fs::read_to_string(thread?.path().join("status"))?;
        let state = status.lines().find(|it| it.starts_with("State:"));
        if !state.is_some_and(|it| it.contains("T (stopped)")) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Symptom: both sides of a partition sell one shirt. Sequence: all links
/// between instances stall; copies of one order reach all of them, before and
/// after the stall is noticed. Cause: an instance that cannot ask the one that
/// grants the name decides by itself.
#[rstest]
#[case::key(false)]
#[case::ticket(true)]
#[tokio::test(flavor = "multi_thread")]
async fn copies_in_a_fleet_without_links_run_once(#[case] by_ticket: bool) {
    let fleet = started(plan().proxied()).await;
    let name = match by_ticket {
        true => draw(&fleet, 1).await,
        false => settled_key(&fleet).await,
    };
    let call = sale("one shirt", &name);
    set_links(&fleet, Rules::STALLED);

    for _ in 0..3 {
        for copy in send_to(&fleet, &[0, 2, 3], &call).await {
            assert_eq!(told(&copy).1, "unknown", "{copy:?}");
        }
    }
    assert_eq!(runs(&fleet, &call.body), 0);
    let granted = until_granted(&fleet, &[1, 3, 0, 2], &call).await;

    let whole = granted.iter().filter(|it| it.is_complete()).count();
    assert_eq!((whole, runs(&fleet, &call.body)), (1, 1), "{granted:?}");
    set_links(&fleet, Rules::default());
    let healed = send_to(&fleet, &[0, 2, 3], &call).await;
    assert!(!healed.iter().any(Received::is_complete), "{healed:?}");
    assert_eq!(runs(&fleet, &call.body), 1);
}

/// Sets what the links between instances do.
fn set_links(fleet: &Fleet, rules: Rules) {
    let routes = fleet.views.iter().flat_map(|view| &view.to_instances);
    routes.for_each(|route| route.set(rules));
}

/// Returns an unused key whose home is instance 1 and grants keys.
async fn settled_key(fleet: &Fleet) -> Name {
    let mut keys = (0..).map(|n| format!("order-{n}"));
    let mut next = || keys.find(|key| home_of(fleet, key) == 1).expect("a key");
    let probe = CallRequest {
        entry: LOOKUP.to_owned(),
        ..sale("a probe", &Name::Key(next()))
    };
    let answers = send_at_once(fleet, &[0], &probe).await;
    assert!(answers[0].is_complete(), "{answers:?}");
    Name::Key(next())
}

/// Returns the number of the instance that is home of the school's key.
fn home_of(fleet: &Fleet, key: &str) -> usize {
    let hash = KeyHash::of(WorkspaceKey::of("school"), key);
    let names = fleet.instances.iter().map(|it| InstanceKey::of(&it.name));
    let names: Vec<_> = names.collect();
    let candidates = names.iter().copied().map(Candidate::anywhere);
    let home = rendezvous::first(hash.rank_key(), candidates).expect("instances");
    let number = names.iter().position(|it| *it == home);
    number.expect("one of them")
}

/// Symptom: a sale ran twice although its caller sent it once. Sequence: the
/// service runs it, and its answer is lost in one way or another. Cause: a
/// retry by the node, the HTTP client or its pool, of work that may have run.
#[rstest]
#[case::connection_cut(ServiceFault::LoseAnswer)]
#[case::server_error(ServiceFault::ServerError)]
#[case::crossed(ServiceFault::OtherId)]
#[case::died(ServiceFault::Die)]
#[tokio::test(flavor = "multi_thread")]
async fn a_sale_whose_answer_is_lost_is_sent_once(#[case] fault: ServiceFault) {
    let fleet = fleet().await;
    let lookups = (0..6).map(|n| CallRequest {
        entry: LOOKUP.to_owned(),
        ..sale(&format!("lot {n}"), &Name::None)
    });
    // Leaves kept-alive connections to the services behind.
    for lookup in lookups {
        let answer = send(&fleet, 0, &lookup).await;
        assert!(answer.is_complete(), "{answer:?}");
    }
    let call = sale("one shirt", &Name::None);
    let rule = ServiceRule {
        fault,
        times: 1,
        body_contains: call.body.clone(),
    };
    for service in services(&fleet) {
        let asked = fleet.admin.service_fault(service, &rule).await;
        asked.expect("the fault is asked for");
    }

    let answer = send(&fleet, 0, &call).await;

    assert_eq!(told(&answer).1, "unknown", "{answer:?}");
    assert_eq!(runs(&fleet, &call.body), 1);
    assert_eq!(arrivals(&fleet, &call.body).len(), 1);
}

fn services(fleet: &Fleet) -> impl Iterator<Item = SocketAddr> + '_ {
    let services = fleet.endpoints.iter();
    let services = services.filter(|it| it.name.starts_with("service"));
    services.map(|it| it.address)
}

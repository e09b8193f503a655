//! The checker sees each promise broken, and nothing where none is.
//!
//! Every case starts from the same sound evidence and breaks one thing in it.

use oriolemux_bench::checker::{
    CallerRecord, EndpointRecord, Evidence, LeavingNotice, Outage, PlannedStop, Promise,
    RevisionSeen, Work, check,
};
use oriolemux_bench::load::{CallerEnding, Received};
use oriolemux_bench::standins::journal::{Ending, Entry, Fact};
use oriolemux_bench::standins::text::{self, Sampling};
use rstest::rstest;

const SECOND: u64 = 1_000_000;
const LENGTH: u32 = 8;

fn seed(prompt: &str, attempt: &str) -> u64 {
    Sampling::Random.seed("loom", prompt, attempt)
}

fn entry(at_us: u64, fact: Fact) -> Entry {
    Entry { at_us, fact }
}

/// An attempt that arrived and was taken in.
fn ran(at_us: u64, request: &str, attempt: &str, prompt: &str) -> [Entry; 2] {
    let arrived = Fact::Arrived {
        attempt: attempt.to_owned(),
        request: request.to_owned(),
        prompt: prompt.to_owned(),
        priority: 0,
    };
    let accepted = Fact::Accepted {
        attempt: attempt.to_owned(),
        seed: seed(prompt, attempt),
        length: LENGTH,
    };
    [entry(at_us, arrived), entry(at_us + 1, accepted)]
}

fn received(request: &str, prompt: &str) -> Received {
    let mut received = Received::new(prompt);
    received.request = Some(request.to_owned());
    received
}

/// A caller whose whole answer is the text of `attempt`.
fn answered(request: &str, attempt: &str, prompt: &str) -> CallerRecord {
    let mut got = received(request, prompt);
    got.text = text::prefix(seed(prompt, attempt), LENGTH);
    got.tokens = LENGTH;
    got.ending = CallerEnding::Complete {
        finish_reason: "stop".to_owned(),
        tokens: Some(LENGTH),
    };
    caller(got)
}

/// A caller whose request ended with a typed error.
fn failed(request: &str, prompt: &str, reason: &str, outcome: &str) -> CallerRecord {
    let mut got = received(request, prompt);
    got.ending = error(reason, outcome, 0);
    caller(got)
}

fn error(reason: &str, outcome: &str, delivered: u32) -> CallerEnding {
    CallerEnding::Error {
        status: 503,
        reason: reason.to_owned(),
        outcome: outcome.to_owned(),
        delivered,
        retry_after_ms: None,
    }
}

fn caller(received: Received) -> CallerRecord {
    CallerRecord {
        work: Work::Completion,
        idempotent: true,
        whole: false,
        key: None,
        is_bare_key: false,
        instance: "entry-1".to_owned(),
        sent_us: SECOND,
        ended_us: 3 * SECOND,
        left: false,
        received,
    }
}

fn call(request: &str, body: &str, answer: &str) -> CallerRecord {
    let mut got = received(request, body);
    got.text = answer.to_owned();
    got.tokens = 1;
    got.ending = CallerEnding::Complete {
        finish_reason: String::new(),
        tokens: None,
    };
    CallerRecord {
        work: Work::Call,
        idempotent: false,
        whole: true,
        ..caller(got)
    }
}

fn seen(at_us: u64, revision: Option<u64>) -> RevisionSeen {
    RevisionSeen {
        instance: "entry-1".to_owned(),
        at_us,
        revision,
    }
}

fn error_at(tokens: u32, attempt: &str, record: &mut CallerRecord) {
    record.received.text = text::prefix(seed(&record.received.prompt, attempt), tokens);
    record.received.tokens = tokens;
    record.received.ending = error("replay_diverged", "partial", tokens);
}

/// Position of each record in [`sound`].
const WHOLE_A: usize = 0;
const WHOLE_B: usize = 1;
const REFUSED: usize = 2;
const PARTIAL: usize = 3;
const CALL: usize = 4;
const RETRIED: usize = 5;

/// Evidence in which every promise was kept, with each kind of ending in it.
fn sound() -> Evidence {
    let engine = [
        ran(SECOND, "r-a", "r-a.1", "a"),
        ran(SECOND, "r-b", "r-b.1", "b"),
        ran(SECOND, "r-p", "r-p.1", "p"),
        ran(SECOND, "r-t", "r-t.1", "t"),
        ran(2 * SECOND, "r-t", "r-t.2", "t"),
    ];
    let mut partial = failed("r-p", "p", "", "");
    error_at(3, "r-p.1", &mut partial);
    Evidence {
        endpoints: vec![
            EndpointRecord {
                name: "engine-1".to_owned(),
                entries: engine.concat(),
            },
            EndpointRecord {
                name: "service-1".to_owned(),
                entries: ran(SECOND, "r-s", "r-s.1", "s").to_vec(),
            },
        ],
        callers: vec![
            answered("r-a", "r-a.1", "a"),
            answered("r-b", "r-b.1", "b"),
            failed("r-n", "n", "wait_too_long", "not_run"),
            partial,
            call("r-s", "s", "answer to s"),
            answered("r-t", "r-t.2", "t"),
        ],
        key_memory_us: 3 * SECOND,
        leaving: vec![LeavingNotice {
            endpoint: "engine-1".to_owned(),
            from_us: 2 * SECOND,
            until_us: None,
        }],
        stops: vec![PlannedStop {
            instance: "entry-1".to_owned(),
            at_us: 2 * SECOND,
            exit_code: Some(0),
        }],
        outages: Vec::new(),
        revisions: vec![
            seen(SECOND, Some(1)),
            seen(2 * SECOND, None),
            seen(3 * SECOND, Some(2)),
        ],
        last_revision: Some(2),
    }
}

fn promises(evidence: &Evidence) -> Vec<Promise> {
    let mut promises: Vec<_> = check(evidence).iter().map(|found| found.promise).collect();
    promises.dedup();
    promises
}

type Break = fn(&mut Evidence);

#[test]
fn sound_evidence_has_no_violation() {
    assert_eq!(check(&sound()), []);
}

#[rstest]
#[case::a_token_missing(|e: &mut Evidence| e.callers[WHOLE_A].received.text = text::prefix(seed("a", "r-a.1"), 7))]
#[case::a_token_twice(|e: &mut Evidence| {
    let text = text::prefix(seed("a", "r-a.1"), LENGTH);
    e.callers[WHOLE_A].received.text = text::token(seed("a", "r-a.1"), 0) + &text;
})]
#[case::two_generations_mixed(|e: &mut Evidence| {
    let tail = text::prefix(seed("t", "r-t.2"), LENGTH);
    let cut = text::prefix(seed("t", "r-t.2"), 4).len();
    e.callers[RETRIED].received.text = text::prefix(seed("t", "r-t.1"), 4) + &tail[cut..];
})]
#[case::tokens_in_another_order(|e: &mut Evidence| {
    let seed = seed("a", "r-a.1");
    let mut tokens: Vec<_> = (0..LENGTH).map(|n| text::token(seed, n)).collect();
    tokens.swap(2, 3);
    e.callers[WHOLE_A].received.text = tokens.concat();
})]
#[case::an_answer_that_never_ran(|e: &mut Evidence| e.endpoints[0].entries.drain(..2).for_each(drop))]
#[case::indexes_that_jump(|e: &mut Evidence| e.callers[WHOLE_A].received.indexes_in_order = false)]
#[case::a_wrong_count_of_what_stands(|e: &mut Evidence| {
    e.callers[PARTIAL].received.ending = error("stalled", "partial", 2);
})]
#[case::unknown_although_tokens_came(|e: &mut Evidence| {
    e.callers[PARTIAL].received.ending = error("stalled", "unknown", 0);
})]
#[case::a_part_where_all_or_nothing_was_promised(|e: &mut Evidence| e.callers[PARTIAL].whole = true)]
#[case::one_byte_changed(|e: &mut Evidence| {
    let text = &mut e.callers[WHOLE_A].received.text;
    text.pop();
    text.push('.');
})]
fn a_broken_stream_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::Tokens]);
}

/// A repeat under the key of the partial request, told that so many tokens stand.
fn repeat_of_partial(evidence: &mut Evidence, delivered: u32) {
    evidence.callers[PARTIAL].key = Some("k".to_owned());
    let mut repeat = failed("r-q", "p", "", "");
    repeat.key = Some("k".to_owned());
    repeat.received.ending = error("already_ran", "partial", delivered);
    evidence.callers.push(repeat);
}

#[rstest]
#[case::what_the_first_submission_holds(3, &[])]
#[case::another_count(2, &[Promise::Tokens])]
fn a_repeat_is_told_what_the_first_submission_holds(
    #[case] delivered: u32,
    #[case] expected: &[Promise],
) {
    let mut evidence = sound();
    repeat_of_partial(&mut evidence, delivered);
    assert_eq!(promises(&evidence), expected);
}

#[rstest]
#[case::the_first_submission_has_the_answer(WHOLE_A, &[])]
#[case::no_submission_has_the_answer(PARTIAL, &[Promise::Accounted])]
fn a_repeat_is_told_complete_only_if_it_is(#[case] first: usize, #[case] expected: &[Promise]) {
    let mut evidence = sound();
    evidence.callers[first].key = Some("k".to_owned());
    let prompt = evidence.callers[first].received.prompt.clone();
    let mut repeat = failed("r-q", &prompt, "already_ran", "complete");
    repeat.key = Some("k".to_owned());
    evidence.callers.push(repeat);
    assert_eq!(promises(&evidence), expected);
}

#[rstest]
#[case::texts_exchanged(|e: &mut Evidence| {
    let a = e.callers[WHOLE_A].received.text.clone();
    e.callers[WHOLE_B].received.text = a;
})]
#[case::another_id_in_a_chunk(|e: &mut Evidence| e.callers[WHOLE_A].received.ids_match = false)]
#[case::another_callers_answer(|e: &mut Evidence| e.callers[CALL].received.text = "answer to x".to_owned())]
fn a_crossed_answer_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::OwnAnswer]);
}

#[rstest]
#[case::an_attempt_was_taken_in(|e: &mut Evidence| {
    e.endpoints[0].entries.extend(ran(SECOND, "r-n", "r-n.1", "n"));
})]
#[case::it_ran_after_the_claim(|e: &mut Evidence| {
    e.endpoints[0].entries.extend(ran(9 * SECOND, "r-x", "r-x.1", "n"));
    e.leaving.clear();
})]
#[case::it_ran_under_the_same_key_and_name(|e: &mut Evidence| {
    e.callers[REFUSED].key = Some("k".to_owned());
    e.endpoints[0].entries.extend(ran(SECOND, "r-n", "r-n.1", "n"));
})]
fn a_false_not_run_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::NotRunIsTrue]);
}

#[test]
fn a_refused_copy_of_a_request_that_ran_under_its_key_is_no_false_claim() {
    let mut evidence = sound();
    evidence.callers[REFUSED].key = Some("k".to_owned());
    let mut copy = answered("r-m", "r-m.1", "n");
    copy.key = Some("k".to_owned());
    evidence.callers.push(copy);
    evidence.endpoints[0]
        .entries
        .extend(ran(SECOND, "r-m", "r-m.1", "n"));
    assert_eq!(check(&evidence), []);
}

#[rstest]
#[case::at_the_same_endpoint(|e: &mut Evidence| e.endpoints[1].entries.extend(ran(SECOND, "r-s", "r-s.2", "s")))]
#[case::at_another_endpoint(|e: &mut Evidence| e.endpoints[0].entries.extend(ran(SECOND, "r-s", "r-s.2", "s")))]
#[case::under_another_request(|e: &mut Evidence| {
    e.endpoints[1].entries.extend(ran(SECOND, "r-z", "r-z.1", "s"));
})]
fn work_that_ran_twice_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::AtMostOnce]);
}

/// Runs the call of the sound evidence again, at `at_us` after an end at two seconds.
fn run_again(evidence: &mut Evidence, at_us: u64, is_bare_key: bool) {
    evidence.callers[CALL].key = Some("k".to_owned());
    evidence.callers[CALL].is_bare_key = is_bare_key;
    let ended = Fact::Ended {
        attempt: "r-s.1".to_owned(),
        tokens: 1,
        how: Ending::Whole,
    };
    evidence.endpoints[1].entries.push(entry(2 * SECOND, ended));
    evidence.endpoints[1]
        .entries
        .extend(ran(at_us, "r-u", "r-u.1", "s"));
}

#[rstest]
#[case::a_key_that_is_remembered(4 * SECOND, true, &[Promise::AtMostOnce])]
#[case::a_key_that_is_forgotten(6 * SECOND, true, &[])]
#[case::a_ticket_is_never_forgotten(6 * SECOND, false, &[Promise::AtMostOnce])]
fn a_key_holds_as_long_as_it_is_promised(
    #[case] at_us: u64,
    #[case] is_bare_key: bool,
    #[case] expected: &[Promise],
) {
    let mut evidence = sound();
    run_again(&mut evidence, at_us, is_bare_key);
    assert_eq!(promises(&evidence), expected);
}

#[rstest]
#[case::work_arrives_late(7 * SECOND, None, &[Promise::Leaving])]
#[case::work_arrives_within_the_grace(6 * SECOND, None, &[])]
#[case::work_arrives_after_the_notice_is_withdrawn(9 * SECOND, Some(8 * SECOND), &[])]
fn new_work_at_a_leaving_endpoint_is_seen(
    #[case] at_us: u64,
    #[case] until_us: Option<u64>,
    #[case] expected: &[Promise],
) {
    let mut evidence = sound();
    evidence.leaving[0].until_us = until_us;
    evidence.endpoints[0]
        .entries
        .extend(ran(at_us, "r-a", "r-a.2", "a"));
    assert_eq!(promises(&evidence), expected);
}

#[rstest]
#[case::a_stream_is_ended_by_the_stop(|e: &mut Evidence| {
    e.callers[PARTIAL].received.ending = error("stopped_now", "partial", 3);
})]
#[case::an_outcome_is_lost_by_the_stop(|e: &mut Evidence| {
    e.callers[WHOLE_A] = failed("r-a", "a", "stopping", "unknown");
})]
#[case::the_process_ends_badly(|e: &mut Evidence| e.stops[0].exit_code = Some(5))]
#[case::the_process_never_ends(|e: &mut Evidence| e.stops[0].exit_code = None)]
#[case::a_connection_is_cut(|e: &mut Evidence| {
    let detail = "reset".to_owned();
    e.callers[REFUSED].received.ending = CallerEnding::Broken { connected: true, detail };
    // Accounted for, because the instance had ended; but cut off all the same.
    e.outages.push(Outage {
        instance: "entry-1".to_owned(),
        from_us: 2 * SECOND,
        until_us: 4 * SECOND,
    });
})]
fn a_request_cut_by_a_planned_stop_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::PlannedStop]);
}

#[rstest]
#[case::it_falls(|e: &mut Evidence| e.revisions.insert(1, seen(SECOND + 1, Some(3))))]
#[case::it_falls_over_a_restart(|e: &mut Evidence| {
    e.revisions = vec![seen(1, Some(3)), seen(2, None), seen(3, Some(2))];
})]
#[case::the_last_one_is_not_in_force(|e: &mut Evidence| e.last_revision = Some(3))]
#[case::nothing_is_in_force_in_the_end(|e: &mut Evidence| e.revisions.push(seen(9 * SECOND, None)))]
fn a_catalogue_that_reverts_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::Catalogue]);
}

#[rstest]
#[case::broken_without_a_word(|e: &mut Evidence| {
    let detail = "closed".to_owned();
    e.callers[REFUSED].received.ending = CallerEnding::Broken { connected: true, detail };
    e.stops.clear();
})]
#[case::malformed(|e: &mut Evidence| {
    e.callers[REFUSED].received.ending = CallerEnding::Malformed { detail: "?".to_owned() };
})]
#[case::an_error_without_a_reason(|e: &mut Evidence| {
    e.callers[REFUSED].received.ending = error("", "not_run", 0);
})]
#[case::an_error_without_an_outcome(|e: &mut Evidence| {
    e.callers[REFUSED].received.ending = error("stalled", "", 0);
})]
#[case::work_that_nobody_asked_for(|e: &mut Evidence| {
    e.endpoints[0].entries.extend(ran(SECOND, "r-q", "r-q.1", "q"));
})]
fn an_unaccounted_request_is_seen(#[case] break_it: Break) {
    let mut evidence = sound();
    break_it(&mut evidence);
    assert_eq!(promises(&evidence), [Promise::Accounted]);
}

#[rstest]
#[case::the_instance_was_killed(|e: &mut Evidence| {
    e.stops.clear();
    e.outages.push(Outage {
        instance: "entry-1".to_owned(),
        from_us: 2 * SECOND,
        until_us: 4 * SECOND,
    });
})]
#[case::the_caller_left(|e: &mut Evidence| e.callers[REFUSED].left = true)]
fn a_broken_request_with_a_cause_is_accounted_for(#[case] cause: Break) {
    let mut evidence = sound();
    let detail = "closed".to_owned();
    evidence.callers[REFUSED].received.ending = CallerEnding::Broken {
        connected: true,
        detail,
    };
    cause(&mut evidence);
    assert_eq!(check(&evidence), []);
}

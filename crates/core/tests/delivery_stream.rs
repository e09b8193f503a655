//! Inputs and steps of [`Delivery`] for the stream of one request.

use core::time::Duration;
use oriolemux_core::delivery::{
    Delivery, EndMark, MAX_DUPLICATES, MAX_RESUMES_WITHOUT_TOKEN, ResumeResponse, Step,
    StreamAction,
};
use oriolemux_core::event::{AttemptMode, AttemptUpdate, DeliveryMode, Dispatch, EndpointTarget};
use oriolemux_core::outcome::Refusal;
use oriolemux_core::{
    AttemptId, EndpointKey, Incarnation, InstanceKey, Ran, Reason, RequestId, Time,
};
use rstest::rstest;

const NOW: Time = Time::from_secs(100);

fn attempt_id(number: u32) -> AttemptId {
    let request = RequestId {
        instance: InstanceKey::of("arima-1"),
        incarnation: Incarnation(7),
        seq: 1,
    };
    AttemptId { request, number }
}

fn dispatch(number: u32, mode: AttemptMode) -> Dispatch {
    Dispatch {
        attempt: attempt_id(number),
        endpoint: EndpointTarget {
            key: EndpointKey::of("engine-1"),
            name: "engine-1".into(),
            address: "127.0.0.1:1".parse().unwrap(),
        },
        model: "tailor".into(),
        adapter: None,
        priority: 0,
        max_tokens: 1_000,
        delivery: DeliveryMode::Stream,
        idempotent: true,
        mode,
        send_before: NOW + Duration::from_secs(1),
        stall_limit: Duration::from_secs(5),
    }
}

/// Returns a delivery after the attempt of `dispatch` was sent.
fn sent(dispatch: &Dispatch) -> Delivery {
    let mut delivery = Delivery::new();
    assert_eq!(delivery.start(dispatch, NOW).action, StreamAction::Send);
    delivery
}

fn id(number: u32) -> String {
    attempt_id(number).to_string()
}

fn text(index: u32) -> Vec<u8> {
    format!("t{index} ").into_bytes()
}

/// Feeds tokens `from..to` of attempt `number` and returns the indices of those forwarded.
fn feed(delivery: &mut Delivery, number: u32, from: u32, to: u32) -> Vec<u32> {
    let id = id(number);
    (from..to)
        .filter(|&n| delivery.on_token(&id, n, &text(n)).action == StreamAction::Deliver)
        .collect()
}

fn refusal(reason: &str) -> Refusal {
    let body = format!(r#"{{"error":{{"reason":"{reason}","outcome":"not_run"}}}}"#);
    Refusal::parse(503, Some("1"), body.as_bytes()).unwrap()
}

fn end(index: u32) -> EndMark {
    EndMark {
        index,
        completion_tokens: Some(index),
        prompt_tokens: Some(9),
    }
}

fn failed(step: &Step) -> (Reason, Ran, u32) {
    match step.report {
        Some(AttemptUpdate::Failed {
            reason,
            ran,
            delivered,
            ..
        }) => (reason, ran, delivered),
        ref other => panic!("expected a failure, got {other:?}"),
    }
}

#[test]
fn forwards_every_token_once_and_reports_doubling_checkpoints() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    let mut reports = Vec::new();

    for n in 0..300 {
        let step = delivery.on_token(&id(1), n, &text(n));
        assert_eq!(step.action, StreamAction::Deliver);
        reports.extend(step.report);
    }
    let step = delivery.on_end(&id(1), end(300));

    assert_eq!(step.action, StreamAction::Complete);
    reports.extend(step.report);
    assert_eq!(
        reports,
        [
            AttemptUpdate::FirstToken,
            AttemptUpdate::Progress { tokens: 64 },
            AttemptUpdate::Progress { tokens: 128 },
            AttemptUpdate::Progress { tokens: 256 },
            AttemptUpdate::Complete {
                tokens: 300,
                prompt_tokens: Some(9)
            },
        ]
    );
    assert_eq!(delivery.delivered(), 300);
    assert_eq!(delivery.held().count(), 0);
}

// Guards against a caller that receives tokens twice after a resumption. Tokens 0..5 arrive, the
// connection breaks, and the endpoint sends 3 and 4 again, because its buffer starts before the
// requested index.
#[test]
fn discards_tokens_that_a_resumption_repeats() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 5);

    let step = delivery.on_link_failure();
    delivery.on_resume_response(ResumeResponse::Ok);
    let repeated = delivery.on_token(&id(1), 3, &text(3));
    let handed_on = feed(&mut delivery, 1, 4, 8);

    let resume = StreamAction::Resume {
        after: Some(4),
        delay: Duration::ZERO,
        reason: Reason::ConnectionLost,
    };
    assert_eq!(step.action, resume);
    assert_eq!(
        repeated.action,
        StreamAction::Discard(Reason::DuplicateToken)
    );
    assert_eq!(handed_on, [5, 6, 7]);
}

// Guards against a caller that receives tokens of another caller or a stream with a gap. After a
// few tokens, input arrives that does not belong to the stream, because responses were crossed on a
// connection, reordered or truncated.
#[rstest]
#[case::crossed(|d: &mut Delivery| d.on_token("r-1-2-3.1", 3, b"x"), Reason::WrongAttempt)]
#[case::gap(|d: &mut Delivery| d.on_token(&id(2), 4, b"x"), Reason::TokenGap)]
#[case::earlier_attempt(|d: &mut Delivery| d.on_token(&id(1), 3, b"x"), Reason::LateAnswer)]
#[case::crossed_end(|d: &mut Delivery| d.on_end("", end(3)), Reason::WrongAttempt)]
#[case::end_beyond(|d: &mut Delivery| d.on_end(&id(2), end(4)), Reason::TokenGap)]
#[case::end_too_soon(|d: &mut Delivery| d.on_end(&id(2), end(2)), Reason::Garbage)]
#[case::garbage(|d: &mut Delivery| d.on_garbage(), Reason::Garbage)]
#[case::truncated(|d: &mut Delivery| d.on_closed(), Reason::Truncated)]
#[case::stalled(|d: &mut Delivery| d.on_stall(), Reason::Stalled)]
#[case::link(|d: &mut Delivery| d.on_link_failure(), Reason::ConnectionLost)]
fn unexpected_input_closes_the_connection_and_resumes(
    #[case] input: fn(&mut Delivery) -> Step,
    #[case] reason: Reason,
) {
    let mut delivery = sent(&dispatch(2, AttemptMode::Fresh));
    feed(&mut delivery, 2, 0, 3);

    let step = input(&mut delivery);

    let resume = StreamAction::Resume {
        after: Some(2),
        delay: Duration::ZERO,
        reason,
    };
    assert_eq!(step.action, resume);
    assert_eq!(step.report, None);
    assert_eq!(delivery.delivered(), 3);
}

// Guards against a request that hangs while its connection is reopened endlessly. Each resumption
// succeeds and then breaks without a token, because the link or the endpoint is permanently gone.
#[test]
fn gives_up_after_a_bounded_number_of_resumptions() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 3);

    for _ in 0..MAX_RESUMES_WITHOUT_TOKEN {
        assert!(matches!(
            delivery.on_link_failure().action,
            StreamAction::Resume { .. }
        ));
    }
    let step = delivery.on_link_failure();

    assert_eq!(step.action, StreamAction::Close { cancel: true });
    assert_eq!(failed(&step), (Reason::ConnectionLost, Ran::Maybe, 3));
}

#[test]
fn gives_up_on_endless_duplicates() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 1);

    let act = (0..=MAX_DUPLICATES)
        .map(|_| delivery.on_token(&id(1), 0, b"t").action)
        .last();

    assert!(matches!(
        act,
        Some(StreamAction::Resume {
            reason: Reason::Garbage,
            ..
        })
    ));
}

// Guards against "not run" for work that ran. The request is sent, the connection breaks before any
// response, and the resumption is refused with 503. The refusal is about the resumption, not about
// the send.
#[test]
fn a_refused_resumption_does_not_prove_that_nothing_ran() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    delivery.on_link_failure();

    let first = delivery.on_refused(&refusal("busy"));
    let second = delivery.on_connect_failed();

    assert!(matches!(
        first.action,
        StreamAction::Resume { after: None, .. }
    ));
    assert_eq!(failed(&second), (Reason::ConnectFailed, Ran::Maybe, 0));
}

#[rstest]
#[case::connect(|d: &mut Delivery| d.on_connect_failed(), Reason::ConnectFailed)]
#[case::refused(
    |d: &mut Delivery| d.on_refused(&refusal("leaving")),
    Reason::EndpointLeaving
)]
fn proof_of_not_run_comes_from_the_first_answer(
    #[case] input: fn(&mut Delivery) -> Step,
    #[case] reason: Reason,
) {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));

    let step = input(&mut delivery);

    let (seen, ran, _) = failed(&step);
    assert_eq!(seen, reason);
    assert!(matches!(ran, Ran::No(_)));
    assert_eq!(step.action, StreamAction::Close { cancel: false });
}

// Guards against work that is sent long after its grant expired and the caller stopped waiting. The
// process is paused between the node's decision and the send, so the decision is based on an
// outdated time.
#[test]
fn a_paused_process_sends_nothing() {
    let mut delivery = Delivery::new();

    let step = delivery.start(
        &dispatch(1, AttemptMode::Fresh),
        NOW + Duration::from_secs(60),
    );

    assert_eq!(step.action, StreamAction::Idle);
    let (reason, ran, _) = failed(&step);
    assert_eq!(reason, Reason::PausedTooLong);
    assert!(matches!(ran, Ran::No(_)));
}

// Guards against non-idempotent work that is executed twice. The response of the first attempt is
// lost and a second attempt is started, although the first may have run.
#[test]
fn non_idempotent_work_is_never_sent_twice() {
    let once = |number| Dispatch {
        idempotent: false,
        ..dispatch(number, AttemptMode::Fresh)
    };
    let mut delivery = sent(&once(1));
    delivery.on_endpoint_error();

    let step = delivery.start(&once(2), NOW);

    assert_eq!(step.action, StreamAction::Idle);
    assert_eq!(failed(&step).0, Reason::AlreadyRan);
}

#[test]
fn non_idempotent_work_may_be_sent_again_after_a_definite_refusal() {
    let once = |number| Dispatch {
        idempotent: false,
        ..dispatch(number, AttemptMode::Fresh)
    };
    let mut delivery = sent(&once(1));
    delivery.on_refused(&refusal("busy"));

    let step = delivery.start(&once(2), NOW);

    assert_eq!(step.action, StreamAction::Send);
}

#[test]
fn a_matching_replay_continues_after_the_last_delivered_token() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 5);
    delivery.on_link_failure();
    let lost = delivery.on_resume_response(ResumeResponse::Lost);
    assert_eq!(failed(&lost), (Reason::GenerationLost, Ran::Maybe, 5));

    let step = delivery.start(&dispatch(2, AttemptMode::Replay { delivered: 5 }), NOW);
    let handed_on = feed(&mut delivery, 2, 0, 7);
    let done = delivery.on_end(&id(2), end(7));

    assert_eq!(step.action, StreamAction::Send);
    assert_eq!(handed_on, [5, 6]);
    assert_eq!(done.action, StreamAction::Complete);
    assert_eq!(delivery.delivered(), 7);
}

// Guards against an output that is spliced from two generations. Tokens 0..5 are delivered and the
// engine crashes. A replay on another engine samples a different token 3 or ends before token 5.
// Two generations of one prompt need not be equal.
#[rstest]
#[case::other_token(|d: &mut Delivery| d.on_token(&id(2), 3, b"other"))]
#[case::token_split(|d: &mut Delivery| d.on_token(&id(2), 3, b"t"))]
#[case::ends_early(|d: &mut Delivery| d.on_end(&id(2), end(3)))]
fn a_diverging_replay_ends_with_the_delivered_tokens(#[case] input: fn(&mut Delivery) -> Step) {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 5);
    delivery.on_endpoint_error();
    delivery.start(&dispatch(2, AttemptMode::Replay { delivered: 5 }), NOW);
    feed(&mut delivery, 2, 0, 3);

    let step = input(&mut delivery);

    assert_eq!(step.action, StreamAction::Close { cancel: true });
    assert_eq!(failed(&step), (Reason::ReplayDiverged, Ran::Maybe, 5));
}

#[test]
fn a_replay_must_cover_exactly_what_was_delivered() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 5);
    delivery.on_endpoint_error();

    let fresh = delivery.start(&dispatch(2, AttemptMode::Fresh), NOW);
    let short = delivery.start(&dispatch(3, AttemptMode::Replay { delivered: 4 }), NOW);

    assert_eq!(failed(&fresh).0, Reason::Internal);
    assert_eq!(failed(&short).0, Reason::Internal);
}

#[test]
fn buffered_delivery_holds_back_tokens_until_the_end_mark() {
    let whole = |number| Dispatch {
        delivery: DeliveryMode::Whole,
        ..dispatch(number, AttemptMode::Fresh)
    };
    let mut delivery = sent(&whole(1));
    assert!(feed(&mut delivery, 1, 0, 4).is_empty());
    let lost = delivery.on_endpoint_error();
    assert_eq!(failed(&lost), (Reason::EndpointError, Ran::Maybe, 0));

    delivery.start(&whole(2), NOW);
    feed(&mut delivery, 2, 0, 3);
    assert_eq!(delivery.held().count(), 0);
    let step = delivery.on_end(&id(2), end(3));

    assert_eq!(step.action, StreamAction::Complete);
    let held: Vec<_> = delivery.held().map(<[u8]>::to_vec).collect();
    assert_eq!(held, [text(0), text(1), text(2)]);
    delivery.on_held_delivered();
    assert_eq!((delivery.delivered(), delivery.held().count()), (3, 0));
}

#[test]
fn input_after_the_end_is_discarded() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 2);
    delivery.on_end(&id(1), end(2));

    let token = delivery.on_token(&id(1), 2, b"late");
    let closed = delivery.on_closed();

    assert_eq!(token.action, StreamAction::Discard(Reason::LateAnswer));
    assert_eq!(closed.action, StreamAction::Idle);
}

#[test]
fn a_caller_that_leaves_cancels_the_generation() {
    let mut delivery = sent(&dispatch(1, AttemptMode::Fresh));
    feed(&mut delivery, 1, 0, 2);

    let step = delivery.on_caller_gone();

    assert_eq!(step.action, StreamAction::Close { cancel: true });
    assert_eq!(failed(&step), (Reason::CallerGone, Ran::Maybe, 2));
}

#[test]
fn a_response_of_a_plain_service_must_echo_its_attempt() {
    let call = Dispatch {
        model: String::new(),
        idempotent: false,
        delivery: DeliveryMode::Whole,
        ..dispatch(1, AttemptMode::Fresh)
    };
    let mut right = sent(&call);
    let mut crossed = sent(&call);

    let whole = right.on_call_response(&id(1));
    let other = crossed.on_call_response("r-1-2-3.1");

    assert_eq!(whole.action, StreamAction::Complete);
    assert_eq!(failed(&other), (Reason::WrongAttempt, Ran::Maybe, 0));
}

#[test]
fn a_generation_longer_than_requested_is_stopped() {
    let short = Dispatch {
        max_tokens: 3,
        ..dispatch(1, AttemptMode::Fresh)
    };
    let mut delivery = sent(&short);
    feed(&mut delivery, 1, 0, 3);

    let step = delivery.on_token(&id(1), 3, b"x");

    assert_eq!(failed(&step), (Reason::Garbage, Ran::Maybe, 3));
}

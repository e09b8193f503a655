//! Texts for the words with which log lines name why a request ended.

use oriolemux_gateway::response::{GenerationEnd, Reason, StreamEnd};

/// Returns the text for a word of a log line, if this version knows the word.
pub(super) fn explain(word: &str) -> Option<&'static str> {
    let mut ends = GenerationEnd::all();
    let end = ends.find(|end| end.word() == word)?;
    Some(match end {
        GenerationEnd::Stream(end) => of_stream(end),
        GenerationEnd::Failed(reason) => of_reason(reason),
    })
}

const fn of_stream(end: StreamEnd) -> &'static str {
    match end {
        StreamEnd::Complete => "it went well",
        StreamEnd::CallerLeftEarly => "its caller disconnected before the response began",
        StreamEnd::CallerLeft => "its caller disconnected",
        StreamEnd::EventMissing => "its engine left out an event",
        StreamEnd::NoCopy => "its engine went, and there was no copy to resume from",
        StreamEnd::CopyHolderLeft => {
            "there was a copy, and each engine that held it had left, or its data centre was cordoned"
        }
        StreamEnd::CopyNotTaken => "the engines that were asked to resume it did not",
    }
}

const fn of_reason(reason: Reason) -> &'static str {
    match reason {
        Reason::NoCatalogue => "no catalogue was in force at its instance",
        Reason::NoEntry => "no entry of the catalogue matches its host and path",
        Reason::UnknownKey => "no workspace of the catalogue holds its key",
        Reason::BodyTooLarge => "its body is larger than the catalogue allows",
        Reason::BodyBroken => "its body could not be read to its end",
        Reason::NoSuchEvent => "it names an event that its generation cannot have",
        Reason::NoEndpoint => {
            "no endpoint of its service took requests: there was none, or all were failing or leaving"
        }
        Reason::Cordoned => "the operator closed each data centre that serves it",
        Reason::EndpointsFull => "all endpoints of its service were full",
        Reason::EndpointsLimited => "all endpoints had reached the rate limit that they reported",
        Reason::WaitTooLong => "its body was not complete before its time was over",
        Reason::NotRunAtEndpoint => {
            "the endpoints that it was sent to rejected it and did not run it"
        }
        Reason::NoConnection => "no connection to an endpoint opened",
        Reason::Stopping => "its instance was in a planned stop, and did not send it any more",
        Reason::StopDeadline => "the planned stop of its instance ended first; it may have run",
        Reason::ResponseLost => "it was sent, and no whole response came; it may have run",
        Reason::WrongAttempt => "the response was that of another attempt, and was not passed on",
        Reason::Unsigned => {
            "a success bore no signature of its endpoint, and was not passed on; it may have run"
        }
        Reason::Timeout => "its time was over; it may have run",
        Reason::BudgetSpent => "the fleet's retry budget was spent, so that it was not sent again",
        Reason::NotStopped => {
            "an engine at which it may have run on was reached and did not stop it, so that it did not resume"
        }
        Reason::CrashesEndpoints => "endpoints that began it had crashed",
        Reason::PartCrashesEndpoints => {
            "endpoints had crashed that began requests with a part of its prompt"
        }
        Reason::NoRunLease => {
            "it, or a part of its prompt, is suspected to crash endpoints, and it got no run lease in time"
        }
        Reason::EndpointsBackedOff => "all endpoints had requested a backoff",
        Reason::EndpointsBrittle => {
            "all endpoints were likely to be full, and crash if they reject too many requests"
        }
        Reason::RelayFailed => "a bug ended its handling; report it as a fault",
        Reason::InstanceFull => {
            "its instance had no memory for its body beside those of other requests"
        }
    }
}

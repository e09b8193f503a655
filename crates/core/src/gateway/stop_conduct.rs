//! What engines do with orders to stop runs.
//!
//! A generation that leaves an engine closes its connection before the order to stop it: most engines
//! drop a request whose connection closes, and answer the order without a copy of the last part,
//! which would queue behind other copies. If the engine then does not carry out the order, the
//! generation can go on nowhere until it does. Where that is to be expected, the order is given on the
//! open stream instead, and the generation stays until it is carried out.
//!
//! An engine of which nothing is known is asked first with an order for an attempt that it does not run:
//! it stops nothing, and its answer shows whether orders are carried out.

use super::run_end::{Evidence, REPEAT_AFTER, StopAnswer};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// How long an order that was carried out shows that others are. The generations of an engine that
/// leaves go within half a second of each other.
pub const CARRIED_OUT_TTL: Duration = Duration::from_secs(2);

/// How a generation leaves an engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WayOut {
    /// Close the connection, then order the engine to stop the run.
    CloseFirst,
    /// Order the engine to stop the run, and leave once the order is carried out.
    OrderFirst,
    /// Ask the engine whether it carries out orders; the generation stays until that is known.
    Ask,
    /// Another generation has asked; the generation stays until that is known.
    AwaitAnswer,
}

/// Whether the connection was open when an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderedOn {
    /// The order was given on the open stream, or was for an attempt that the engine does not run.
    OpenStream,
    /// The connection was closed before the order.
    ClosedStream,
}

#[derive(Clone, Copy, Debug, Default)]
struct Conduct {
    /// Whether it went on with a request whose connection was closed.
    keeps_requests: bool,
    /// When it carried out an order last; `None` if it did not carry out the last one.
    carried_out: Option<Time>,
    /// Whether any order was answered, or was not answered in time.
    is_known: bool,
    /// When it was asked, if the answer is outstanding.
    asked: Option<Time>,
}

/// What the engines of this instance's generations did with orders to stop runs.
#[derive(Clone, Debug, Default)]
pub struct StopConduct {
    engines: BTreeMap<EndpointKey, Conduct>,
}

impl StopConduct {
    /// Returns how a generation leaves an engine that leaves.
    pub fn way_out(&self, now: Time, engine: EndpointKey) -> WayOut {
        let Some(conduct) = self.engines.get(&engine) else {
            return WayOut::Ask;
        };
        let is_asked = conduct
            .asked
            .is_some_and(|at| now.since(at) < REPEAT_AFTER * 2);
        match conduct.carried_out {
            _ if conduct.keeps_requests => WayOut::OrderFirst,
            Some(at) if now.since(at) < CARRIED_OUT_TTL => WayOut::CloseFirst,
            None if conduct.is_known => WayOut::OrderFirst,
            _ if is_asked => WayOut::AwaitAnswer,
            _ => WayOut::Ask,
        }
    }

    /// Records that an engine is asked whether it carries out orders.
    pub fn on_asked(&mut self, now: Time, engine: EndpointKey) {
        self.engines.entry(engine).or_default().asked = Some(now);
    }

    /// Records the end of an order to an engine.
    pub fn on_answer(
        &mut self,
        now: Time,
        engine: EndpointKey,
        answer: StopAnswer,
        ordered_on: OrderedOn,
    ) {
        let conduct = self.engines.entry(engine).or_default();
        if answer.evidence() != Evidence::Unreached {
            conduct.asked = None;
        }
        match answer.evidence() {
            // Whether an engine that cannot be reached carries out orders is not known. It is asked
            // again as late as one that does not answer, or its generations would ask without a pause.
            Evidence::Unreached => {}
            Evidence::Ended => {
                conduct.is_known = true;
                conduct.carried_out = Some(now);
                let was_running =
                    matches!(answer, StopAnswer::Stopped | StopAnswer::StoppedWithoutRoom);
                conduct.keeps_requests |= was_running && ordered_on == OrderedOn::ClosedStream;
            }
            Evidence::MayRun | Evidence::Sent => {
                conduct.is_known = true;
                conduct.carried_out = None;
            }
        }
    }

    /// Removes the engines of which `exists` does not hold.
    pub fn retain(&mut self, exists: impl Fn(EndpointKey) -> bool) {
        self.engines.retain(|key, _| exists(*key));
    }

    /// Returns of how many engines something is known.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether nothing is known of any engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

//! One engine works on a generation at a time.

use super::{CONTACT, Evidence, Violation};
use crate::soak::fault::FaultKind;
use crate::soak::record::What;
use core::time::Duration;

/// How long an engine may work on a generation that has gone on at another one.
const WORK_BESIDE: Duration = Duration::from_millis(400);

/// Only what happens to the process that sent a generation excuses work beside another engine: nothing
/// keeps instances from engines here.
pub(super) fn check(seen: &Evidence, patience: f64, found: &mut Vec<Violation>) {
    let bound = WORK_BESIDE.mul_f64(patience);
    for beside in seen.overlaps.iter().filter(|it| it.lasted > bound) {
        let (from, to) = (beside.from, beside.from + beside.lasted);
        let is_excused = seen.timeline.iter().any(|it| {
            let is_of_process = matches!(
                it.what,
                What::Fault {
                    kind: FaultKind::Kill | FaultKind::Stop | FaultKind::Freeze,
                    ..
                }
            );
            is_of_process && it.overlaps(from, to, CONTACT)
        });
        if !is_excused {
            found.push(Violation::Beside {
                endpoint: beside.endpoint.clone(),
                attempt: beside.attempt.clone(),
                lasted: beside.lasted,
            });
        }
    }
}

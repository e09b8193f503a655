//! Line-based deltas between two indexes.
//!
//! Every instance receives hundreds of changes per day. Most change two lines of an index of tens
//! of kilobytes: the revision and one digest. Sending the full index each time would cost a watcher
//! more than a kilobyte per second (`docs/design/catalogue.md`).

use super::message::{Edit, PIECE_BYTES};
use crate::catalogue::MAX_VALUE_BYTES;

/// Maximum number of lines to search ahead for the next equal line.
const SEARCH_WINDOW: usize = 64;

/// Returns the edits that turn `old` into `new`, or `None` if they do not fit into one message.
pub fn diff(old: &str, new: &str) -> Option<Vec<Edit>> {
    let old: Vec<&str> = old.split_inclusive('\n').collect();
    let new: Vec<&str> = new.split_inclusive('\n').collect();
    let mut edits = Vec::new();
    let mut inserted = 0;
    let (mut at_old, mut at_new) = (0, 0);
    while at_old < old.len() || at_new < new.len() {
        let kept = common_prefix(&old[at_old..], &new[at_new..]);
        if kept > 0 {
            edits.push(Edit::Keep(kept as u32));
            at_old += kept;
            at_new += kept;
            continue;
        }
        let (skip, insert) = next_equal(&old[at_old..], &new[at_new..]);
        if skip > 0 {
            edits.push(Edit::Skip(skip as u32));
        }
        if insert > 0 {
            let text = new[at_new..at_new + insert].concat();
            inserted += text.len();
            edits.push(Edit::Insert(text));
        }
        if inserted + edits.len() * size_of::<u64>() > PIECE_BYTES {
            return None;
        }
        at_old += skip;
        at_new += insert;
    }
    Some(edits)
}

fn common_prefix(old: &[&str], new: &[&str]) -> usize {
    old.iter().zip(new).take_while(|(a, b)| a == b).count()
}

/// Returns how many lines to omit and to insert before the next equal line, or all remaining lines
/// if there is none within the window.
fn next_equal(old: &[&str], new: &[&str]) -> (usize, usize) {
    for distance in 1..=SEARCH_WINDOW {
        for skip in 0..=distance {
            let insert = distance - skip;
            let met = old
                .get(skip)
                .is_some_and(|line| new.get(insert) == Some(line));
            if met {
                return (skip, insert);
            }
        }
    }
    (old.len(), new.len())
}

/// Applies edits to `old`. Returns `None` if they do not match it or if the result would exceed
/// [`MAX_VALUE_BYTES`].
pub fn apply(old: &str, edits: &[Edit]) -> Option<String> {
    let mut lines = old.split_inclusive('\n');
    let mut new = String::with_capacity(old.len());
    for edit in edits {
        match edit {
            Edit::Keep(count) => {
                for _ in 0..*count {
                    new.push_str(lines.next()?);
                }
            }
            Edit::Skip(count) => {
                for _ in 0..*count {
                    lines.next()?;
                }
            }
            Edit::Insert(text) => new.push_str(text),
        }
        if new.len() > MAX_VALUE_BYTES {
            return None;
        }
    }
    Some(new)
}

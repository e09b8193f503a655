//! The parts of a prompt that may be to blame for a crash.

use crate::fingerprint::{Fingerprint, PromptPartId};

/// Bound on the parts of one prompt that are followed, the first ones. A caller could name any
/// number of them, and each costs a hash and a look-up for each request.
pub const MAX_PARTS: usize = 16;

/// The parts of one prompt that other prompts may share, in order, each once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    parts: Vec<(Fingerprint, PromptPartId)>,
}

impl PromptParts {
    /// Returns the parts with these names of a prompt for `service`.
    pub fn new(deployment: u64, service: &str, names: &[PromptPartId]) -> Self {
        let mut parts: Vec<(Fingerprint, PromptPartId)> = Vec::new();
        for &name in names.iter().take(MAX_PARTS) {
            if parts.iter().all(|(_, known)| *known != name) {
                let part = Fingerprint::of_prompt_part(deployment, service, name);
                parts.push((part, name));
            }
        }
        PromptParts { parts }
    }

    /// Returns the fingerprints.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = Fingerprint> + Clone {
        self.parts.iter().map(|(part, _)| *part)
    }

    /// Returns the fingerprints with the names that the caller states.
    pub fn named(&self) -> impl Iterator<Item = (Fingerprint, PromptPartId)> {
        self.parts.iter().copied()
    }

    /// Returns whether a part is one of these.
    pub fn contains(&self, part: Fingerprint) -> bool {
        self.iter().any(|it| it == part)
    }
}

//! Reports to operators which endpoints are ejected and which are used again.

use super::Node;
use crate::ids::EndpointKey;
use crate::note::Note;
use std::collections::BTreeSet;

impl Node {
    /// Compares the ejected endpoints of the cells of this node with those already reported to
    /// operators, and reports the difference. An endpoint that left its cell while ejected is not
    /// reported as used again.
    pub(super) fn note_ejections(&mut self) {
        let cells = self.homes.cells.values();
        let ejected: BTreeSet<EndpointKey> = cells.flat_map(|it| it.cell.ejected()).collect();
        if ejected == self.homes.ejected {
            return;
        }
        let noted = core::mem::replace(&mut self.homes.ejected, ejected.clone());
        for &endpoint in ejected.difference(&noted) {
            self.note(Note::EndpointEjected(endpoint));
        }
        for &endpoint in noted.difference(&ejected) {
            let mut cells = self.homes.cells.values();
            if cells.any(|it| it.endpoints.contains(&endpoint)) {
                self.note(Note::EndpointReadmitted(endpoint));
            }
        }
    }
}

//! Callers of the simulated fleet, and the results of their requests.

use super::{KEY, Name, World};
use oriolemux_core::event::{AttemptUpdate, Dispatch, Event, RequestArrival, Work};
use oriolemux_core::fingerprint::{Fingerprint, Identity};
use oriolemux_core::keys::KeyHash;
use oriolemux_core::rendezvous::{self, Candidate};
use oriolemux_core::{AttemptId, InstanceKey, Ran, RequestId, Verdict, WorkspaceKey};
use sha2::{Digest, Sha256};
use std::time::Duration;

impl World {
    /// Sends a request to node number `n` and returns its id.
    pub fn request(&mut self, n: usize, entry: &str) -> RequestId {
        self.send(n, entry, Name::None)
    }

    /// Sends a request under a name to node number `n` and returns its id.
    pub fn send(&mut self, n: usize, entry: &str, name: Name<'_>) -> RequestId {
        let body = format!("request {}", self.seqs);
        self.send_body(n, entry, name, &body)
    }

    /// Sends a request with a given body to node number `n` and returns its ID.
    pub fn send_body(&mut self, n: usize, entry: &str, name: Name<'_>, body: &str) -> RequestId {
        let key = self.key(n);
        let id = self.next_id(n);
        let fingerprint = Fingerprint::of(&Identity {
            deployment: 0,
            workspace: None,
            host: "",
            method: "POST",
            path: entry,
            body: body.as_bytes(),
        });
        let arrival = RequestArrival {
            id,
            key_digest: Sha256::digest(KEY).into(),
            entry: entry.to_owned(),
            work: Work::Completion {
                prompt_tokens: 100,
                max_tokens: Some(1_000),
                stream: true,
                prefix: Vec::new(),
            },
            idempotency_key: match name {
                Name::Key(key) => Some(key.to_owned()),
                Name::None | Name::Ticket(_) => None,
            },
            ticket: match name {
                Name::Ticket(ticket) => Some(ticket),
                Name::None | Name::Key(_) => None,
            },
            body_hash: 7,
            fingerprint,
            patience: None,
        };
        self.feed(key, Event::Request(Box::new(arrival)));
        id
    }

    /// Returns a key whose home is node number `n` under a list of all nodes, and node number
    /// `next` under a list without `n`.
    pub fn key_at(&self, n: usize, next: usize) -> String {
        let all = self.names.iter().map(|it| InstanceKey::of(it));
        let all: Vec<_> = all.map(Candidate::anywhere).collect();
        let mut ranked = Vec::new();
        let mut ranks = |key: &str| {
            let hash = KeyHash::of(WorkspaceKey::of("desk"), key);
            rendezvous::rank(hash.rank_key(), all.iter().copied(), 2, &mut ranked);
            ranked == [self.key(n), self.key(next)]
        };
        let mut keys = (0..).map(|i| format!("order-{i}"));
        keys.find(|key| ranks(key)).expect("a key")
    }

    /// Returns the number of dispatches of all `requests`.
    pub fn runs(&self, requests: &[RequestId]) -> usize {
        requests.iter().map(|&id| self.dispatches(id).len()).sum()
    }

    fn next_id(&mut self, n: usize) -> RequestId {
        let instance = self.key(n);
        self.seqs += 1;
        RequestId {
            instance,
            incarnation: self.seats[&instance].node.me().incarnation,
            seq: self.seqs,
        }
    }

    /// Requests a ticket from node number `n`, which must issue it.
    pub fn ticket(&mut self, n: usize) -> RequestId {
        self.try_ticket(n).expect("a ticket is issued")
    }

    /// Requests a ticket from node number `n`, which may refuse it.
    pub fn try_ticket(&mut self, n: usize) -> Option<RequestId> {
        let ticket = self.next_id(n);
        let key_digest = Sha256::digest(KEY).into();
        self.feed(self.key(n), Event::RequestTicket { key_digest, ticket });
        self.run_for(Duration::from_millis(100));
        self.seat(n).tickets.contains(&ticket).then_some(ticket)
    }

    /// Passes an update of an attempt to the node that dispatched it.
    pub fn update(&mut self, attempt: AttemptId, update: AttemptUpdate) {
        self.feed(attempt.request.instance, Event::Attempt { attempt, update });
    }

    /// Ends an attempt with a complete response.
    pub fn complete(&mut self, attempt: AttemptId) {
        let update = AttemptUpdate::Complete {
            tokens: 10,
            prompt_tokens: Some(100),
        };
        self.update(attempt, update);
    }

    /// Fails an attempt; it may have run.
    pub fn fail(&mut self, attempt: AttemptId, reason: oriolemux_core::Reason) {
        let update = AttemptUpdate::Failed {
            reason,
            ran: Ran::Maybe,
            delivered: 0,
            retry_after: None,
        };
        self.update(attempt, update);
    }

    /// Returns the dispatches of a request so far.
    pub fn dispatches(&self, id: RequestId) -> Vec<Dispatch> {
        let seat = &self.seats[&id.instance];
        let all = seat.dispatched.iter();
        all.filter(|it| it.attempt.request == id).cloned().collect()
    }

    /// Returns the final verdict of a request, if there is one.
    pub fn verdict(&self, id: RequestId) -> Option<Verdict> {
        let finished = &self.seats[&id.instance].finished;
        let mut found = finished.iter().filter(|(it, _)| *it == id);
        found.next().map(|(_, verdict)| verdict.clone())
    }
}

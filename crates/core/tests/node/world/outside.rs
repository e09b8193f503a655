//! The platform and the engines: carries out the actions of nodes.

use super::{Done, HOP, KV_TOKENS, Later, ReceivedOrder, World, loom, pair};
use oriolemux_core::event::{Action, Event, LoadReport, OrderKind, OrderResult, ValueName};
use oriolemux_core::{EndpointKey, Incarnation, InstanceKey};

impl World {
    pub(super) fn answer_read(
        &mut self,
        to: InstanceKey,
        incarnation: Incarnation,
        name: ValueName,
    ) {
        let event = match self.values.get(&name) {
            Some((revision, bytes)) if !self.platform_down => Event::Value {
                name,
                revision: *revision,
                bytes: bytes.clone(),
            },
            _ => Event::ValueFailed { name },
        };
        let later = Later::Event {
            to,
            incarnation,
            event,
        };
        self.schedule(HOP, later);
    }

    pub(super) fn carry_out(&mut self, me: InstanceKey, actions: Vec<Action>) {
        let id = self.seats[&me].node.me();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if let Some(&link) = self.links.get(&pair(me, to)) {
                        let later = Later::Message {
                            from: id,
                            to,
                            message,
                            link,
                        };
                        self.schedule(HOP, later);
                    }
                }
                Action::Read(name) => self.answer_read(me, id.incarnation, name),
                Action::Watch { name, above } => {
                    let newer = self.values.get(&name).is_some_and(|it| it.0 > above);
                    if newer || self.platform_down {
                        self.answer_read(me, id.incarnation, name);
                    } else {
                        self.watches.push((me, id.incarnation, name, above));
                    }
                }
                Action::PollLoad(target) => {
                    let event = Event::Load {
                        endpoint: target.key,
                        report: self.load_of(target.key),
                    };
                    let later = Later::Event {
                        to: me,
                        incarnation: id.incarnation,
                        event,
                    };
                    self.schedule(HOP, later);
                }
                Action::Order {
                    endpoint,
                    fencing,
                    kind,
                    ..
                } => self.execute_order(me, endpoint.key, fencing, kind),
                other => self.carry_out_own(me, other),
            }
        }
    }

    fn carry_out_own(&mut self, me: InstanceKey, action: Action) {
        let Some(seat) = self.seats.get_mut(&me) else {
            return;
        };
        match action {
            Action::Dispatch(order) => {
                self.done.push(Done::Dispatched((*order).clone()));
                seat.dispatched.push(*order);
            }
            Action::Finish { request, verdict } => {
                self.done.push(Done::Finished(request, verdict.clone()));
                seat.finished.push((request, verdict));
            }
            Action::Links(targets) => seat.wants = targets.iter().map(|it| it.key).collect(),
            Action::WakeAt(at) => seat.wake = at,
            Action::Ticket {
                ticket,
                result: Ok(()),
            } => seat.tickets.push(ticket),
            Action::Note(note) => seat.notes.push(note),
            Action::Stopped => seat.stopped = true,
            _ => {}
        }
    }

    /// Carries an order out at once, as an engine that ignores fencing does.
    fn execute_order(
        &mut self,
        controller: InstanceKey,
        endpoint: EndpointKey,
        fencing: u64,
        kind: OrderKind,
    ) {
        let models = self
            .loaded
            .entry(endpoint)
            .or_insert_with(|| vec![loom("1")]);
        match &kind {
            OrderKind::Load { version, .. } => models.push(loom(version)),
            OrderKind::Unload { version, .. } => models.retain(|it| it.version != *version),
            OrderKind::Role { .. } => {}
        }
        self.orders.push(ReceivedOrder {
            at: self.now,
            controller,
            endpoint,
            fencing,
            kind,
        });
        let event = Event::OrderAnswered {
            endpoint,
            fencing,
            result: OrderResult::Accepted,
        };
        let incarnation = self.seats[&controller].node.me().incarnation;
        let later = Later::Event {
            to: controller,
            incarnation,
            event,
        };
        self.schedule(HOP, later);
    }

    fn load_of(&self, endpoint: EndpointKey) -> LoadReport {
        LoadReport {
            kv_tokens_total: KV_TOKENS,
            max_running: 64,
            models: match self.loaded.get(&endpoint) {
                Some(models) => models.clone(),
                None => vec![loom("1")],
            },
            leaving: self.leaving_endpoints.contains(&endpoint),
            ..LoadReport::default()
        }
    }
}

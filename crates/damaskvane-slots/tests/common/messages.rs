//! Messages and actions of the instances in the simulated zone: heartbeats, probes of silent instances, fences
//! (marks on the platform's list that end an instance's ownership of servers) and messages about slots.

use damaskvane_core::ids;
use damaskvane_membership::view;
use damaskvane_slots::exchange;
use rand::RngExt;

use super::{InFlightMessage, Payload, SimulatedZone, ms, trace};

impl SimulatedZone {
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let instances = &self.instances;
        let (due, later): (Vec<InFlightMessage>, Vec<InFlightMessage>) =
            self.in_flight.drain(..).partition(|message| {
                let to = instances.get(&message.to);
                message.due <= now && to.is_none_or(|to| to.paused_until <= now)
            });
        self.in_flight = later;
        for message in due {
            if self.is_cut(&message.from, &message.to) {
                continue;
            }
            let (from, incarnation) = (message.from, message.incarnation);
            match message.payload {
                Payload::Heartbeat(heartbeat) => {
                    let event = view::Event::Heartbeat {
                        from,
                        incarnation,
                        heartbeat,
                    };
                    self.membership(&message.to, event);
                }
                Payload::Slots(payload) => {
                    let event = exchange::Event::Message {
                        from,
                        incarnation,
                        message: payload,
                    };
                    self.slots(&message.to, event);
                }
                Payload::List(list) => {
                    let event = view::Event::List {
                        records: list.records,
                        age: list.age,
                        source: list.source,
                    };
                    self.membership(&message.to, event);
                }
                Payload::ListRequest => {
                    let asked = self.instances.get(&message.to);
                    let list = asked.and_then(|asked| asked.membership.list_to_pass());
                    if let Some(list) = list {
                        self.send_message(&message.to, from, Payload::List(list));
                    }
                }
            }
        }
    }

    pub(super) fn send_message(
        &mut self,
        from: &ids::InstanceId,
        to: ids::InstanceId,
        payload: Payload,
    ) {
        if self.random.random_range(0..1_000) < self.loss_permille {
            return;
        }
        let Some(instance) = self.instances.get(from) else {
            return;
        };
        self.sent_messages += 1;
        self.in_flight.push(InFlightMessage {
            due: self.now + ms(self.random.random_range(0..=self.max_delay_ms)),
            from: from.clone(),
            incarnation: ids::Incarnation::new(instance.incarnation),
            to,
            payload,
        });
    }

    pub(crate) fn membership(&mut self, name: &ids::InstanceId, event: view::Event) {
        let now = self.local_time(name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let actions = instance.membership.handle(now, event);
        let roster = instance.membership.roster();
        self.slots(name, exchange::Event::Roster(roster));
        for action in actions {
            self.perform_membership(name, action);
        }
    }

    fn perform_membership(&mut self, name: &ids::InstanceId, action: view::Action) {
        match action {
            view::Action::Send { to, heartbeat, .. } => {
                self.send_message(name, to, Payload::Heartbeat(heartbeat));
            }
            view::Action::Probe {
                instance,
                incarnation,
                ..
            } => {
                let is_cut = self.is_cut(name, &instance) || self.is_cut(&instance, name);
                let outcome = match self.instances.contains_key(&instance) {
                    _ if is_cut => view::ProbeOutcome::Silent,
                    true => view::ProbeOutcome::Answered,
                    false => view::ProbeOutcome::Refused,
                };
                let event = view::Event::Probed {
                    instance,
                    incarnation,
                    outcome,
                };
                self.membership(name, event);
            }
            view::Action::Fence {
                instance,
                incarnation,
                goes_on_alone,
            } => self.fence(name, instance, incarnation, goes_on_alone),
            view::Action::RemoveFenceRecord {
                instance,
                incarnation,
            } if !self.without_platform.contains(name) => {
                let entry = self.list.get(&instance);
                if entry.is_some_and(|entry| entry.fenced && entry.incarnation == incarnation) {
                    self.list.remove(&instance);
                    let by = name.clone();
                    let removed = trace::TraceEvent::FenceRecordRemoved {
                        by,
                        instance,
                        incarnation,
                    };
                    self.trace.record_event(self.now, removed);
                }
            }
            view::Action::PassList { to, list, .. } => {
                self.send_message(name, to, Payload::List(list));
            }
            view::Action::RequestList { to, .. } => {
                self.send_message(name, to, Payload::ListRequest);
            }
            // The process of a fenced instance exits; its supervisor restarts the process.
            view::Action::OwnFenced => {
                let detected = trace::TraceEvent::FenceDetected(name.clone());
                self.trace.record_event(self.now, detected);
                self.kill(&name.clone());
                self.start(&name.clone());
            }
            _ => {}
        }
    }

    /// Returns whether an instance that reaches the platform finds its own entry marked as fenced.
    fn is_fenced_at_platform(&self, name: &ids::InstanceId) -> bool {
        let incarnation = self.instances.get(name).map(|own| own.incarnation);
        let entry = self.list.get(name).filter(|entry| entry.fenced);
        let is_own = entry.is_some_and(|entry| Some(entry.incarnation.get()) == incarnation);
        is_own && !self.without_platform.contains(name)
    }

    pub(super) fn is_cut(&self, from: &ids::InstanceId, to: &ids::InstanceId) -> bool {
        self.cuts.contains(&(from.clone(), to.clone()))
            && (self.allows_cuts_before_discovery
                || !(self.cannot_discover(from, to) || self.cannot_discover(to, from)))
    }

    /// Returns whether an instance can't discover another one: it does not know the other and can't reach the
    /// platform.
    fn cannot_discover(&self, name: &ids::InstanceId, other: &ids::InstanceId) -> bool {
        let (Some(instance), Some(other)) = (self.instances.get(name), self.instances.get(other))
        else {
            return false;
        };
        let roster = instance.membership.roster();
        let knows = roster.members.iter().any(|member| {
            member.instance == other.membership.own().instance
                && member.incarnation.get() >= other.incarnation
        });
        self.without_platform.contains(name) && !knows
    }

    fn fence(
        &mut self,
        name: &ids::InstanceId,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        goes_on_alone: bool,
    ) {
        if self.delay_fence(name, &instance, incarnation, goes_on_alone) {
            return;
        }
        if self.reads_own_record && self.is_fenced_at_platform(name) {
            self.membership(name, view::Event::FenceFailed { instance });
            self.membership(name, view::Event::Superseded);
            return;
        }
        let is_reached = !self.without_platform.contains(name);
        let event = if is_reached && self.write_fence(name, &instance, incarnation, goes_on_alone) {
            view::Event::Fenced {
                instance,
                incarnation,
            }
        } else {
            view::Event::FenceFailed { instance }
        };
        self.membership(name, event);
    }

    pub(crate) fn slots(&mut self, name: &ids::InstanceId, event: exchange::Event) {
        let now = self.local_time(name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let actions = instance.slots.handle(now, event);
        self.perform_slots(name, actions);
    }

    pub(super) fn perform_slots(&mut self, name: &ids::InstanceId, actions: Vec<exchange::Action>) {
        for action in actions {
            match action {
                exchange::Action::Send { to, message } => {
                    self.send_message(name, to, Payload::Slots(message));
                }
                exchange::Action::Available { .. } => {}
                exchange::Action::Broken { invariant } => {
                    self.broken += 1;
                    assert!(self.broken == 0, "{invariant}");
                }
            }
        }
    }
}

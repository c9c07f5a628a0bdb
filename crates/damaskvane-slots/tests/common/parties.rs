//! Slot exchanges of some instances with one server of one slot, between which messages arrive at once or are lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use damaskvane_core::{ids, time, units};
use damaskvane_membership::{state, view};
use damaskvane_slots::exchange::{Action, Event, Finish, ServerSlots, SlotExchange};
use damaskvane_slots::message::{AddressedMessage, SlotMessage};
use damaskvane_slots::permit::ReleasedPermit;

use super::{at, ms, server, slot_settings};

pub(crate) const FIRST: ids::Incarnation = ids::Incarnation::new(1);
pub(crate) const ONE: units::Slots = units::Slots::new(1);
const TICK_MS: u64 = 50;

/// A member of a roster that runs, has confirmed all heartbeats and started long ago.
pub(crate) fn member(name: &ids::InstanceId) -> view::RosterMember {
    view::RosterMember {
        instance: name.clone(),
        incarnation: FIRST,
        leaving: false,
        gone: None,
        stopped_by: None,
        has_acknowledged_own: true,
        is_unheard_newcomer: false,
        is_starting: false,
    }
}

/// A member whose first incarnation acts no more from `from_ms` on.
pub(crate) fn gone(
    name: &ids::InstanceId,
    proof: state::GoneProof,
    from_ms: u64,
) -> view::RosterMember {
    view::RosterMember {
        gone: Some(state::Gone {
            incarnation: FIRST,
            proof,
            from: at(from_ms),
            has_ended: proof == state::GoneProof::Refused,
        }),
        ..member(name)
    }
}

pub(crate) fn roster(members: Vec<view::RosterMember>) -> view::Roster {
    view::Roster {
        members,
        authority_until: Some(at(1_000_000)),
        is_listed: true,
        may_take_over: true,
    }
}

pub(crate) fn received(from: &ids::InstanceId, message: SlotMessage) -> Event {
    Event::Message {
        from: from.clone(),
        incarnation: FIRST,
        message: AddressedMessage {
            incarnation: FIRST,
            message,
        },
    }
}

/// The exchanges of the instances that run, all of them with authority.
pub(crate) struct Parties {
    pub(crate) now: time::TimeMs,
    slots: BTreeMap<ids::InstanceId, SlotExchange>,
    /// Pairs (from, to) between which messages are lost.
    pub(crate) lost: BTreeSet<(ids::InstanceId, ids::InstanceId)>,
}

impl Parties {
    /// Returns the parties at a time at which the first of `names` owns the server, with no slot granted; `unknown` runs
    /// as long, and no instance knows it.
    pub(crate) fn with_owner(names: &[&ids::InstanceId], unknown: &ids::InstanceId) -> Self {
        let mut parties = Self {
            now: at(0),
            slots: BTreeMap::new(),
            lost: BTreeSet::new(),
        };
        for name in names.iter().chain([&unknown]) {
            parties.start(name);
        }
        for name in names.iter().rev() {
            parties.meet(name, names);
        }
        parties.run(12_000);
        parties
    }

    pub(crate) fn start(&mut self, name: &ids::InstanceId) {
        let mut slots = SlotExchange::new(name.clone(), FIRST, slot_settings());
        let limit = ServerSlots {
            server: server(0),
            slots: ONE,
        };
        slots.handle(self.now, Event::Servers(vec![limit]));
        self.slots.insert(name.clone(), slots);
    }

    /// Ends the process of an instance, of which the others learn by their rosters only.
    pub(crate) fn end(&mut self, name: &ids::InstanceId) {
        self.slots.remove(name);
    }

    /// Gives an instance a roster of instances that all run.
    pub(crate) fn meet(&mut self, name: &ids::InstanceId, names: &[&ids::InstanceId]) {
        let members = names.iter().map(|name| member(name)).collect();
        self.know(name, members);
    }

    pub(crate) fn know(&mut self, name: &ids::InstanceId, members: Vec<view::RosterMember>) {
        self.handle(name, Event::Roster(roster(members)));
    }

    /// Has an instance handle an event, and delivers all messages that follow from it.
    pub(crate) fn handle(&mut self, name: &ids::InstanceId, event: Event) {
        let mut events = VecDeque::from([(name.clone(), event)]);
        while let Some((name, event)) = events.pop_front() {
            let Some(slots) = self.slots.get_mut(&name) else {
                continue;
            };
            for action in slots.handle(self.now, event) {
                if let Action::Send { to, message } = action
                    && !self.lost.contains(&(name.clone(), to.clone()))
                {
                    let incarnation = FIRST;
                    let from = name.clone();
                    let event = Event::Message {
                        from,
                        incarnation,
                        message,
                    };
                    events.push_back((to, event));
                }
            }
        }
    }

    /// Delivers a message that was sent before, or by an instance whose exchange is not simulated.
    pub(crate) fn deliver(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        message: SlotMessage,
    ) {
        self.handle(to, received(from, message));
    }

    /// Returns the messages with which an instance answers one, without delivering them.
    pub(crate) fn answers(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        message: SlotMessage,
    ) -> Vec<SlotMessage> {
        let slots = self.slots.get_mut(to).expect("a running instance");
        let actions = slots.handle(self.now, received(from, message)).into_iter();
        let messages = actions.filter_map(|action| match action {
            Action::Send { message, .. } => Some(message.message),
            _ => None,
        });
        messages.collect()
    }

    /// Lets time pass with ticks of all instances; each event is delivered before the next.
    pub(crate) fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / TICK_MS {
            self.now = self.now + ms(TICK_MS);
            let names: Vec<ids::InstanceId> = self.slots.keys().cloned().collect();
            for name in names {
                self.handle(&name, Event::Tick);
            }
        }
    }

    /// Reports one waiting request of an instance.
    pub(crate) fn demand(&mut self, name: &ids::InstanceId) {
        let demand = Event::Demand {
            server: server(0),
            waiting: ONE,
        };
        self.handle(name, demand);
    }

    /// Sends a request under the slot that an instance holds, and returns until when it may run.
    pub(crate) fn begin(&mut self, name: &ids::InstanceId) -> time::TimeMs {
        let slots = self.slots.get_mut(name).expect("a running instance");
        let ready = slots
            .begin(self.now, &server(0), ms(5_000), ms(1))
            .expect("a free slot");
        self.now + ready.send(self.now).expect("in time").deadline_ms()
    }

    /// Returns whether an instance may send a request now.
    pub(crate) fn may_send(&self, name: &ids::InstanceId) -> bool {
        let slots = self.slots.get(name);
        slots.is_some_and(|slots| slots.free(self.now, &server(0)) == ONE)
    }

    /// Returns whether an instance gets a permit for a request now.
    pub(crate) fn can_begin(&mut self, name: &ids::InstanceId) -> bool {
        let slots = self.slots.get_mut(name).expect("a running instance");
        slots.begin(self.now, &server(0), ms(5_000), ms(1)).is_ok()
    }

    /// Returns whether an instance holds the slot, whether or not a request runs on it.
    pub(crate) fn holds(&self, name: &ids::InstanceId) -> bool {
        let slots = self.slots.get(name);
        slots.is_some_and(|slots| slots.status(self.now).any(|status| status.held == ONE))
    }

    /// Returns how long after now an instance with waiting requests may send one; `None` if not within `span_ms`.
    pub(crate) fn first_slot_ms(&mut self, name: &ids::InstanceId, span_ms: u64) -> Option<u64> {
        let started_at = self.now;
        for _ in 0..span_ms / TICK_MS {
            self.demand(name);
            if self.may_send(name) {
                return Some(self.now.since(started_at).get());
            }
            self.run(TICK_MS);
        }
        None
    }

    /// Has an instance acquire the slot and send a request, until the lease is a standing one if it can be; the request
    /// goes on.
    pub(crate) fn acquire(&mut self, name: &ids::InstanceId) -> ReleasedPermit {
        self.demand(name);
        let request = self.sent_request(name);
        self.run(400);
        request
    }

    /// Sends a request under the slot that an instance holds.
    pub(crate) fn sent_request(&mut self, name: &ids::InstanceId) -> ReleasedPermit {
        let slots = self.slots.get_mut(name).expect("a running instance");
        let ready = slots
            .begin(self.now, &server(0), ms(5_000), ms(1))
            .expect("a free slot");
        let sent = ready.send(self.now).expect("in time").sent(self.now);
        sent.expect("in time").into_released()
    }

    /// Ends a request; the slot is free if it is held under a lease that has not expired.
    pub(crate) fn finish(&mut self, name: &ids::InstanceId, permit: &ReleasedPermit) {
        let slots = self.slots.get_mut(name).expect("a running instance");
        slots.finish(self.now, permit, Finish::Ended);
    }
}

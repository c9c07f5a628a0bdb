//! The real decision code of slots, with messages that take a hop.

use std::collections::VecDeque;

use damaskvane_core::{ids, time, units};
use damaskvane_membership::view;
use damaskvane_slots::{exchange, message, permit, settings};

const TICK_MS: u64 = 50;

struct Flying {
    due: time::TimeMs,
    from: usize,
    to: usize,
    message: message::AddressedMessage,
}

/// The instances of a zone as they borrow and lend.
pub(super) struct Leases {
    names: Vec<ids::InstanceId>,
    exchanges: Vec<exchange::SlotExchange>,
    flying: VecDeque<Flying>,
    hop: time::SpanMs,
    pub(super) is_cut: bool,
    pub(super) messages: u64,
}

fn name(instance: usize) -> ids::InstanceId {
    format!("a-{instance}").parse().expect("a valid name")
}

pub(super) fn server(number: usize) -> ids::BackendServerId {
    format!("rider-desk-{number}")
        .parse()
        .expect("a valid name")
}

impl Leases {
    pub(super) fn new(instances: usize, servers: usize, slots: u32, hop_ms: u64) -> Self {
        let names: Vec<ids::InstanceId> = (0..instances).map(name).collect();
        let incarnation = ids::Incarnation::new(1);
        let member = |instance: &ids::InstanceId| view::RosterMember {
            is_starting: false,
            instance: instance.clone(),
            incarnation,
            leaving: false,
            gone: None,
            stopped_by: None,
            has_acknowledged_own: true,
            is_unheard_newcomer: false,
        };
        let roster = view::Roster {
            members: names.iter().map(member).collect(),
            authority_until: Some(time::TimeMs::new(u64::MAX)),
            is_listed: true,
            may_take_over: true,
        };
        let limits: Vec<exchange::ServerSlots> = (0..servers)
            .map(|number| exchange::ServerSlots {
                server: server(number),
                slots: units::Slots::new(slots),
            })
            .collect();
        let mut leases = Self {
            exchanges: Vec::new(),
            flying: VecDeque::new(),
            hop: time::SpanMs::new(hop_ms),
            is_cut: false,
            messages: 0,
            names,
        };
        for instance in leases.names.clone() {
            let settings = settings::SlotSettings::default();
            let mut exchange = exchange::SlotExchange::new(instance, incarnation, settings);
            let servers = exchange::Event::Servers(limits.clone());
            exchange.handle(time::TimeMs::ZERO, servers);
            leases.exchanges.push(exchange);
        }
        for instance in 0..leases.names.len() {
            let event = exchange::Event::Roster(roster.clone());
            leases.handle(time::TimeMs::ZERO, instance, event);
        }
        leases
    }

    pub(super) fn step(&mut self, now: time::TimeMs) {
        while self.flying.front().is_some_and(|first| first.due <= now) {
            let Some(arrived) = self.flying.pop_front() else {
                break;
            };
            let event = exchange::Event::Message {
                from: self.names[arrived.from].clone(),
                incarnation: ids::Incarnation::new(1),
                message: arrived.message,
            };
            self.handle(now, arrived.to, event);
        }
        if now.get().is_multiple_of(TICK_MS) {
            for instance in 0..self.names.len() {
                self.handle(now, instance, exchange::Event::Tick);
            }
        }
    }

    fn handle(&mut self, now: time::TimeMs, instance: usize, event: exchange::Event) {
        let actions = self.exchanges[instance].handle(now, event);
        self.perform(now, instance, actions);
    }

    fn perform(&mut self, now: time::TimeMs, from: usize, actions: Vec<exchange::Action>) {
        for action in actions {
            let exchange::Action::Send { to, message } = action else {
                continue;
            };
            let to = self.names.iter().position(|name| *name == to);
            let Some(to) = to.filter(|_| !self.is_cut) else {
                continue;
            };
            self.messages += 1;
            self.flying.push_back(Flying {
                due: now + self.hop,
                from,
                to,
                message,
            });
        }
    }

    pub(super) fn begin(
        &mut self,
        now: time::TimeMs,
        instance: usize,
        servers: usize,
    ) -> Option<permit::Permit<permit::Ready>> {
        let wanted = time::SpanMs::new(1_000);
        let at_least = time::SpanMs::new(500);
        let exchange = &mut self.exchanges[instance];
        // What is owned costs no message, so it is tried first.
        let mut order: Vec<ids::BackendServerId> = (0..servers).map(server).collect();
        order.sort_by_key(|server| !exchange.is_assigned(server));
        order
            .iter()
            .find_map(|server| exchange.begin(now, server, wanted, at_least).ok())
    }

    /// Asks every owner for what waits; the first to lend serves it, the others get theirs back.
    pub(super) fn demand(
        &mut self,
        now: time::TimeMs,
        instance: usize,
        servers: usize,
        waiting: u32,
    ) {
        for number in 0..servers {
            let event = exchange::Event::Demand {
                server: server(number),
                waiting: units::Slots::new(waiting.div_ceil(servers as u32)),
            };
            self.handle(now, instance, event);
        }
    }

    pub(super) fn finish(
        &mut self,
        now: time::TimeMs,
        instance: usize,
        permit: &permit::ReleasedPermit,
    ) {
        let actions = self.exchanges[instance].finish(now, permit, exchange::Finish::Ended);
        self.perform(now, instance, actions);
    }
}

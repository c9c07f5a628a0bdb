//! The slot exchange: handling of events and messages, and permits for requests.
//!
//! A slot is the right to run one request on a backend server. The server's owner, one of the zone's
//! instances, grants slots to holders for a limited time, the lease. A permit reserves a held slot for one
//! request. An incarnation is one start of an instance's process.

use std::collections::{BTreeMap, VecDeque};

use damaskvane_core::{ids, time, units};
use damaskvane_membership::view;

use crate::counters::SlotCounters;
use crate::exchange::event::{Action, Event, ServerSlots};
use crate::exchange::server::{InstanceIncarnation, Ownership, Server};
use crate::message::{AddressedMessage, GrantNumber, SlotMessage};
use crate::permit::{Permit, Ready, ReleasedPermit};
use crate::settings::SlotSettings;

/// The reason why [`SlotExchange::begin`] returns no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Unavailable {
    /// the backend server is not in this zone; check the active configuration
    UnknownServer,
    /// no held slot is free for long enough; report the demand and begin again when slots are available
    NoSlot,
}

/// How the request of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The whole response arrived, or the request was never sent.
    Ended,
    /// This instance abandoned the request; the backend server may run it until the request's deadline.
    MayStillRun,
}

/// The state that one instance keeps for the slots of all backend servers of its zone.
#[derive(Debug)]
pub struct SlotExchange {
    pub(super) own: InstanceIncarnation,
    pub(super) settings: SlotSettings,
    pub(super) servers: BTreeMap<ids::BackendServerId, Server>,
    pub(super) roster: view::Roster,
    pub(super) counters: SlotCounters,
    pub(super) now: time::TimeMs,
    pub(super) last_claim: u64,
    /// When this instance handled its first event; `None` before.
    pub(super) started_at: Option<time::TimeMs>,
    /// When this instance handled its last tick; `None` before.
    pub(super) last_tick: Option<time::TimeMs>,
    /// The latest number of an acquire request for each server that was removed from the configuration.
    ///
    /// A grant for an earlier request may still arrive after the server was added again.
    pub(super) last_numbers: BTreeMap<ids::BackendServerId, GrantNumber>,
    pub(super) actions: Vec<Action>,
    /// Messages from this instance to itself, such as its acquire requests for a server that it owns.
    local: VecDeque<SlotMessage>,
}

impl SlotExchange {
    /// Creates an exchange that has no record of other instances or backend servers.
    #[must_use]
    pub const fn new(
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        settings: SlotSettings,
    ) -> Self {
        Self {
            own: InstanceIncarnation {
                instance,
                incarnation,
            },
            settings,
            servers: BTreeMap::new(),
            roster: view::Roster {
                members: Vec::new(),
                authority_until: None,
                is_listed: false,
                may_take_over: true,
            },
            counters: SlotCounters {
                granted: 0,
                recall_rounds: 0,
                refused: BTreeMap::new(),
                recalled: 0,
                acquired: 0,
                dropped_owner_messages: 0,
                expired: 0,
                sent_late: 0,
                handed_over: 0,
                waited_out: 0,
                declined: 0,
                old_messages: 0,
                blocked_ms: BTreeMap::new(),
            },
            now: time::TimeMs::ZERO,
            last_claim: 0,
            started_at: None,
            last_tick: None,
            last_numbers: BTreeMap::new(),
            actions: Vec::new(),
            local: VecDeque::new(),
        }
    }

    /// Handles an event at the time `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        match event {
            Event::Servers(servers) => self.set_servers(servers),
            Event::Roster(roster) => self.set_roster(roster),
            Event::Message {
                from,
                incarnation,
                message,
            } => self.handle_message(from, incarnation, message),
            Event::Demand { server, waiting } => self.handle_demand(&server, waiting),
            Event::Tick => self.tick(),
        }
        self.flush()
    }

    fn flush(&mut self) -> Vec<Action> {
        while let Some(message) = self.local.pop_front() {
            let own = self.own.clone();
            self.dispatch(&own, message);
        }
        core::mem::take(&mut self.actions)
    }

    /// Reserves a slot for one request that needs at least `min_run_ms` and runs for at most `max_run_ms`.
    ///
    /// This call uses only slots that this instance holds, and requests no more from the owner.
    ///
    /// # Errors
    ///
    /// Returns [`Unavailable`] if the backend server is unknown, or if no held slot is both free and leased
    /// for at least `min_run_ms` more.
    pub fn begin(
        &mut self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
        max_run_ms: time::SpanMs,
        min_run_ms: time::SpanMs,
    ) -> Result<Permit<Ready>, Unavailable> {
        let known = self
            .servers
            .get_mut(server)
            .ok_or(Unavailable::UnknownServer)?;
        let (number, expires_at) = known
            .pool
            .begin(now, min_run_ms, &self.settings)
            .ok_or(Unavailable::NoSlot)?;
        Ok(Permit::new(
            server.clone(),
            number,
            now,
            expires_at,
            max_run_ms,
        ))
    }

    /// Frees the slot of a permit whose request has ended, and returns the actions to carry out.
    pub fn finish(
        &mut self,
        now: time::TimeMs,
        permit: &ReleasedPermit,
        how: Finish,
    ) -> Vec<Action> {
        self.now = self.now.max(now);
        let still_runs_until = match how {
            Finish::Ended => None,
            Finish::MayStillRun => Some(permit.ends_by + self.settings.margin_ms),
        };
        if let Some(server) = self.servers.get_mut(&permit.server) {
            server.pool.finish(now, permit.number, still_runs_until);
        }
        self.return_excess(&permit.server);
        self.flush()
    }

    /// Counts a permit whose lease expired before its request was sent.
    pub const fn count_expired(&mut self) {
        self.counters.expired += 1;
    }

    /// Counts a request that was sent after its lease had expired.
    pub const fn count_sent_late(&mut self) {
        self.counters.sent_late += 1;
    }

    /// Returns the counters since the start of this instance.
    #[must_use]
    pub const fn counters(&self) -> &SlotCounters {
        &self.counters
    }

    /// Returns the number of held slots of a backend server on which no request runs or may still run.
    #[must_use]
    pub fn free(&self, now: time::TimeMs, server: &ids::BackendServerId) -> units::Slots {
        let server = self.servers.get(server);
        server.map_or(units::Slots::ZERO, |server| server.pool.free(now))
    }

    /// Returns whether a planned stop may end: no request runs, and no backend server is owned or claimed.
    ///
    /// Ownership is ignored if no other instance of the zone can take the backend servers over.
    #[must_use]
    pub fn is_drained(&self, now: time::TimeMs) -> bool {
        let mut members = self.roster.members.iter();
        let has_successor = members.any(|member| !member.leaving && member.gone.is_none());
        self.servers.values().all(|server| {
            let is_idle = server.pool.busy(now) == units::Slots::ZERO;
            is_idle && (!has_successor || matches!(server.ownership, Ownership::None))
        })
    }

    fn set_servers(&mut self, servers: Vec<ServerSlots>) {
        let mut kept = core::mem::take(&mut self.servers);
        // An earlier incarnation of this instance, or this one before the server was removed from the
        // configuration, may have used or granted slots.
        let unreported_until = self.now + self.settings.expiry_ms();
        for limit in servers {
            let last_number = self.last_numbers.get(&limit.server).copied();
            let mut server = kept.remove(&limit.server).unwrap_or_else(|| {
                Server::new(
                    limit.slots,
                    last_number.unwrap_or_default(),
                    unreported_until,
                )
            });
            if limit.slots < server.slots {
                server.pool.end_standing(self.now, &self.settings);
            }
            server.set_slots(limit.slots);
            self.servers.insert(limit.server, server);
        }
        let removed = kept.into_iter();
        let numbers = removed.map(|(name, server)| (name, server.pool.last_number()));
        self.last_numbers.extend(numbers);
        self.apply_assignments();
    }

    fn set_roster(&mut self, roster: view::Roster) {
        let is_same = self.roster.members == roster.members
            && self.roster.is_listed == roster.is_listed
            && self.roster.may_take_over == roster.may_take_over;
        let earlier = core::mem::replace(&mut self.roster, roster);
        self.apply_authority();
        if !is_same {
            self.apply_forgotten(&earlier);
            self.shorten_waits();
            self.apply_assignments();
        }
    }

    fn handle_message(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        message: AddressedMessage,
    ) {
        let member = self
            .roster
            .members
            .iter()
            .find(|member| member.instance == from);
        let is_current = member.is_some_and(|member| {
            let is_gone = member
                .gone
                .is_some_and(|gone| gone.incarnation >= incarnation);
            incarnation >= member.incarnation && !is_gone
        });
        if !is_current || message.incarnation != self.own.incarnation {
            self.counters.old_messages += 1;
            return;
        }
        let instance = from;
        let sender = InstanceIncarnation {
            instance,
            incarnation,
        };
        self.dispatch(&sender, message.message);
    }

    fn dispatch(&mut self, from: &InstanceIncarnation, message: SlotMessage) {
        match message {
            SlotMessage::Acquire { .. }
            | SlotMessage::Renew { .. }
            | SlotMessage::Return { .. }
            | SlotMessage::Held { .. } => self.handle_holder_message(from, message),
            SlotMessage::Granted { .. }
            | SlotMessage::Refused { .. }
            | SlotMessage::Renewed { .. }
            | SlotMessage::Recall { .. } => self.handle_owner_message(from, &message),
            SlotMessage::Audit { server } => self.handle_audit(from, &server),
            SlotMessage::Claim { .. }
            | SlotMessage::Consent { .. }
            | SlotMessage::Release { .. }
            | SlotMessage::Decline { .. } => self.handle_claim_message(from, message),
        }
    }

    fn tick(&mut self) {
        self.count_blocked();
        let names: Vec<ids::BackendServerId> = self.servers.keys().cloned().collect();
        for name in names {
            self.tick_claim(&name);
            self.tick_standing(&name);
            self.tick_granting(&name);
            self.tick_acquiring(&name);
        }
    }

    /// Sends a message to the latest known incarnation of an instance.
    pub(super) fn send(&mut self, to: &ids::InstanceId, message: SlotMessage) {
        let member = self
            .roster
            .members
            .iter()
            .find(|member| member.instance == *to);
        if let Some(incarnation) = member.map(|member| member.incarnation) {
            let instance = to.clone();
            let to = InstanceIncarnation {
                instance,
                incarnation,
            };
            self.reply(&to, message);
        }
    }

    /// Sends a message to one incarnation of an instance, such as the sender of a request.
    pub(super) fn reply(&mut self, to: &InstanceIncarnation, message: SlotMessage) {
        if *to == self.own {
            self.local.push_back(message);
            return;
        }
        let incarnation = to.incarnation;
        let to = to.instance.clone();
        let message = AddressedMessage {
            incarnation,
            message,
        };
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.roster
            .members
            .iter()
            .any(|member| member.instance == self.own.instance && member.leaving)
    }

    /// Returns whether this instance has authority, the right to act as an owner, which contact to the zone's
    /// other instances or the platform renews.
    pub(super) fn has_authority(&self) -> bool {
        self.roster
            .authority_until
            .is_some_and(|until| self.now < until)
    }

    pub(super) fn report_broken_invariant(&mut self, invariant: &'static str) {
        debug_assert!(false, "invariant broken: {invariant}");
        self.actions.push(Action::Broken { invariant });
    }
}

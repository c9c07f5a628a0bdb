//! The membership state machine: its state, and the handling of events and heartbeats.
//!
//! A member is another instance; a neighbour is a member with which this instance exchanges heartbeats,
//! and which echoes their sequence numbers. An instance is fenced if another one has revoked its
//! authority, the right to own backend servers, by a mark at the platform. It is gone if it is proven
//! to have stopped or to be fenced.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::heartbeat::{Heartbeat, LoadSummary};
use crate::plan;
use crate::record::InstanceRecord;
use crate::settings::MembershipSettings;
use crate::state::{GoneProof, InstanceState};
use crate::view::authority::LostNeighbour;
use crate::view::counters::{HeartbeatRefusal, MembershipCounters};
use crate::view::event::{Action, Event};
use crate::view::member::Member;
use crate::view::passing::{Attempts, PlatformCopy};
use crate::view::rounds::{CutOffRound, Rounds};

/// Identity of this instance.
#[derive(Debug, Clone)]
pub struct OwnInstance {
    /// Id of this instance.
    pub instance: ids::InstanceId,
    /// Availability zone of this instance.
    pub zone: ids::AvailabilityZoneId,
    /// Incarnation, the number of this start of the instance's process.
    pub incarnation: ids::Incarnation,
}

impl OwnInstance {
    /// Returns the identity of an instance.
    #[must_use]
    pub const fn new(
        instance: ids::InstanceId,
        zone: ids::AvailabilityZoneId,
        incarnation: ids::Incarnation,
    ) -> Self {
        Self {
            instance,
            zone,
            incarnation,
        }
    }
}

/// State that this instance keeps about itself and all other instances.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: OwnInstance,
    pub(super) settings: MembershipSettings,
    pub(super) members: BTreeMap<ids::InstanceId, Member>,
    pub(super) own_record: Option<InstanceRecord>,
    pub(super) is_listed: bool,
    pub(super) is_fenced: bool,
    pub(super) leaving: bool,
    /// Arrival time of the copy of the platform's list in use, and the copy's age at that time.
    pub(super) list: Option<(time::TimeMs, time::SpanMs)>,
    /// Copy of the platform's list in use, as it was read from the platform; `None` if the list in use
    /// is what a peer knew.
    pub(super) platform_copy: Option<PlatformCopy>,
    pub(super) list_requests: Attempts,
    /// Time at which this process last resumed after a pause, or started.
    pub(super) resumed_at: time::TimeMs,
    /// Set while this instance may have been fenced without notice; a list created at this time or
    /// later shows whether it was fenced.
    pub(super) needs_list_from: Option<time::TimeMs>,
    /// Set while a neighbour that is now gone may have fenced this instance, until a list shows whether
    /// the neighbour did.
    pub(super) lost_neighbour: Option<LostNeighbour>,
    /// Time at which this instance sent its last successful request for the list to the platform.
    pub(super) platform_seen_at: Option<time::TimeMs>,
    /// Time at which the platform's list certainly still named this instance, by the latest heartbeat of
    /// a neighbour that says so.
    pub(super) listed_by_neighbour_at: Option<time::TimeMs>,
    /// Last round of heartbeats which reported that this instance could not reach the platform.
    pub(super) last_cut_off_round: Option<CutOffRound>,
    pub(super) counters: MembershipCounters,
    pub(super) now: time::TimeMs,
    started_at: time::TimeMs,
    rounds: Rounds,
    next_round_at: time::TimeMs,
    config_version: ids::ConfigVersion,
    load: LoadSummary,
}

impl Membership {
    /// Returns the membership of an instance that has no record of any other.
    #[must_use]
    pub fn new(own: OwnInstance, settings: MembershipSettings, now: time::TimeMs) -> Self {
        Self {
            own,
            settings,
            members: BTreeMap::new(),
            own_record: None,
            is_listed: false,
            is_fenced: false,
            leaving: false,
            list: None,
            platform_copy: None,
            list_requests: Attempts::default(),
            resumed_at: now,
            needs_list_from: None,
            lost_neighbour: None,
            platform_seen_at: None,
            listed_by_neighbour_at: None,
            last_cut_off_round: None,
            counters: MembershipCounters::default(),
            now,
            started_at: now,
            rounds: Rounds::default(),
            next_round_at: now,
            config_version: ids::ConfigVersion::default(),
            load: LoadSummary::default(),
        }
    }

    /// Handles an event at the time `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.detect_pause(now, &mut actions);
        match event {
            Event::List {
                records,
                age,
                source,
            } => self.apply_list(records, age, source, &mut actions),
            Event::Heartbeat {
                from,
                incarnation,
                heartbeat,
            } => self.apply_heartbeat(&from, incarnation, heartbeat, &mut actions),
            Event::Probed {
                instance,
                incarnation,
                outcome,
            } => self.apply_probe(&instance, incarnation, outcome),
            Event::Fenced {
                instance,
                incarnation,
            } => self.record_gone(&instance, incarnation, GoneProof::Fenced),
            Event::FenceFailed { instance } => self.handle_fence_failure(&instance),
            Event::Superseded => self.fence_own(&mut actions),
            Event::Report {
                config_version,
                load,
            } => {
                self.config_version = config_version;
                self.load = load;
            }
            Event::Leave => self.leave(),
            Event::Tick => self.tick(&mut actions),
        }
        self.report_changes(&mut actions);
        actions
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Returns the identity of this instance.
    #[must_use]
    pub const fn own(&self) -> &OwnInstance {
        &self.own
    }

    /// Returns whether this instance has found out that it was fenced, or replaced by a later
    /// incarnation.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    fn detect_pause(&mut self, now: time::TimeMs, actions: &mut Vec<Action>) {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        if gap <= self.settings.pause_ms {
            return;
        }
        self.counters.pauses += 1;
        self.discard_echoes(gap);
        for member in self.members.values_mut() {
            member.exclude_pause(gap, self.now);
        }
        actions.push(Action::Resumed { paused: gap });
    }

    fn leave(&mut self) {
        self.leaving = true;
        // Sends the next heartbeats, which report the stop, at once and not up to a period later.
        self.next_round_at = self.now;
    }

    fn apply_heartbeat(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if *from == self.own.instance {
            self.check_own_incarnation(incarnation, actions);
            return;
        }
        let is_own = heartbeat
            .echoed_incarnation
            .is_none_or(|echoed| echoed == self.own.incarnation);
        let echo = heartbeat.echo.filter(|_| is_own);
        let list_age = self.list_age_by_neighbour(&heartbeat);
        let now = self.now;
        let known = self.members.get(from).map(|member| member.incarnation);
        let received = match self.members.get_mut(from) {
            None => Err(HeartbeatRefusal::Unlisted),
            Some(member) => member.receive_heartbeat(incarnation, heartbeat, now),
        };
        match received {
            Err(refusal) => self.counters.count(refusal),
            Ok(()) => {
                if known < Some(incarnation) {
                    // The later incarnation may be a restart of a member that was gone.
                    self.plan_neighbours();
                }
                self.apply_echo(from, echo, list_age);
            }
        }
    }

    fn apply_echo(
        &mut self,
        from: &ids::InstanceId,
        echo: Option<u64>,
        list_age: Option<time::SpanMs>,
    ) {
        let sent_at = echo.and_then(|sequence| self.rounds.sent_at(sequence));
        let sent_at = sent_at.filter(|sent_at| *sent_at >= self.resumed_at);
        if let (Some(sent_at), Some(member)) = (sent_at, self.members.get_mut(from)) {
            member.record_echo(sent_at);
            member.echoed_sequence = member.echoed_sequence.max(echo);
            self.record_list_of_neighbour(sent_at, list_age);
        }
    }

    /// Treats this instance as fenced if a heartbeat shows that a later incarnation of it runs, which
    /// replaced this one during a pause.
    fn check_own_incarnation(&mut self, incarnation: ids::Incarnation, actions: &mut Vec<Action>) {
        if incarnation > self.own.incarnation {
            self.fence_own(actions);
        }
    }

    pub(super) fn fence_own(&mut self, actions: &mut Vec<Action>) {
        if !self.is_fenced {
            self.is_fenced = true;
            actions.push(Action::OwnFenced);
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.forget_delisted(actions);
        self.remove_old_fence_records(actions);
        self.check_silent_neighbours(actions);
        self.pass_list_to_newcomers(actions);
        self.request_missing_list(actions);
        if self.now >= self.next_round_at {
            self.send_round(actions);
        }
    }

    fn send_round(&mut self, actions: &mut Vec<Action>) {
        let neighbours = self.neighbours().count();
        if neighbours == 0 {
            return;
        }
        let period_ms = plan::period(neighbours, &self.settings);
        self.next_round_at = self.now + period_ms;
        let sequence = self.rounds.begin(self.now);
        let platform_age_ms = self.platform_seen_at.map(|seen_at| self.now.since(seen_at));
        if !self.settings.reaches_platform(platform_age_ms) {
            let sent_at = self.now;
            self.last_cut_off_round = Some(CutOffRound { sequence, sent_at });
        }
        for member in self.neighbours() {
            // A member that left the list may have been fenced by an instance that it has no record of.
            // An echo would prolong the member's authority, and both the member and its successor would
            // act.
            let received = member
                .last_received
                .as_ref()
                .filter(|_| member.delisted_at.is_none());
            let heartbeat = Heartbeat {
                sequence,
                echo: received.map(|received| received.heartbeat.sequence),
                echoed_incarnation: received.map(|_| member.incarnation),
                period_ms,
                config_version: self.config_version,
                leaving: self.leaving,
                is_starting: self.is_starting(),
                platform_age_ms,
                listed_incarnation: self.listed_incarnation(member),
                load: self.load,
            };
            actions.push(Action::Send {
                to: member.record.instance.clone(),
                address: member.record.peer_address,
                heartbeat,
            });
        }
    }

    /// Returns whether this instance is not on the list yet, or started so recently that instances which were
    /// fenced before may still act without its knowledge.
    pub(super) fn is_starting(&self) -> bool {
        !self.is_listed || self.now < self.started_at + self.settings.starting_ms
    }

    /// Returns the members that exchange heartbeats with this instance and are not proven gone.
    pub(super) fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.is_neighbour && !member.is_gone())
    }

    pub(super) fn plan_neighbours(&mut self) {
        let zone = self
            .members
            .values()
            .filter(|member| member.record.zone == self.own.zone && !member.is_gone());
        let ids = zone.map(|member| member.record.instance.clone());
        let neighbours = plan::neighbours(&self.own.instance, ids, &self.settings);
        let now = self.now;
        for (instance, member) in &mut self.members {
            let is_neighbour = neighbours.contains(instance);
            if is_neighbour && !member.is_neighbour {
                member.expected_from = now;
            }
            member.is_neighbour = is_neighbour;
        }
    }

    fn report_changes(&mut self, actions: &mut Vec<Action>) {
        for (instance, member) in &mut self.members {
            let state = member.state(self.now, &self.settings);
            if state != member.last_state {
                member.last_state = state;
                actions.push(Action::Changed {
                    instance: instance.clone(),
                    state: Some(state),
                });
            }
        }
    }

    pub(super) fn state_of(&self, member: &Member) -> InstanceState {
        member.state(self.now, &self.settings)
    }
}

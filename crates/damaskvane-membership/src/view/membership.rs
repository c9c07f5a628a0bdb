//! The aggregate itself: state, events and heartbeats.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::heartbeat::{Heartbeat, LoadSummary};
use crate::plan;
use crate::record::InstanceRecord;
use crate::settings::MembershipSettings;
use crate::state::{Gone, GoneProof, InstanceState};
use crate::view::authority::LeftAlone;
use crate::view::counters::{HeartbeatRefusal, MembershipCounters};
use crate::view::event::{Action, Event, ProbeOutcome};
use crate::view::member::Member;
use crate::view::rounds::{CutOffRound, Rounds};

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct OwnInstance {
    /// Its name.
    pub instance: ids::InstanceId,
    /// Its availability zone.
    pub zone: ids::AvailabilityZoneId,
    /// Which start of it this is.
    pub incarnation: ids::Incarnation,
}

impl OwnInstance {
    /// This instance, in its availability zone.
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

/// What one instance knows of all others.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: OwnInstance,
    pub(super) settings: MembershipSettings,
    pub(super) members: BTreeMap<ids::InstanceId, Member>,
    pub(super) own_record: Option<InstanceRecord>,
    pub(super) is_listed: bool,
    pub(super) is_fenced: bool,
    pub(super) leaving: bool,
    /// When the list in use was taken, and its age then.
    pub(super) list: Option<(time::TimeMs, time::SpanMs)>,
    /// When this process last went on after a pause.
    pub(super) woke_at: time::TimeMs,
    /// This instance may have been fenced unnoticed; a list made at this time or later tells.
    pub(super) doubts_until: Option<time::TimeMs>,
    /// A neighbour has ended that may have fenced this instance; a list tells.
    pub(super) left_alone: Option<LeftAlone>,
    /// When the platform was last asked with success.
    pub(super) platform_seen_at: Option<time::TimeMs>,
    /// The last round of heartbeats that told of a lost platform.
    pub(super) last_cut_off: Option<CutOffRound>,
    pub(super) counters: MembershipCounters,
    pub(super) now: time::TimeMs,
    rounds: Rounds,
    next_round_at: time::TimeMs,
    config_version: ids::ConfigVersion,
    load: LoadSummary,
}

impl Membership {
    /// An instance that knows of no other yet.
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
            woke_at: now,
            doubts_until: None,
            left_alone: None,
            platform_seen_at: None,
            last_cut_off: None,
            counters: MembershipCounters::default(),
            now,
            rounds: Rounds::default(),
            next_round_at: now,
            config_version: ids::ConfigVersion::default(),
            load: LoadSummary::default(),
        }
    }

    /// Takes an event at a time and returns what is to be done.
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.notice_pause(now, &mut actions);
        match event {
            Event::List {
                records,
                age,
                source,
            } => self.take_list(records, age, source, &mut actions),
            Event::Heartbeat {
                from,
                incarnation,
                heartbeat,
            } => self.take_heartbeat(&from, incarnation, heartbeat, &mut actions),
            Event::Probed {
                instance,
                incarnation,
                outcome,
            } => self.take_probe(&instance, incarnation, outcome),
            Event::Fenced {
                instance,
                incarnation,
            } => self.prove_gone(&instance, incarnation, GoneProof::Fenced),
            Event::FenceFailed { instance } => self.fence_failed(&instance),
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

    /// What has been counted so far.
    #[must_use]
    pub const fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// This instance.
    #[must_use]
    pub const fn own(&self) -> &OwnInstance {
        &self.own
    }

    /// Whether others have fenced this instance.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    fn notice_pause(&mut self, now: time::TimeMs, actions: &mut Vec<Action>) {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        if gap <= self.settings.pause_ms {
            return;
        }
        self.counters.pauses += 1;
        self.void_support(gap);
        for member in self.members.values_mut() {
            member.excuse(gap, self.now);
        }
        actions.push(Action::Resumed { paused: gap });
    }

    fn leave(&mut self) {
        self.leaving = true;
        // Neighbours hear of it at once, not up to a period later.
        self.next_round_at = self.now;
    }

    fn take_heartbeat(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if *from == self.own.instance {
            self.notice_namesake(incarnation, actions);
            return;
        }
        let echo = heartbeat.echo;
        let now = self.now;
        let known = self.members.get(from).map(|member| member.incarnation);
        let heard = match self.members.get_mut(from) {
            None => Err(HeartbeatRefusal::Unlisted),
            Some(member) => member.hear(incarnation, heartbeat, now),
        };
        match heard {
            Err(refusal) => self.counters.count(refusal),
            Ok(()) => {
                if known < Some(incarnation) {
                    // One that was gone may have come back with a later start.
                    self.plan_neighbours();
                }
                self.take_echo(from, echo);
            }
        }
    }

    fn take_echo(&mut self, from: &ids::InstanceId, echo: Option<u64>) {
        let sent_at = echo.and_then(|sequence| self.rounds.sent_at(sequence));
        let sent_at = sent_at.filter(|sent_at| *sent_at >= self.woke_at);
        if let (Some(sent_at), Some(member)) = (sent_at, self.members.get_mut(from)) {
            member.support(sent_at);
            member.echoed = member.echoed.max(echo);
        }
    }

    /// A later start of this very instance is heard: this one has been replaced while it was paused.
    fn notice_namesake(&mut self, incarnation: ids::Incarnation, actions: &mut Vec<Action>) {
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

    pub(super) fn prove_gone(
        &mut self,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        proof: GoneProof,
    ) {
        let now = self.now;
        let Some(member) = self.members.get(instance) else {
            return;
        };
        let voided_at = now + self.settings.list_lag_ms + self.acts_on_for(member);
        let may_have_fenced = self.may_have_fenced(member);
        let could_fence = member.could_fence(&self.settings);
        let supported_from = member.supported_from;
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        if member.incarnation > incarnation || member.is_gone() {
            return;
        }
        let from = match proof {
            GoneProof::Refused => now,
            // It may still run until it reads that it was fenced, or has heard nobody for too long.
            GoneProof::Delisted | GoneProof::Fenced => voided_at,
        };
        member.fencing = None;
        member.gone = Some(Gone {
            incarnation,
            proof,
            from,
        });
        if may_have_fenced && could_fence {
            self.doubt();
        } else if may_have_fenced {
            self.note_left_alone(supported_from);
        }
        self.plan_neighbours();
    }

    fn take_probe(
        &mut self,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        outcome: ProbeOutcome,
    ) {
        if outcome == ProbeOutcome::Refused {
            self.prove_gone(instance, incarnation, GoneProof::Refused);
        } else if let Some(member) = self.members.get_mut(instance) {
            member.answers_probes = outcome == ProbeOutcome::Answered;
        }
    }

    fn fence_failed(&mut self, instance: &ids::InstanceId) {
        let now = self.now;
        if let Some(member) = self.members.get_mut(instance) {
            member.fencing = None;
            member.retried_at = now;
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.forget_delisted(actions);
        self.unmark_old(actions);
        self.judge_silent(actions);
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
            self.last_cut_off = Some(CutOffRound { sequence, sent_at });
        }
        for member in self.neighbours() {
            // One that was dropped from the list may have been fenced by an instance it does not know. An
            // echo would tell it that all is well, and it would go on beside its successor.
            let heard = member
                .heard
                .as_ref()
                .filter(|_| member.delisted_at.is_none());
            let heartbeat = Heartbeat {
                sequence,
                echo: heard.map(|heard| heard.heartbeat.sequence),
                period_ms,
                config_version: self.config_version,
                leaving: self.leaving,
                platform_age_ms,
                load: self.load,
            };
            actions.push(Action::Send {
                to: member.record.instance.clone(),
                address: member.record.peer_address,
                heartbeat,
            });
        }
    }

    /// The members with whom heartbeats are exchanged and who are not proven gone.
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

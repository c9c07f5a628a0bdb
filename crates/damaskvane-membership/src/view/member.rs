//! State that is kept about one other instance, the member.
//!
//! A neighbour is a member with which this instance exchanges heartbeats. It echoes a heartbeat of this
//! instance by returning the sequence number. To fence a member is to revoke its authority, the right
//! to own backend servers, by a mark at the platform; the marked entry is its fence record.

use damaskvane_core::{ids, time};

use crate::heartbeat::Heartbeat;
use crate::record::InstanceRecord;
use crate::settings::MembershipSettings;
use crate::state::{Gone, GoneProof, InstanceState};
use crate::view::counters::HeartbeatRefusal;
use crate::view::passing::Attempts;

const SUSPECT_HALF_PERIODS: u64 = 5;
const DEAD_PERIODS: u64 = 4;

/// Last heartbeat received from an instance.
#[derive(Debug)]
pub(super) struct ReceivedHeartbeat {
    pub(super) at: time::TimeMs,
    pub(super) heartbeat: Heartbeat,
}

/// State that is kept about one other instance.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) record: InstanceRecord,
    /// Latest incarnation (start of the process) of the member, from the platform's list or a
    /// heartbeat.
    pub(super) incarnation: ids::Incarnation,
    pub(super) leaving: bool,
    pub(super) delisted_at: Option<time::TimeMs>,
    /// Time at which the latest copy of the platform's list was requested that named this incarnation,
    /// read by this instance itself.
    pub(super) listed_at: Option<time::TimeMs>,
    /// Time since which each copy of the platform's list has contained a fence record of this
    /// incarnation.
    pub(super) fence_record_since: Option<time::TimeMs>,
    /// Whether the last copy of the list that this instance itself read from the platform has a fence
    /// record of this incarnation.
    pub(super) is_fenced_at_platform: bool,
    pub(super) is_neighbour: bool,
    /// Time from which this instance expects heartbeats of the member.
    pub(super) expected_from: time::TimeMs,
    pub(super) last_received: Option<ReceivedHeartbeat>,
    /// Send time of the latest heartbeat of this instance that the member echoed.
    pub(super) echoed_sent_at: Option<time::TimeMs>,
    /// Latest round of heartbeats of this instance that the member echoed.
    pub(super) echoed_sequence: Option<u64>,
    /// Time at which this instance first knew of the member's incarnation.
    pub(super) known_from: time::TimeMs,
    /// Whether the platform's list named this instance before it first named the member's incarnation.
    pub(super) was_listed_after_own: bool,
    /// Whether a fence record states that the member may keep its authority for longer than usual.
    pub(super) fence_record_goes_on_alone: bool,
    /// Whether the last probe of the member's address established a connection; true before the first
    /// probe.
    pub(super) answers_probes: bool,
    pub(super) gone: Option<Gone>,
    /// Time of the last request to fence the member; `None` if there was none or its outcome is known.
    pub(super) fence_requested_at: Option<time::TimeMs>,
    pub(super) retried_at: time::TimeMs,
    /// Lists that were passed on to this incarnation.
    pub(super) list_passes: Attempts,
    pub(super) last_state: InstanceState,
}

impl Member {
    pub(super) fn new(record: InstanceRecord, now: time::TimeMs) -> Self {
        Self {
            incarnation: record.incarnation,
            leaving: record.leaving,
            record,
            delisted_at: None,
            listed_at: None,
            fence_record_since: None,
            is_fenced_at_platform: false,
            is_neighbour: false,
            expected_from: now,
            last_received: None,
            echoed_sent_at: None,
            echoed_sequence: None,
            known_from: now,
            was_listed_after_own: false,
            fence_record_goes_on_alone: false,
            answers_probes: true,
            gone: None,
            fence_requested_at: None,
            retried_at: now,
            list_passes: Attempts::default(),
            last_state: InstanceState::Live,
        }
    }

    /// Switches to a later incarnation and discards the state of the earlier one.
    pub(super) fn reset_for_incarnation(
        &mut self,
        incarnation: ids::Incarnation,
        now: time::TimeMs,
    ) {
        self.incarnation = incarnation;
        self.record.fenced = false;
        self.record.goes_on_alone = false;
        self.leaving = false;
        self.delisted_at = None;
        self.listed_at = None;
        self.fence_record_since = None;
        self.is_fenced_at_platform = false;
        self.expected_from = now;
        self.last_received = None;
        self.echoed_sent_at = None;
        self.echoed_sequence = None;
        self.known_from = now;
        self.was_listed_after_own = false;
        self.fence_record_goes_on_alone = false;
        self.answers_probes = true;
        self.gone = None;
        self.fence_requested_at = None;
        self.list_passes = Attempts::default();
    }

    /// Returns the member's entry with what is known of its latest incarnation.
    pub(super) fn known_record(&self) -> InstanceRecord {
        InstanceRecord {
            incarnation: self.incarnation,
            fenced: self.fence_record_since.is_some(),
            goes_on_alone: self.fence_record_goes_on_alone,
            ..self.record.clone()
        }
    }

    /// Returns whether the address of the member's entry is that of its latest incarnation.
    ///
    /// A later incarnation that is known by its heartbeats alone may listen elsewhere, so that a refused connection to
    /// the address of the entry proves nothing about it.
    pub(super) fn is_address_current(&self) -> bool {
        self.record.incarnation == self.incarnation
    }

    pub(super) fn is_gone(&self) -> bool {
        self.gone.is_some()
    }

    /// Revokes the proof that the member left the list, because a later list names this incarnation.
    ///
    /// An instance writes the entry of an incarnation only once, so the entry had not been deleted: the
    /// earlier list was made before the instance, known by its heartbeats or from a peer, was listed.
    pub(super) fn revoke_delisting(&mut self) {
        self.gone = self.gone.filter(|gone| gone.proof != GoneProof::Delisted);
    }

    /// Records a proof about a member that is gone already: a refused connection shows that its process has
    /// ended, so that what it granted expires earlier.
    ///
    /// The first proof stays, because the member may have fenced this instance before it ended.
    pub(super) fn record_end(&mut self, proof: GoneProof, now: time::TimeMs) {
        if let Some(gone) = &mut self.gone
            && proof == GoneProof::Refused
        {
            gone.from = gone.from.min(now);
            gone.has_ended = true;
        }
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        incarnation: ids::Incarnation,
        heartbeat: Heartbeat,
        now: time::TimeMs,
    ) -> Result<(), HeartbeatRefusal> {
        if incarnation < self.incarnation || (incarnation == self.incarnation && self.is_gone()) {
            return Err(HeartbeatRefusal::OldIncarnation);
        }
        if incarnation > self.incarnation {
            self.reset_for_incarnation(incarnation, now);
        }
        let last = self
            .last_received
            .as_ref()
            .map(|received| received.heartbeat.sequence);
        if last.is_some_and(|last| last >= heartbeat.sequence) {
            return Err(HeartbeatRefusal::OutOfOrder);
        }
        self.leaving |= heartbeat.leaving;
        self.last_received = Some(ReceivedHeartbeat { at: now, heartbeat });
        Ok(())
    }

    pub(super) fn record_echo(&mut self, sent_at: time::TimeMs) {
        self.echoed_sent_at = self.echoed_sent_at.max(Some(sent_at));
    }

    /// Returns whether the member is gone but may still act as an owner at `now`, so that a proof of its end
    /// would shorten the wait of its successors.
    pub(super) fn may_still_act(&self, now: time::TimeMs) -> bool {
        self.gone
            .is_some_and(|gone| !gone.has_ended && gone.from > now)
    }

    /// Excludes a pause of this process from the time without heartbeats of the member.
    ///
    /// Otherwise a process that resumes would consider all other instances dead at once, and its lookup
    /// responses would name only itself to clients.
    pub(super) fn exclude_pause(&mut self, pause: time::SpanMs, now: time::TimeMs) {
        self.expected_from = (self.expected_from + pause).min(now);
        if let Some(received) = &mut self.last_received {
            received.at = (received.at + pause).min(now);
        }
    }

    pub(super) fn silence(&self, now: time::TimeMs) -> time::SpanMs {
        let last = self.last_received.as_ref().map(|received| received.at);
        now.since(last.unwrap_or(self.expected_from))
    }

    pub(super) fn state(&self, now: time::TimeMs, settings: &MembershipSettings) -> InstanceState {
        if self.is_gone() {
            return InstanceState::Gone;
        }
        if !self.is_neighbour {
            return self.state_by_list();
        }
        let silence = self.silence(now);
        match &self.last_received {
            None if silence < settings.first_heartbeat_timeout_ms => self.live_state(),
            None => InstanceState::Dead,
            Some(last) => self.state_by_silence(silence, last.heartbeat.period_ms, settings),
        }
    }

    const fn live_state(&self) -> InstanceState {
        if self.leaving {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        }
    }

    fn state_by_list(&self) -> InstanceState {
        match (self.live_state(), self.delisted_at) {
            (InstanceState::Live, Some(_)) => InstanceState::Suspect,
            (state, _) => state,
        }
    }

    fn state_by_silence(
        &self,
        silence: time::SpanMs,
        period: time::SpanMs,
        settings: &MembershipSettings,
    ) -> InstanceState {
        // The period comes from another process. Without the upper bound, a long period would keep the
        // member from ever becoming suspect or dead.
        let period_ms = period.get().min(settings.max_period_ms.get());
        let dead_ms = (period_ms * DEAD_PERIODS).max(settings.min_dead_ms.get());
        let suspect_ms = (period_ms * SUSPECT_HALF_PERIODS / 2).max(settings.min_suspect_ms.get());
        if silence.get() >= dead_ms {
            InstanceState::Dead
        } else if silence.get() >= suspect_ms && !self.leaving {
            InstanceState::Suspect
        } else {
            self.live_state()
        }
    }

    /// Returns whether the member may be fenced: either it would lose its authority in time, or the
    /// last probe of its address established no connection; and no request to fence it is pending.
    ///
    /// A member that has echoed a heartbeat of this instance knows this instance, and loses its
    /// authority without further echoes from here. A member that has echoed none may not know of any
    /// instance that could fence it: alone in its zone and cut off from the platform, it would
    /// continue. If the member's address accepts connections, its process runs.
    pub(super) fn may_be_fenced(&self, now: time::TimeMs, settings: &MembershipSettings) -> bool {
        let is_requested = self
            .fence_requested_at
            .is_some_and(|requested_at| now.since(requested_at) < settings.fence_after_ms);
        !is_requested && (self.echoed_sent_at.is_some() || !self.answers_probes)
    }

    /// Returns whether the member could reach the platform, and so fence others, at its last heartbeat;
    /// true if no heartbeat of the member has arrived.
    pub(super) fn could_fence(&self, settings: &MembershipSettings) -> bool {
        let age = self
            .last_received
            .as_ref()
            .and_then(|received| received.heartbeat.platform_age_ms);
        self.last_received.is_none() || settings.reaches_platform(age)
    }
}

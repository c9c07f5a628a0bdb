//! What is known of one other instance.

use damaskvane_core::{ids, time};

use crate::heartbeat::Heartbeat;
use crate::record::InstanceRecord;
use crate::settings::MembershipSettings;
use crate::state::{Gone, InstanceState};
use crate::view::counters::HeartbeatRefusal;

const SUSPECT_HALF_PERIODS: u64 = 5;
const DEAD_PERIODS: u64 = 4;

/// The last heartbeat of an instance.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) at: time::TimeMs,
    pub(super) heartbeat: Heartbeat,
}

/// What is known of one other instance.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) record: InstanceRecord,
    /// The latest incarnation that the list or a heartbeat named.
    pub(super) incarnation: ids::Incarnation,
    pub(super) leaving: bool,
    pub(super) delisted_at: Option<time::TimeMs>,
    /// Since when the list has shown it as fenced, without a break.
    pub(super) marked_at: Option<time::TimeMs>,
    pub(super) is_neighbour: bool,
    /// Since when heartbeats are to be expected.
    pub(super) expected_from: time::TimeMs,
    pub(super) heard: Option<Heard>,
    /// When the latest of our heartbeats that it says it heard was sent.
    pub(super) supported_from: Option<time::TimeMs>,
    /// The latest of our rounds of heartbeats that it says it heard.
    pub(super) echoed: Option<u64>,
    /// When this start of it became known.
    pub(super) known_from: time::TimeMs,
    /// Whether its mark says that it may go on for long.
    pub(super) marked_alone: bool,
    /// Whether the last probe of its address made a connection.
    pub(super) answers_probes: bool,
    pub(super) gone: Option<Gone>,
    /// When it was last asked to be fenced, while the outcome is not known.
    pub(super) fencing: Option<time::TimeMs>,
    pub(super) retried_at: time::TimeMs,
    pub(super) last_state: InstanceState,
}

impl Member {
    pub(super) fn new(record: InstanceRecord, now: time::TimeMs) -> Self {
        Self {
            incarnation: record.incarnation,
            leaving: record.leaving,
            record,
            delisted_at: None,
            marked_at: None,
            is_neighbour: false,
            expected_from: now,
            heard: None,
            supported_from: None,
            echoed: None,
            known_from: now,
            marked_alone: false,
            answers_probes: true,
            gone: None,
            fencing: None,
            retried_at: now,
            last_state: InstanceState::Live,
        }
    }

    /// A later start voids all that is known of the earlier one.
    pub(super) fn start_anew(&mut self, incarnation: ids::Incarnation, now: time::TimeMs) {
        self.incarnation = incarnation;
        self.record.fenced = false;
        self.record.goes_on_alone = false;
        self.leaving = false;
        self.delisted_at = None;
        self.marked_at = None;
        self.expected_from = now;
        self.heard = None;
        self.supported_from = None;
        self.echoed = None;
        self.known_from = now;
        self.marked_alone = false;
        self.answers_probes = true;
        self.gone = None;
        self.fencing = None;
    }

    pub(super) fn is_gone(&self) -> bool {
        self.gone.is_some()
    }

    pub(super) fn hear(
        &mut self,
        incarnation: ids::Incarnation,
        heartbeat: Heartbeat,
        now: time::TimeMs,
    ) -> Result<(), HeartbeatRefusal> {
        if incarnation < self.incarnation || (incarnation == self.incarnation && self.is_gone()) {
            return Err(HeartbeatRefusal::OldIncarnation);
        }
        if incarnation > self.incarnation {
            self.start_anew(incarnation, now);
        }
        let last = self.heard.as_ref().map(|heard| heard.heartbeat.sequence);
        if last.is_some_and(|last| last >= heartbeat.sequence) {
            return Err(HeartbeatRefusal::Overtaken);
        }
        self.leaving |= heartbeat.leaving;
        self.heard = Some(Heard { at: now, heartbeat });
        Ok(())
    }

    pub(super) fn support(&mut self, sent_at: time::TimeMs) {
        self.supported_from = self.supported_from.max(Some(sent_at));
    }

    /// Does not count a pause of this process as silence of the other.
    ///
    /// Otherwise a process that wakes up would find every other dead at once, and would answer look-ups
    /// with itself alone.
    pub(super) fn excuse(&mut self, pause: time::SpanMs, now: time::TimeMs) {
        self.expected_from = (self.expected_from + pause).min(now);
        if let Some(heard) = &mut self.heard {
            heard.at = (heard.at + pause).min(now);
        }
    }

    pub(super) fn silence(&self, now: time::TimeMs) -> time::SpanMs {
        let last = self.heard.as_ref().map(|heard| heard.at);
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
        match &self.heard {
            None if silence < settings.first_heartbeat_timeout_ms => self.alive(),
            None => InstanceState::Dead,
            Some(heard) => self.state_by_silence(silence, heard.heartbeat.period_ms, settings),
        }
    }

    const fn alive(&self) -> InstanceState {
        if self.leaving {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        }
    }

    fn state_by_list(&self) -> InstanceState {
        match (self.alive(), self.delisted_at) {
            (InstanceState::Live, Some(_)) => InstanceState::Suspect,
            (alive, _) => alive,
        }
    }

    fn state_by_silence(
        &self,
        silence: time::SpanMs,
        period: time::SpanMs,
        settings: &MembershipSettings,
    ) -> InstanceState {
        // The period is what another process says: beyond its bound it would never be judged.
        let period_ms = period.get().min(settings.max_period_ms.get());
        let dead_ms = (period_ms * DEAD_PERIODS).max(settings.min_dead_ms.get());
        let suspect_ms = (period_ms * SUSPECT_HALF_PERIODS / 2).max(settings.min_suspect_ms.get());
        if silence.get() >= dead_ms {
            InstanceState::Dead
        } else if silence.get() >= suspect_ms && !self.leaving {
            InstanceState::Suspect
        } else {
            self.alive()
        }
    }

    /// Whether the instance may be fenced: it would notice, or it is surely not at work.
    ///
    /// One that has heard this instance loses its authority without further echoes. One that never has
    /// may not know that there is anybody who could fence it: alone in its zone and cut off from the
    /// platform, it would go on. If its address answers, it is there.
    pub(super) fn may_be_fenced(&self, now: time::TimeMs, settings: &MembershipSettings) -> bool {
        let is_asked = self
            .fencing
            .is_some_and(|asked_at| now.since(asked_at) < settings.fence_after_ms);
        !is_asked && (self.supported_from.is_some() || !self.answers_probes)
    }

    /// Whether the instance could mark others as fenced when it was last heard.
    pub(super) fn could_fence(&self, settings: &MembershipSettings) -> bool {
        let age = self
            .heard
            .as_ref()
            .and_then(|heard| heard.heartbeat.platform_age_ms);
        self.heard.is_none() || settings.reaches_platform(age)
    }
}

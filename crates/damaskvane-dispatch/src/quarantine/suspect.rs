//! The incidents (crashes of backend servers) in which one suspect request was in flight on the server.

use std::collections;

use damaskvane_core::{ids, time};

use crate::home;
use crate::quarantine::{incident, scope, settings, turn};

/// Reports of one crash of a backend server differ in time by less than this span, whichever instance
/// observed the crash and however late its report arrived.
const SAME_CRASH_WITHIN: time::SpanMs = time::SpanMs::new(3_000);

/// The incidents that a request was part of since its last completed run.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    incidents: collections::BTreeMap<incident::IncidentId, Crash>,
    /// Whether another instance has recorded the request as quarantined.
    pub(super) is_recorded: bool,
    pub(super) until: time::TimeMs,
    pub(super) scope: scope::Scope,
    /// When another caller's same request completed. Crashes until then refuse this caller only together with a later
    /// one.
    excused_until: Option<time::TimeMs>,
}

#[derive(Debug)]
struct Crash {
    server: ids::BackendServerId,
    at: time::TimeMs,
}

impl Suspect {
    /// Returns a suspect without incidents.
    pub(super) fn new(scope: scope::Scope) -> Self {
        Self {
            scope,
            ..Self::default()
        }
    }

    /// Adds an incident.
    ///
    /// Returns `false` if the incident is known, or is another instance's report of the same crash. Each
    /// instance that had a connection to a crashed server reports the crash. If these reports were counted
    /// separately, one crash would quarantine every request that was on the server.
    pub(super) fn add(&mut self, now: time::TimeMs, incident: &incident::Incident) -> bool {
        let at = time::TimeMs::new(now.get().saturating_sub(incident.age.get()));
        let is_same = |crash: &Crash| {
            let difference = at.since(crash.at).max(crash.at.since(at));
            crash.server == incident.server && difference < SAME_CRASH_WITHIN
        };
        if self.incidents.contains_key(&incident.id) || self.incidents.values().any(is_same) {
            return false;
        }
        let server = incident.server.clone();
        let crash = Crash { server, at };
        self.incidents.insert(incident.id.clone(), crash);
        true
    }

    /// Removes the crashes until `at`, when the request completed; returns whether any crash is left.
    pub(super) fn remove_crashes_until(&mut self, at: time::TimeMs) -> bool {
        self.incidents.retain(|_, crash| crash.at > at);
        !self.incidents.is_empty()
    }

    /// Returns whether the request is refused.
    pub(super) fn is_refused(&self, settings: &settings::QuarantineSettings) -> bool {
        let is_suspected =
            self.is_recorded || self.has_enough_crashes(settings, self.crash_times());
        is_suspected && !self.is_excused()
    }

    /// Records that another caller's same request completed at `at`.
    ///
    /// Returns whether this excuses the caller: all its crashes happened before, in one wave.
    pub(super) fn excuse(
        &mut self,
        settings: &settings::QuarantineSettings,
        at: time::TimeMs,
    ) -> bool {
        let was_excused = self.is_excused();
        if count_waves(settings, self.crash_times()) == 1 {
            self.excused_until = self.excused_until.max(Some(at));
        }
        !was_excused && self.is_excused()
    }

    fn is_excused(&self) -> bool {
        let Some(until) = self.excused_until else {
            return false;
        };
        !self.incidents.is_empty() && self.crash_times().all(|at| at <= until)
    }

    /// Returns whether the request would be refused after `unconfirmed` more crashes at `now`.
    pub(super) fn would_be_refused(
        &self,
        settings: &settings::QuarantineSettings,
        now: time::TimeMs,
        unconfirmed: usize,
    ) -> bool {
        let further = core::iter::repeat_n(now, unconfirmed);
        self.is_recorded || self.has_enough_crashes(settings, self.crash_times().chain(further))
    }

    fn has_enough_crashes(
        &self,
        settings: &settings::QuarantineSettings,
        crash_times: impl Iterator<Item = time::TimeMs>,
    ) -> bool {
        let count = match self.scope {
            scope::Scope::Caller => crash_times.count(),
            scope::Scope::AnyCaller => count_waves(settings, crash_times),
        };
        count >= settings.incidents
    }

    /// Returns whose turn it is to run the request as a trial, as seen by the instance `own`.
    pub(super) fn turn(
        &self,
        settings: &settings::QuarantineSettings,
        now: time::TimeMs,
        own: &home::Home,
    ) -> turn::Turn {
        if !self.is_on_trial(settings, now) {
            return turn::Turn::Free;
        }
        match self.first_reporter(settings, now) {
            Some(first) if first != own => turn::Turn::Other,
            _ => turn::Turn::Own,
        }
    }

    /// Returns the instance that runs the request alone, as a trial.
    ///
    /// The instances agree on it without a message of its own: all of them know who reported the crashes. It has run the
    /// request, so that it probably has further copies.
    pub(super) fn first_reporter(
        &self,
        settings: &settings::QuarantineSettings,
        now: time::TimeMs,
    ) -> Option<&home::Home> {
        let turn = time::SpanMs::new(settings.trial_turn_ms);
        let last_crash = self.crash_times().max()?;
        let is_alone = self.is_on_trial(settings, now) && now.since(last_crash) < turn;
        let first = self.incidents.keys().next().filter(|_| is_alone)?;
        Some(&first.reporter)
    }

    /// Returns whether each instance runs one copy of the request at a time at most.
    pub(super) fn is_on_trial(
        &self,
        settings: &settings::QuarantineSettings,
        now: time::TimeMs,
    ) -> bool {
        let until = self
            .crash_times()
            .max()
            .map(|last| last + time::SpanMs::new(settings.trial_ms));
        self.scope == scope::Scope::AnyCaller
            && self.len() >= settings.trial_crashes
            && until.is_some_and(|until| now < until)
    }

    /// Returns the end of the last wave of crashes.
    pub(super) fn wave_end(&self, settings: &settings::QuarantineSettings) -> time::TimeMs {
        let ends = wave_ends(settings, self.crash_times());
        ends.last().copied().unwrap_or(time::TimeMs::ZERO)
    }

    fn crash_times(&self) -> impl Iterator<Item = time::TimeMs> {
        self.incidents.values().map(|crash| crash.at)
    }

    pub(super) fn len(&self) -> usize {
        self.incidents.len()
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        self.incidents.values().map(|crash| &crash.server)
    }
}

/// Returns the number of waves of crashes.
fn count_waves(
    settings: &settings::QuarantineSettings,
    crash_times: impl Iterator<Item = time::TimeMs>,
) -> usize {
    wave_ends(settings, crash_times).len()
}

/// Returns the end of each wave of crashes, in order.
fn wave_ends(
    settings: &settings::QuarantineSettings,
    crash_times: impl Iterator<Item = time::TimeMs>,
) -> Vec<time::TimeMs> {
    let length = time::SpanMs::new(settings.wave_ms);
    let mut crash_times: Vec<_> = crash_times.collect();
    crash_times.sort_unstable();
    let mut ends: Vec<time::TimeMs> = Vec::new();
    for at in crash_times {
        if ends.last().is_none_or(|end| at >= *end) {
            ends.push(at + length);
        }
    }
    ends
}

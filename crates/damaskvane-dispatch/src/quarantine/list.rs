//! The suspects and quarantined requests of a region, as known to one instance.
//!
//! An incident is one crash of a backend server; a suspect is a request that was in flight on the server. A
//! quarantined request is refused.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! let list = quarantine::Quarantine::new(quarantine::QuarantineSettings::default());
//! assert_eq!(list.list(damaskvane_core::time::TimeMs::ZERO).len(), 0);
//! ```

mod copies;

use std::collections;

use damaskvane_core::{ids, time};

use crate::fingerprint;
use crate::quarantine::{completions, decision, incident, scope, settings, suspect, trial};

/// The suspects and quarantined requests, by fingerprint.
#[derive(Debug)]
pub struct Quarantine {
    settings: settings::QuarantineSettings,
    suspects: collections::BTreeMap<fingerprint::Fingerprint, suspect::Suspect>,
    /// When each request last completed or was cleared; incidents before this time are ignored.
    cleared: collections::BTreeMap<fingerprint::Fingerprint, time::TimeMs>,
    /// Those of `cleared` that completed and crashed no server since; a late record of their quarantine is ignored.
    completed: collections::BTreeSet<fingerprint::Fingerprint>,
    /// The suspect that this instance runs; no other suspect may run until its run ends.
    running_alone: Option<fingerprint::Fingerprint>,
    trials: trial::Trials,
    /// When requests completed a short time ago, suspects or not; reports of earlier crashes may still arrive.
    completed_lately: completions::RecentCompletions,
}

impl Quarantine {
    /// Creates an empty list.
    #[must_use]
    pub fn new(settings: settings::QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: collections::BTreeMap::new(),
            cleared: collections::BTreeMap::new(),
            completed: collections::BTreeSet::new(),
            running_alone: None,
            trials: trial::Trials::default(),
            completed_lately: completions::RecentCompletions::default(),
        }
    }

    /// Merges an incident that this instance observed or that a peer reported.
    ///
    /// Incidents may arrive in any order and any number of times. Returns the requests that this incident puts
    /// into quarantine.
    pub fn record_incident(
        &mut self,
        now: time::TimeMs,
        incident: &incident::Incident,
    ) -> Vec<fingerprint::Fingerprint> {
        self.record_scoped_incident(now, scope::Scope::Caller, incident)
    }

    /// Merges an incident whose suspects are fingerprints in the given scope; see [`Quarantine::record_incident`].
    pub fn record_scoped_incident(
        &mut self,
        now: time::TimeMs,
        scope: scope::Scope,
        incident: &incident::Incident,
    ) -> Vec<fingerprint::Fingerprint> {
        self.expire(now);
        let mut refused = Vec::new();
        for fingerprint in &incident.suspects {
            if self.running_alone == Some(*fingerprint) {
                self.running_alone = None;
            }
            if self.was_cleared_since(now, *fingerprint, incident.age) {
                continue;
            }
            let was_refused = self.refused_for(now, *fingerprint).is_some();
            self.add_incident(now, scope, *fingerprint, incident);
            if !was_refused && self.refused_for(now, *fingerprint).is_some() {
                refused.push(*fingerprint);
            }
        }
        refused
    }

    /// Applies another instance's record that a request is quarantined on all instances.
    ///
    /// A record may be written late, by an instance that has not learned that the request completed; the record of a
    /// request that is known to have completed is ignored. Returns whether the request is refused and was not before.
    pub fn apply_quarantine_record(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> bool {
        let is_suspect = self.suspects.contains_key(&fingerprint);
        if !is_suspect && self.completed.contains(&fingerprint) {
            return false;
        }
        let was_refused = self.refused_for(now, fingerprint).is_some();
        self.evict_for(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.is_recorded = true;
        if !was_refused {
            suspect.until = now + time::SpanMs::new(self.settings.expiry_ms);
        }
        !was_refused && self.refused_for(now, fingerprint).is_some()
    }

    /// Applies the removal of a request's record.
    ///
    /// A refused request is cleared. One that may run keeps its crashes: its record was removed because the request
    /// completed for other callers, and a later crash counts together with the earlier ones. Returns whether the request
    /// was refused.
    pub fn release_record(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> bool {
        if self.refused_for(now, fingerprint).is_some() {
            return self.clear(now, fingerprint);
        }
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.is_recorded = false;
        }
        false
    }

    /// Returns for how much longer a request is refused, or `None` if it may run.
    #[must_use]
    pub fn refused_for(
        &self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> Option<time::SpanMs> {
        let suspect = self.suspects.get(&fingerprint)?;
        let is_refused = now < suspect.until && suspect.is_refused(&self.settings);
        is_refused.then(|| suspect.until.since(now))
    }

    /// Returns whether a request would be refused if each of its `unconfirmed` exchanges, whose connections
    /// broke without a confirmed crash of the server, turns out to be an incident.
    #[must_use]
    pub fn may_be_refused(
        &self,
        now: time::TimeMs,
        scope: scope::Scope,
        fingerprint: fingerprint::Fingerprint,
        unconfirmed: usize,
    ) -> bool {
        let unknown = suspect::Suspect::new(scope);
        let suspect = self.suspects.get(&fingerprint).unwrap_or(&unknown);
        unconfirmed > 0 && suspect.would_be_refused(&self.settings, now, unconfirmed)
    }

    /// Returns whether a request was part of an incident and has not completed since, or is refused.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns whether there are no suspects, so that every request may run.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records a completed run, which clears a suspect.
    ///
    /// Returns whether the request was a suspect; if so, the other instances have to clear it too, with
    /// [`Quarantine::clear`].
    pub fn record_completed(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> bool {
        self.release(fingerprint);
        self.suspects.contains_key(&fingerprint) && self.clear(now, fingerprint)
    }

    /// Ends the exclusive run of a suspect that neither completed nor crashed its server.
    pub fn release(&mut self, fingerprint: fingerprint::Fingerprint) {
        if self.running_alone == Some(fingerprint) {
            self.running_alone = None;
        }
    }

    /// Decides whether a request may run, before the request is admitted.
    pub fn decide(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> decision::QuarantineDecision {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return decision::QuarantineDecision::Run;
        };
        if suspect.until <= now {
            return decision::QuarantineDecision::Run;
        }
        if let Some(retry_after) = self.refused_for(now, fingerprint) {
            return decision::QuarantineDecision::Refuse { retry_after };
        }
        if self.running_alone.is_some() {
            return decision::QuarantineDecision::Wait;
        }
        self.running_alone = Some(fingerprint);
        decision::QuarantineDecision::RunAlone
    }

    /// Returns the backend servers that a suspect must not be sent to again.
    pub fn servers_to_avoid(
        &self,
        fingerprint: fingerprint::Fingerprint,
    ) -> impl Iterator<Item = &ids::BackendServerId> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.into_iter().flat_map(suspect::Suspect::servers)
    }

    /// Records that one caller's request completed at `completed_at`, at this instance or another one.
    ///
    /// This clears the request of this caller and of any caller. It also excuses other callers that sent the request in
    /// one wave of crashes only: servers that failed together took it down, not the request. They stay suspects, since
    /// a request may crash servers only with what one caller sends beside it. Crashes after `completed_at` still count.
    /// Returns whether a suspect was cleared or excused.
    pub fn record_request_completed(
        &mut self,
        completed_at: time::TimeMs,
        request: &scope::RequestIdentity,
    ) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let mut has_changed = false;
        for scope in scope::Scope::ALL {
            let fingerprint = request.fingerprint(scope);
            self.completed_lately
                .record(&self.settings, completed_at, fingerprint);
            has_changed |= self.clear_until(completed_at, fingerprint);
        }
        let of_request = request.fingerprint(scope::Scope::AnyCaller).callers();
        for (_, other) in self.suspects.range_mut(of_request) {
            if other.scope == scope::Scope::Caller {
                has_changed |= other.excuse(&self.settings, completed_at);
            }
        }
        has_changed
    }

    fn clear_until(
        &mut self,
        completed_at: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        if suspect.remove_crashes_until(completed_at) {
            return false;
        }
        self.clear(completed_at, fingerprint);
        self.completed.insert(fingerprint);
        true
    }

    /// Removes a request from the list, on an operator's command or after a completed run on any instance.
    ///
    /// Returns `false` if the request was not listed.
    pub fn clear(&mut self, now: time::TimeMs, fingerprint: fingerprint::Fingerprint) -> bool {
        let was_listed = self.suspects.remove(&fingerprint).is_some();
        self.cleared.insert(fingerprint, now);
        was_listed
    }

    /// Returns the entries of the list that operators see.
    #[must_use]
    pub fn list(&self, now: time::TimeMs) -> Vec<decision::QuarantineEntry> {
        let to_entry = |(fingerprint, suspect): (&fingerprint::Fingerprint, &suspect::Suspect)| {
            decision::QuarantineEntry {
                fingerprint: *fingerprint,
                incidents: suspect.len(),
                is_refused: suspect.is_refused(&self.settings),
                time_left: suspect.until.since(now),
            }
        };
        self.suspects.iter().map(to_entry).collect()
    }

    /// Removes the suspects and cleared requests that have expired.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.suspects.retain(|_, suspect| now < suspect.until);
        let suspects = &self.suspects;
        self.trials
            .retain(|request| suspects.contains_key(&request));
        let retention = time::SpanMs::new(self.settings.suspicion_ms);
        self.cleared.retain(|_, at| now < *at + retention);
        self.completed_lately.expire(&self.settings, now);
        let cleared = &self.cleared;
        self.completed.retain(|one| cleared.contains_key(one));
        if self
            .running_alone
            .is_some_and(|suspect| !self.suspects.contains_key(&suspect))
        {
            self.running_alone = None;
        }
    }

    fn was_cleared_since(
        &self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
        age: time::SpanMs,
    ) -> bool {
        let cleared = self.cleared.get(&fingerprint).copied();
        let completed = self.completed_lately.last(fingerprint);
        cleared
            .max(completed)
            .is_some_and(|last| now.since(last) < age)
    }

    fn add_incident(
        &mut self,
        now: time::TimeMs,
        scope: scope::Scope,
        fingerprint: fingerprint::Fingerprint,
        incident: &incident::Incident,
    ) {
        self.evict_for(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.scope = scope;
        if !suspect.add(now, incident) {
            return;
        }
        self.completed.remove(&fingerprint);
        let is_refused = suspect.is_refused(&self.settings);
        let duration_ms = if is_refused {
            self.settings.expiry_ms
        } else {
            self.settings.suspicion_ms
        };
        suspect.until = now + time::SpanMs::new(duration_ms).saturating_sub(incident.age);
    }

    /// Removes the suspect that expires first, if the list is full and doesn't hold the given request.
    fn evict_for(&mut self, fingerprint: fingerprint::Fingerprint) {
        let is_full = self.suspects.len() >= self.settings.max_suspects;
        if !is_full || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let first = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.until);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}

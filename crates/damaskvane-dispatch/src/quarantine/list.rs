//! The suspects and quarantined requests of a region, as one instance knows them.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! let list = quarantine::Quarantine::new(quarantine::QuarantineSettings::default());
//! assert_eq!(list.list(damaskvane_core::time::TimeMs::ZERO).len(), 0);
//! ```

use std::collections;

use damaskvane_core::{ids, time};

use crate::fingerprint;
use crate::quarantine::{incident, settings, suspect, verdict};

/// Suspects by fingerprint.
#[derive(Debug)]
pub struct Quarantine {
    settings: settings::QuarantineSettings,
    suspects: collections::BTreeMap<fingerprint::Fingerprint, suspect::Suspect>,
    /// When each request last completed or was cleared; older incidents say nothing against it.
    cleared: collections::BTreeMap<fingerprint::Fingerprint, time::TimeMs>,
    alone: Option<fingerprint::Fingerprint>,
}

impl Quarantine {
    /// An empty list.
    #[must_use]
    pub const fn new(settings: settings::QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: collections::BTreeMap::new(),
            cleared: collections::BTreeMap::new(),
            alone: None,
        }
    }

    /// Merges an incident seen here or told by a peer; in any order, any number of times. Returns the
    /// requests that are refused from now on.
    pub fn record_incident(
        &mut self,
        now: time::TimeMs,
        incident: &incident::Incident,
    ) -> Vec<fingerprint::Fingerprint> {
        self.expire(now);
        let mut refused = Vec::new();
        for fingerprint in &incident.suspects {
            if self.alone == Some(*fingerprint) {
                self.alone = None;
            }
            if self.was_cleared_since(now, *fingerprint, incident.age) {
                continue;
            }
            let was_refused = self.refusal(now, *fingerprint).is_some();
            self.suspect(now, *fingerprint, incident);
            if !was_refused && self.refusal(now, *fingerprint).is_some() {
                refused.push(*fingerprint);
            }
        }
        refused
    }

    /// Takes in that another instance has found a request guilty and recorded so for all; returns whether
    /// that is news.
    pub fn apply_quarantine_record(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> bool {
        let was_refused = self.refusal(now, fingerprint).is_some();
        self.make_room_for(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.is_recorded = true;
        if !was_refused {
            suspect.until = now + time::SpanMs::new(self.settings.expiry_ms);
        }
        !was_refused
    }

    /// How much longer a request is refused; none if it may run.
    #[must_use]
    pub fn refusal(
        &self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> Option<time::SpanMs> {
        let suspect = self.suspects.get(&fingerprint)?;
        let is_refused = now < suspect.until && suspect.is_refused(self.settings.incidents);
        is_refused.then(|| suspect.until.since(now))
    }

    /// Whether a request would be refused if so many broken exchanges of it, for which the proof is missing,
    /// turn out as incidents.
    #[must_use]
    pub fn may_be_refused(&self, fingerprint: fingerprint::Fingerprint, unproven: usize) -> bool {
        let proven = self
            .suspects
            .get(&fingerprint)
            .map_or(0, suspect::Suspect::len);
        unproven > 0 && proven + unproven >= self.settings.incidents
    }

    /// Whether nothing is suspected, so that no request needs to be judged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Notes a completed run, which clears a suspect; returns whether it was one, so that peers are
    /// told by [`Quarantine::clear`].
    pub fn record_completed(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> bool {
        self.release(fingerprint);
        self.suspects.contains_key(&fingerprint) && self.clear(now, fingerprint)
    }

    /// Ends the turn of a suspect that neither completed nor crashed its server.
    pub fn release(&mut self, fingerprint: fingerprint::Fingerprint) {
        if self.alone == Some(fingerprint) {
            self.alone = None;
        }
    }

    /// Decides on a request before it is admitted.
    pub fn decide(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> verdict::QuarantineDecision {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return verdict::QuarantineDecision::Run;
        };
        if suspect.until <= now {
            return verdict::QuarantineDecision::Run;
        }
        if let Some(retry_after) = self.refusal(now, fingerprint) {
            return verdict::QuarantineDecision::Refuse { retry_after };
        }
        if self.alone.is_some() {
            return verdict::QuarantineDecision::Wait;
        }
        self.alone = Some(fingerprint);
        verdict::QuarantineDecision::RunAlone
    }

    /// The backend servers that a suspect must not be sent to again.
    pub fn avoided(
        &self,
        fingerprint: fingerprint::Fingerprint,
    ) -> impl Iterator<Item = &ids::BackendServerId> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.into_iter().flat_map(suspect::Suspect::servers)
    }

    /// Lets a request go, by an operator or a peer's completed run; `false` if it was not listed.
    pub fn clear(&mut self, now: time::TimeMs, fingerprint: fingerprint::Fingerprint) -> bool {
        let was_listed = self.suspects.remove(&fingerprint).is_some();
        self.cleared.insert(fingerprint, now);
        was_listed
    }

    /// What operators see.
    #[must_use]
    pub fn list(&self, now: time::TimeMs) -> Vec<verdict::QuarantineEntry> {
        let listed = |(fingerprint, suspect): (&fingerprint::Fingerprint, &suspect::Suspect)| {
            verdict::QuarantineEntry {
                fingerprint: *fingerprint,
                incidents: suspect.len(),
                is_refused: suspect.is_refused(self.settings.incidents),
                time_left: suspect.until.since(now),
            }
        };
        self.suspects.iter().map(listed).collect()
    }

    /// Lets go what has expired.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.suspects.retain(|_, suspect| now < suspect.until);
        let memory = time::SpanMs::new(self.settings.suspicion_ms);
        self.cleared.retain(|_, at| now < *at + memory);
        if self
            .alone
            .is_some_and(|alone| !self.suspects.contains_key(&alone))
        {
            self.alone = None;
        }
    }

    fn was_cleared_since(
        &self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
        age: time::SpanMs,
    ) -> bool {
        self.cleared
            .get(&fingerprint)
            .is_some_and(|cleared| now.since(*cleared) < age)
    }

    fn suspect(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
        incident: &incident::Incident,
    ) {
        self.make_room_for(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        if !suspect.add(now, incident) {
            return;
        }
        let is_refused = suspect.is_refused(self.settings.incidents);
        let lasts_ms = if is_refused {
            self.settings.expiry_ms
        } else {
            self.settings.suspicion_ms
        };
        suspect.until = now + time::SpanMs::new(lasts_ms).saturating_sub(incident.age);
    }

    /// Forgets the suspect that expires first, if there is no room for another one.
    fn make_room_for(&mut self, fingerprint: fingerprint::Fingerprint) {
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

//! Completed runs of the last moments, of suspects or not.
//!
//! A report of a crash may be lost and arrive only when it is sent again. Until then the request may have completed at this
//! instance, where it was no suspect yet, and nobody tells this instance of runs that completed elsewhere.

use std::collections;

use damaskvane_core::time;

use crate::fingerprint;
use crate::quarantine::settings;

/// When requests completed a short time ago.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions {
    by_request: collections::BTreeMap<fingerprint::Fingerprint, time::TimeMs>,
}

impl RecentCompletions {
    /// Records a completed run.
    pub(super) fn record(
        &mut self,
        settings: &settings::QuarantineSettings,
        completed_at: time::TimeMs,
        request: fingerprint::Fingerprint,
    ) {
        if self.by_request.len() >= settings.max_suspects {
            self.expire(settings, completed_at);
        }
        if self.by_request.len() < settings.max_suspects {
            self.by_request.insert(request, completed_at);
        }
    }

    /// Returns when the request completed last.
    pub(super) fn last(&self, request: fingerprint::Fingerprint) -> Option<time::TimeMs> {
        self.by_request.get(&request).copied()
    }

    /// Forgets what completed too long ago.
    pub(super) fn expire(&mut self, settings: &settings::QuarantineSettings, now: time::TimeMs) {
        let memory = time::SpanMs::new(settings.completion_memory_ms);
        self.by_request.retain(|_, at| now < *at + memory);
    }
}

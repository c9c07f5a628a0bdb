//! Trials: the only copy of a request that an instance runs while it is unknown whether the request crashes servers.

use std::collections;

use damaskvane_core::time;

use crate::fingerprint;
use crate::quarantine::copy::CopyId;

/// The trials of an instance, by the fingerprint of the request of any caller.
#[derive(Debug, Default)]
pub(super) struct Trials {
    by_request: collections::BTreeMap<fingerprint::Fingerprint, Trial>,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    copy: CopyId,
    /// When the connection to the trial's server broke.
    broke_at: Option<time::TimeMs>,
}

impl Trials {
    /// Makes a copy the request's trial, unless another one is; returns whether it is the trial.
    ///
    /// A trial whose connection broke has probably crashed its server, in the same wave of crashes as those before, which
    /// proves nothing new. The next one starts at `wave_end`, when a further crash is another wave.
    pub(super) fn take(
        &mut self,
        now: time::TimeMs,
        wave_end: time::TimeMs,
        request: fingerprint::Fingerprint,
        copy: CopyId,
    ) -> bool {
        let may_take = self
            .by_request
            .get(&request)
            .is_none_or(|trial| match trial.broke_at {
                Some(broke_at) => now >= wave_end && now > broke_at,
                None => trial.copy == copy,
            });
        if may_take {
            let trial = Trial {
                copy,
                broke_at: None,
            };
            self.by_request.insert(request, trial);
        }
        may_take
    }

    /// Records that the connection of a copy broke.
    pub(super) fn record_broken(
        &mut self,
        now: time::TimeMs,
        request: fingerprint::Fingerprint,
        copy: CopyId,
    ) {
        let trial = self.by_request.get_mut(&request);
        if let Some(trial) = trial.filter(|trial| trial.copy == copy) {
            trial.broke_at = Some(now);
        }
    }

    /// Records that a copy has ended; returns whether another one may run as the trial at once.
    pub(super) fn record_end(&mut self, request: fingerprint::Fingerprint, copy: CopyId) -> bool {
        let is_over = |trial: &Trial| trial.copy == copy && trial.broke_at.is_none();
        let was_trial = self.by_request.get(&request).is_some_and(is_over);
        if was_trial {
            self.by_request.remove(&request);
        }
        was_trial
    }

    /// Removes the trials of requests that are no suspects any more.
    pub(super) fn retain(&mut self, is_suspect: impl Fn(fingerprint::Fingerprint) -> bool) {
        self.by_request.retain(|request, _| is_suspect(*request));
    }
}

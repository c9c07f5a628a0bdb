//! Which copies of suspects run, and which are held for a trial.

use damaskvane_core::time;

use crate::fingerprint;
use crate::home;
use crate::quarantine::{Quarantine, copy, scope, turn};

impl Quarantine {
    /// Decides whether a copy of a request may run or go on running at the instance `own`.
    ///
    /// A copy that runs as a trial keeps others from running until [`Quarantine::record_copy_end`] is called.
    pub fn decide_copy(
        &mut self,
        now: time::TimeMs,
        own: &home::Home,
        request: &scope::RequestIdentity,
        copy: copy::CopyId,
    ) -> copy::CopyDecision {
        let fingerprints = scope::Scope::ALL.map(|scope| request.fingerprint(scope));
        let mut all = fingerprints.into_iter();
        if all.any(|one| self.refused_for(now, one).is_some()) {
            return copy::CopyDecision::Hold;
        }
        let any_caller = request.fingerprint(scope::Scope::AnyCaller);
        let suspect = self.suspects.get(&any_caller);
        let Some(suspect) = suspect else {
            return copy::CopyDecision::Run;
        };
        match suspect.turn(&self.settings, now, own) {
            turn::Turn::Free => copy::CopyDecision::Run,
            turn::Turn::Other => copy::CopyDecision::Hold,
            turn::Turn::Own => {
                let wave_end = suspect.wave_end(&self.settings);
                if self.trials.take(now, wave_end, any_caller, copy) {
                    copy::CopyDecision::RunAsTrial
                } else {
                    copy::CopyDecision::Hold
                }
            }
        }
    }

    /// Records that the connection of a copy broke after the request was written.
    pub fn record_copy_broken(
        &mut self,
        now: time::TimeMs,
        request: &scope::RequestIdentity,
        copy: copy::CopyId,
    ) {
        let any_caller = request.fingerprint(scope::Scope::AnyCaller);
        self.trials.record_broken(now, any_caller, copy);
    }

    /// Records that a copy has ended; returns whether it was the trial, so that another one may run.
    pub fn record_copy_end(
        &mut self,
        request: &scope::RequestIdentity,
        copy: copy::CopyId,
    ) -> bool {
        let any_caller = request.fingerprint(scope::Scope::AnyCaller);
        self.trials.record_end(any_caller, copy)
    }

    /// Returns whether instances hold copies of a request of any caller, since it is unknown whether it crashes servers.
    #[must_use]
    pub fn is_on_trial(&self, now: time::TimeMs, any_caller: fingerprint::Fingerprint) -> bool {
        let is_refused = self.refused_for(now, any_caller).is_some();
        let suspect = self.suspects.get(&any_caller);
        !is_refused && suspect.is_some_and(|one| one.is_on_trial(&self.settings, now))
    }

    /// Returns the instance that alone runs a request of any caller; `None` if the request is not on trial, or may be run
    /// by every instance.
    #[must_use]
    pub fn trial_runner(
        &self,
        now: time::TimeMs,
        any_caller: fingerprint::Fingerprint,
    ) -> Option<&home::Home> {
        let suspect = self.suspects.get(&any_caller)?;
        let is_refused = self.refused_for(now, any_caller).is_some();
        suspect
            .first_reporter(&self.settings, now)
            .filter(|_| !is_refused)
    }
}

//! Requests of callers: they arrive, are decided on, sent, answered, and sent again.

use damaskvane_dispatch::quarantine::RequestIdentity;
use rand::RngExt;

use super::design::Design;
use super::event::{Event, Notice};
use super::run::Run;
use super::world::World;
use super::{
    CALLER_RETRY_MS, CALLERS, CLEARED_WITHIN_MS, CONTACT_MS, CRASH_AFTER_MS, INSTANCES,
    PROBE_POLL_MS, PROBE_WAIT_MS, REMOVAL_MS, RUN_MS, SERVERS,
};
use crate::support::keys::at;

impl World {
    pub(super) fn arrive(&mut self, is_crashing: bool) {
        let run = Run {
            is_crashing,
            caller: self.rng.random_range(0..CALLERS),
            instance: self.rng.random_range(0..INSTANCES),
            tried: Vec::new(),
            waited_ms: 0,
            is_repeated: false,
        };
        if !is_crashing {
            self.harm.harmless += 1;
        }
        self.attempt(run);
        let next_ms = if is_crashing {
            self.rng.random_range(20..1_400)
        } else {
            self.rng.random_range(1..50)
        };
        self.schedule(next_ms, Event::Arrive { is_crashing });
    }

    pub(super) fn attempt(&mut self, mut run: Run) {
        let now = at(self.now_ms);
        let request = run.identity();
        let suspects = self.design.suspects(&request);
        let instance = &self.instances[run.instance];
        let awaits_probe = suspects.iter().any(|(scope, fingerprint)| {
            let is_same = |one: &RequestIdentity| one.has(*fingerprint);
            let unproven = instance.broken.unconfirmed_count(now, is_same);
            let list = &instance.list;
            list.may_be_refused(now, *scope, *fingerprint, unproven)
        });
        if awaits_probe && run.waited_ms < PROBE_WAIT_MS {
            if run.waited_ms == 0 && !run.is_crashing {
                self.harm.harmless_delayed += 1;
            }
            run.waited_ms += PROBE_POLL_MS;
            return self.schedule(PROBE_POLL_MS, Event::Attempt(run));
        }
        let mut fingerprints = suspects.iter().map(|(_, fingerprint)| *fingerprint);
        if fingerprints.any(|one| instance.list.refused_for(now, one).is_some()) {
            if !run.is_crashing {
                self.harm.harmless_refused += 1;
                let is_undisturbed = instance.disturbed_until_ms <= self.now_ms;
                let is_late =
                    is_undisturbed && self.now_ms > self.last_crash_ms + CLEARED_WITHIN_MS;
                self.harm.harmless_refused_late += usize::from(is_late);
            }
            return self.fail(&run);
        }
        let up: Vec<usize> = (0..SERVERS)
            .filter(|server| self.servers[*server].up_at_ms <= self.now_ms)
            .filter(|server| !run.tried.contains(server))
            .collect();
        if up.is_empty() {
            return self.fail(&run);
        }
        let server = up[self.rng.random_range(0..up.len())];
        self.send(run, server);
    }

    fn send(&mut self, mut run: Run, server: usize) {
        run.tried.push(server);
        run.waited_ms = 0;
        if run.is_crashing {
            self.count_late_send(&run);
            self.schedule(CRASH_AFTER_MS, Event::Crash { server });
        }
        self.last_event += 1;
        let id = self.last_event;
        self.servers[server].runs.insert(id, run);
        self.schedule(RUN_MS, Event::End { run: id, server });
    }

    fn count_late_send(&mut self, run: &Run) {
        let is_late = self
            .third_crash_ms
            .is_some_and(|third_ms| self.now_ms > third_ms + CONTACT_MS);
        let is_undisturbed = self.instances[run.instance].disturbed_until_ms <= self.now_ms;
        if is_late && is_undisturbed {
            self.harm.late_sends += 1;
        }
    }

    /// A caller sends its request once more after a failure, to any instance.
    pub(super) fn fail(&mut self, run: &Run) {
        if run.is_repeated {
            return;
        }
        let repeated = Run {
            instance: self.rng.random_range(0..INSTANCES),
            tried: Vec::new(),
            waited_ms: 0,
            is_repeated: true,
            ..run.clone()
        };
        self.schedule(CALLER_RETRY_MS, Event::Attempt(repeated));
    }

    pub(super) fn end(&mut self, id: u64, server: usize) {
        let Some(run) = self.servers[server].runs.remove(&id) else {
            return;
        };
        let now = at(self.now_ms);
        let request = run.identity();
        let instance = &mut self.instances[run.instance];
        instance.broken.record_completed(request);
        if self.design == Design::Waves {
            if instance.list.record_request_completed(now, &request) {
                self.schedule(REMOVAL_MS, Event::RemoveOutdated);
                let delay_ms = self.rng.random_range(0..=100);
                let notice = Notice::Completed(request, self.now_ms);
                self.broadcast(run.instance, &notice, &[delay_ms]);
            }
            return;
        }
        for (_, fingerprint) in self.design.suspects(&request) {
            instance.list.record_completed(now, fingerprint);
        }
    }
}

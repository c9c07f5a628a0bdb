//! Requests of callers: they arrive, are decided on, sent, answered, and sent again.

use damaskvane_dispatch::quarantine::{CopyDecision, CopyId, RequestIdentity, Scope};
use rand::RngExt;

use super::event::{Event, Notice};
use super::run::Run;
use super::world::World;
use super::{
    CALLER_RETRY_MS, CALLERS, CLEARED_WITHIN_MS, CONTACT_MS, CRASH_AFTER_MS, HOLD_MS, INSTANCES,
    PROBE_POLL_MS, PROBE_WAIT_MS, REMOVAL_MS, RUN_MS, SERVERS,
};
use crate::support::keys::at;

impl World {
    pub(super) fn arrive(&mut self, is_crashing: bool) {
        let run = Run {
            copy: self.next_copy(),
            is_crashing,
            caller: self.rng.random_range(0..CALLERS),
            instance: self.rng.random_range(0..INSTANCES),
            tried: Vec::new(),
            waited_ms: 0,
            was_withdrawn: false,
            is_repeated: false,
        };
        if !is_crashing {
            self.harm.harmless += 1;
        }
        self.attempt(run);
        let next_ms = if is_crashing {
            self.rng.random_range(self.load.crashing_gap_ms.clone())
        } else {
            self.rng.random_range(self.load.harmless_gap_ms.clone())
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
        let is_refused = fingerprints.any(|one| instance.list.refused_for(now, one).is_some());
        let is_held = !is_refused && self.decide(&run) == CopyDecision::Hold;
        if is_held && run.waited_ms < HOLD_MS {
            if run.waited_ms == 0 && !run.is_crashing {
                self.harm.harmless_delayed += 1;
            }
            run.waited_ms += PROBE_POLL_MS;
            return self.schedule(PROBE_POLL_MS, Event::Attempt(run));
        }
        if is_refused || is_held {
            self.count_refusal(&run);
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

    fn count_refusal(&mut self, run: &Run) {
        if run.is_crashing {
            return;
        }
        self.harm.harmless_refused += 1;
        let is_undisturbed = self.instances[run.instance].disturbed_until_ms <= self.now_ms;
        let is_late = is_undisturbed && self.now_ms > self.last_crash_ms + CLEARED_WITHIN_MS;
        self.harm.harmless_refused_late += usize::from(is_late);
    }

    /// Returns whether a copy may run by the trials of a request that crashed servers.
    pub(super) fn decide(&mut self, run: &Run) -> CopyDecision {
        let instance = &mut self.instances[run.instance];
        let own = instance.home(run.instance);
        instance
            .list
            .decide_copy(at(self.now_ms), &own, &run.identity(), run.copy)
    }

    fn next_copy(&mut self) -> CopyId {
        self.last_copy += 1;
        CopyId::new(self.last_copy)
    }

    fn send(&mut self, mut run: Run, server: usize) {
        run.tried.push(server);
        run.waited_ms = 0;
        self.last_event += 1;
        let id = self.last_event;
        let queued_ms = self.queued_ms();
        if run.is_crashing {
            self.count_late_send(&run);
            let crash = Event::CrashUnder { run: id, server };
            self.schedule(queued_ms + CRASH_AFTER_MS, crash);
        }
        self.servers[server].runs.insert(id, run);
        self.schedule(queued_ms + RUN_MS, Event::End { run: id, server });
    }

    fn queued_ms(&mut self) -> u64 {
        let queue_ms = self.load.queue_ms.clone();
        if queue_ms.start + 1 < queue_ms.end {
            self.rng.random_range(queue_ms)
        } else {
            queue_ms.start
        }
    }

    /// Takes the copies that may not go on running at an instance from their servers.
    pub(super) fn withdraw_held(&mut self, instance: usize) {
        if !self.design.withdraws() {
            return;
        }
        let all = self.servers.iter().enumerate();
        let in_flight = all.flat_map(|(server, one)| {
            let of_instance = one.runs.iter().filter(|(_, run)| run.instance == instance);
            of_instance.map(move |(id, run)| (*id, server, run.clone()))
        });
        let mut in_flight: Vec<_> = in_flight.collect();
        in_flight.sort_unstable();
        for (run, server, of_caller) in in_flight {
            if self.decide(&of_caller) == CopyDecision::Hold {
                let travel_ms = self.rng.random_range(1..15);
                self.schedule(travel_ms, Event::Withdraw { run, server });
            }
        }
    }

    pub(super) fn withdraw(&mut self, id: u64, server: usize) {
        let Some(mut run) = self.servers[server].runs.remove(&id) else {
            return;
        };
        if !run.was_withdrawn {
            run.was_withdrawn = true;
            run.tried.pop();
        }
        self.harm.harmless_withdrawn += usize::from(!run.is_crashing);
        if run.tried.len() < 2 {
            self.attempt(run);
        } else {
            self.count_refusal(&run);
            self.fail(&run);
        }
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
        self.end_copy(run);
        if run.is_repeated {
            return;
        }
        let repeated = Run {
            copy: self.next_copy(),
            instance: self.rng.random_range(0..INSTANCES),
            tried: Vec::new(),
            waited_ms: 0,
            was_withdrawn: false,
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
        instance.list.record_copy_end(&request, run.copy);
        if self.design.tells_completions() {
            let any_caller = request.fingerprint(Scope::AnyCaller);
            let is_urgent = instance.list.is_on_trial(now, any_caller);
            if instance.list.record_request_completed(now, &request) {
                self.schedule(REMOVAL_MS, Event::RemoveOutdated);
                let delay_ms = if is_urgent {
                    0
                } else {
                    self.rng.random_range(0..=100)
                };
                let notice = Notice::Completed(request, self.now_ms);
                self.broadcast(run.instance, &notice, &[delay_ms]);
            }
            return;
        }
        for (_, fingerprint) in self.design.suspects(&request) {
            instance.list.record_completed(now, fingerprint);
        }
    }

    fn end_copy(&mut self, run: &Run) {
        let list = &mut self.instances[run.instance].list;
        list.record_copy_end(&run.identity(), run.copy);
    }
}

//! Crashes of servers, their proofs, and what instances make of them.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{Incident, IncidentId, Scope};
use rand::RngExt;

use super::SERVER_DOWN_MS;
use super::event::{Event, Notice};
use super::world::World;
use crate::support::keys::at;

impl World {
    /// A run crashes its server, unless it was withdrawn or its server crashed before.
    pub(super) fn crash_under(&mut self, run: u64, server: usize) {
        if self.servers[server].runs.contains_key(&run) {
            self.crash(server);
        }
    }

    pub(super) fn crash(&mut self, server: usize) {
        if self.servers[server].up_at_ms > self.now_ms {
            return;
        }
        self.last_crash_ms = self.now_ms;
        let down_until_ms = self.now_ms + SERVER_DOWN_MS;
        let crashed = &mut self.servers[server];
        let name = crashed.name(server);
        crashed.incarnation += 1;
        crashed.up_at_ms = down_until_ms;
        let runs = std::mem::take(&mut crashed.runs);
        if runs.values().any(|run| run.is_crashing) {
            self.harm.servers_lost += 1;
            if self.harm.servers_lost == 3 {
                self.third_crash_ms = Some(self.now_ms);
            }
        }
        for run in runs.into_values() {
            let now = at(self.now_ms);
            let instance = &mut self.instances[run.instance];
            let request = run.identity();
            let server = name.parse().expect("a name");
            instance.broken.record(now, &server, request);
            instance.list.record_copy_broken(now, &request, run.copy);
            let proof = Event::Prove {
                instance: run.instance,
                server: name.clone(),
            };
            let delay_ms = self.rng.random_range(2..40);
            self.schedule(delay_ms, proof);
            if run.tried.len() < 2 {
                self.schedule(1, Event::Attempt(run));
            } else {
                self.fail(&run);
            }
        }
    }

    pub(super) fn prove(&mut self, instance: usize, server: &str) {
        let now = at(self.now_ms);
        let server: ids::BackendServerId = server.parse().expect("a name");
        let broken = &mut self.instances[instance].broken;
        let Some(crashed_at) = broken.first_broken_at(now, &server) else {
            return;
        };
        let requests = broken.take_suspects(now, &server);
        let mut by_scope: BTreeMap<Scope, BTreeSet<Fingerprint>> = BTreeMap::new();
        for request in &requests {
            for (scope, fingerprint) in self.design.suspects(request) {
                by_scope.entry(scope).or_default().insert(fingerprint);
            }
        }
        for (scope, suspects) in by_scope {
            let reporter = &mut self.instances[instance];
            reporter.last_serial += 1;
            let incident = Incident {
                id: IncidentId {
                    reporter: reporter.home(instance),
                    serial: reporter.last_serial,
                },
                server: server.clone(),
                suspects: suspects.into_iter().collect(),
                age: now.since(crashed_at),
            };
            self.apply_incident(instance, scope, &incident);
            let notice = Notice::Incident(scope, incident);
            self.broadcast(instance, &notice, &[0, 400, 800]);
        }
    }

    pub(super) fn apply_incident(&mut self, instance: usize, scope: Scope, incident: &Incident) {
        let now = at(self.now_ms);
        let list = &mut self.instances[instance].list;
        for fingerprint in list.record_scoped_incident(now, scope, incident) {
            let record = Event::Record {
                instance,
                fingerprint,
            };
            self.schedule(20, record);
        }
        self.withdraw_held(instance);
    }
}

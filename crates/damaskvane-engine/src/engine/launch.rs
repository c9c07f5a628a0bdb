//! Sends waiting requests to backend servers that have free slots.
//!
//! A slot is the right to run one request on a backend server. The owner of a server, one instance of the zone,
//! leases the slots to instances for a bounded time.
//!
//! ```text
//! queue -> a backend server not tried yet, with a free leased slot -> exchange
//! requests left waiting -> slots are requested from servers owned by this instance, then from other owners
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{quarantine, refusal};

use crate::engine::Engine;
use crate::engine::pending::{ActiveExchange, LocalId, Stage};
use crate::engine::servers::SlotPermit;
use crate::event::{Action, Exchange, ExchangeNumber};

impl Engine {
    pub(super) fn launch_waiting(&mut self, now: time::TimeMs) {
        if self.pause_detector.is_holding(now) {
            self.forward_slot_actions();
            return;
        }
        self.launch_all(now);
        let waiting = self.waiting_by_service();
        if !waiting.is_empty() {
            for (service, count) in waiting {
                self.servers.demand_own(now, &service, count);
            }
            self.launch_all(now);
            for (service, count) in self.waiting_by_service() {
                self.servers.demand_others(now, &service, count);
            }
        }
        self.forward_slot_actions();
    }

    fn waiting_by_service(&self) -> BTreeMap<ids::ServiceId, usize> {
        let mut waiting = BTreeMap::new();
        for pending in self.requests.values() {
            if pending.stage.is_waiting() {
                *waiting.entry(pending.request.service.clone()).or_default() += 1;
            }
        }
        waiting
    }

    /// Launches deferred requests first, then queued requests as long as their service has a free slot.
    fn launch_all(&mut self, now: time::TimeMs) {
        for id in core::mem::take(&mut self.deferred) {
            self.try_launch(now, id);
        }
        loop {
            let servers = &self.servers;
            let next = self
                .queue
                .pop(now, |service| servers.has_free_slot(now, service));
            let Some(id) = next else {
                return;
            };
            self.try_launch(now, id);
        }
    }

    fn try_launch(&mut self, now: time::TimeMs, id: LocalId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let service = pending.request.service.clone();
        let fingerprint = pending.fingerprint;
        match self.crashes.list.decide(now, fingerprint) {
            quarantine::QuarantineDecision::Refuse { retry_after } => {
                let reason = refusal::RefusalReason::Quarantined;
                self.abandon_with_retry_after(now, id, reason, retry_after);
                return;
            }
            quarantine::QuarantineDecision::Wait => {
                self.deferred.push(id);
                return;
            }
            quarantine::QuarantineDecision::Run | quarantine::QuarantineDecision::RunAlone => {}
        }
        let excluded = self.excluded_servers(now, id);
        let requested_time = self.time_left(now, id);
        match self
            .servers
            .acquire_slot(now, &service, &excluded, requested_time)
        {
            Some(slot_permit) => self.launch(now, id, slot_permit),
            None => {
                self.crashes.list.release(fingerprint);
                self.deferred.push(id);
            }
        }
    }

    /// Returns the backend servers that the request must not be sent to: those that it has tried and, if other
    /// servers remain, those that crashed while they ran a request with the same fingerprint.
    ///
    /// If no other server remains, the servers that crashed are allowed again; a second crash puts the request
    /// into quarantine. Otherwise harmless requests that ran during a crash would wait until their suspicion
    /// expires, minutes later.
    fn excluded_servers(&self, now: time::TimeMs, id: LocalId) -> Vec<ids::BackendServerId> {
        let Some(pending) = self.requests.get(&id) else {
            return Vec::new();
        };
        let mut tried = Vec::new();
        if let Stage::Requeued(admitted) = &pending.stage {
            tried.extend_from_slice(admitted.tried());
        }
        let avoided = self
            .crashes
            .list
            .servers_to_avoid(pending.fingerprint)
            .cloned();
        let excluded: Vec<ids::BackendServerId> = tried.iter().cloned().chain(avoided).collect();
        let service = &pending.request.service;
        if self.servers.candidate_count(now, service, &excluded) == 0 {
            tried
        } else {
            excluded
        }
    }

    fn time_left(&self, now: time::TimeMs, id: LocalId) -> time::SpanMs {
        self.requests
            .get(&id)
            .map_or(time::SpanMs::ZERO, |pending| {
                pending.deadline.time_left(now)
            })
    }

    fn launch(&mut self, now: time::TimeMs, id: LocalId, slot_permit: SlotPermit) {
        let exchange = ExchangeNumber::new(self.next_id());
        let server = slot_permit.server().clone();
        let (Some(address), Some(pending)) =
            (self.servers.address(&server), self.requests.get_mut(&id))
        else {
            self.report_broken_invariant(
                "a slot was taken for a request or server that is not known",
            );
            return;
        };
        let stage = core::mem::replace(&mut pending.stage, Stage::Running(exchange));
        let admitted = match stage {
            Stage::Queued(received) => received.admit(),
            Stage::Requeued(admitted) => admitted,
            other => {
                pending.stage = other;
                self.report_broken_invariant("a request that is not queued was launched");
                return;
            }
        };
        let request = pending.request.clone();
        let fingerprint = pending.fingerprint;
        let deadline = slot_permit.deadline_ms();
        self.active_exchanges.insert(
            exchange,
            ActiveExchange {
                id,
                service: request.service.clone(),
                request_id: request.request_id.clone(),
                fingerprint,
                sent: admitted.send(now, server.clone()),
                slot_permit,
            },
        );
        self.actions.push(Action::Start(Exchange {
            number: exchange,
            backend_server: server,
            address,
            request,
            deadline,
            begin_before: now + deadline,
        }));
    }

    pub(super) fn cancel(&mut self, exchange: ExchangeNumber) {
        let Some(active) = self.active_exchanges.get(&exchange) else {
            return;
        };
        if let Some(address) = self.servers.address(active.slot_permit.server()) {
            self.actions.push(Action::Cancel {
                address,
                request_id: active.request_id.clone(),
            });
        }
    }
}

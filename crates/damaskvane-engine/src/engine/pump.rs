//! Takes requests off the queue while backend servers have free slots.
//!
//! ```text
//! queue -> a backend server not tried yet, with a free slot -> exchange
//! ```

use damaskvane_core::{ids, time};

use crate::engine::Engine;
use crate::engine::pending::{Flight, LocalId, Stage};
use crate::event::{Action, Exchange, ExchangeNumber};

impl Engine {
    pub(super) fn pump(&mut self, now: time::TimeMs) {
        let mut full: Vec<ids::ServiceId> = Vec::new();
        for id in core::mem::take(&mut self.queue) {
            let Some(pending) = self.requests.get(&id) else {
                continue;
            };
            let service = pending.request.service.clone();
            if full.contains(&service) {
                self.queue.push(id);
                continue;
            }
            match self.free_server(id) {
                Some(server) => self.launch(now, id, server),
                None => {
                    full.push(service);
                    self.queue.push(id);
                }
            }
        }
    }

    /// The backend server with the most free slots that this request has not tried.
    fn free_server(&self, id: LocalId) -> Option<ids::BackendServerId> {
        let pending = self.requests.get(&id)?;
        let tried: &[ids::BackendServerId] = match &pending.stage {
            Stage::Requeued(admitted) => admitted.tried(),
            _ => &[],
        };
        self.directory
            .backend_servers
            .iter()
            .filter(|(_, server)| server.service == pending.request.service && !server.draining)
            .filter(|(_, server)| server.owner == self.me.instance)
            .filter(|(id, _)| !tried.contains(id))
            .map(|(id, server)| (self.slots.free(id, server.slots), id))
            .filter(|(free, _)| *free > 0)
            .max_by_key(|(free, _)| *free)
            .map(|(_, id)| id.clone())
    }

    fn launch(&mut self, now: time::TimeMs, id: LocalId, server: ids::BackendServerId) {
        let exchange = ExchangeNumber::new(self.next_id());
        let Some(entry) = self.directory.backend_servers.get(&server).cloned() else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let stage = core::mem::replace(&mut pending.stage, Stage::Flying(exchange));
        let admitted = match stage {
            Stage::Queued(received) => received.admit(),
            Stage::Requeued(admitted) => admitted,
            other => {
                pending.stage = other;
                self.broken("a request that is not queued was launched");
                return;
            }
        };
        let request = pending.request.clone();
        let mut time_left = pending.deadline.time_left(now);
        if !request.is_repeatable() {
            time_left = time::SpanMs::new(time_left.get() + self.settings.late_answer.get());
        }
        if !self.slots.take(&server, entry.slots) {
            self.broken("a slot was taken above the limit");
        }
        let sent = admitted.send(now, server.clone());
        self.flights.insert(
            exchange,
            Flight {
                id,
                sent,
                backend_server: server.clone(),
            },
        );
        self.actions.push(Action::Start(Exchange {
            number: exchange,
            backend_server: server,
            address: entry.address,
            request,
            time_left,
        }));
    }

    pub(super) fn cancel(&mut self, exchange: ExchangeNumber) {
        let Some(flight) = self.flights.get(&exchange) else {
            return;
        };
        let Some(server) = self.directory.backend_servers.get(&flight.backend_server) else {
            return;
        };
        self.actions.push(Action::Cancel {
            address: server.address,
            request_id: flight.sent.request().clone(),
        });
    }
}

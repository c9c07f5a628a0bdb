//! Turns of the operators, and their calls of the store with its faults.

use damaskvane_config::manifest::Head;
use damaskvane_config::relay::Event;
use damaskvane_config::submit::{Call, Outcome, StoreResponse};
use damaskvane_config::ticket::Ticket;
use rand::RngExt;

use crate::config_run::operators::OperatorAction;
use crate::config_run::world::{Delivery, World};
use crate::platform::WriteOutcome;

impl World {
    pub(super) fn operator_turn(&mut self, operator: usize) -> Result<(), String> {
        let head = self.oracle.newest();
        if self.healed && self.operators[operator].is_idle() {
            return Ok(());
        }
        match self.operators[operator].next_action(&mut self.rng, &head) {
            OperatorAction::Call(call) => {
                let delay_ms = self.rng.random_range(2..40);
                self.schedule(delay_ms, Delivery::OperatorCall(operator, call));
            }
            OperatorAction::Wait(ms) => self.schedule(ms, Delivery::OperatorTurn(operator)),
            OperatorAction::Ended(write_id, outcome) => {
                self.count_outcome(&outcome);
                self.oracle.record_outcome(&write_id, outcome)?;
                self.schedule(0, Delivery::OperatorTurn(operator));
            }
        }
        Ok(())
    }

    pub(super) fn count_outcome(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Accepted { .. } => &mut self.report.reported_accepted,
            Outcome::Overlapping(_) => &mut self.report.refused_overlapping,
            Outcome::Invalid(_) => &mut self.report.refused_invalid,
            Outcome::NotAccepted(_) => &mut self.report.not_accepted,
            Outcome::Unknown(_) => &mut self.report.unknown,
        };
        *counter += 1;
    }

    pub(super) fn store_call(&mut self, call: &Call) -> Result<StoreResponse, String> {
        if self.is_store_down() {
            return Ok(StoreResponse::Failed("outage".to_owned()));
        }
        if matches!(call, Call::ReadHead | Call::ReadChunk(_)) {
            return Ok(self.store_read(call));
        }
        if self.chance(self.settings.lost_request_permille) {
            return Ok(StoreResponse::Unknown("request lost".to_owned()));
        }
        if self.chance(self.settings.late_write_permille) {
            let delay_ms = self.rng.random_range(100..5_000);
            self.schedule(delay_ms, Delivery::LateWrite(call.clone()));
            return Ok(StoreResponse::Unknown("write delayed".to_owned()));
        }
        let response = self.apply(call)?;
        if self.chance(self.settings.lost_response_permille) {
            self.report.lost_responses += 1;
            return Ok(StoreResponse::Unknown("response lost".to_owned()));
        }
        Ok(response)
    }

    pub(super) fn store_read(&mut self, call: &Call) -> StoreResponse {
        let stale = self.chance(self.settings.stale_read_permille);
        let (kind, name) = call.key();
        match self.store.read(kind, &name, stale) {
            Some(object) => StoreResponse::Found {
                version: object.version,
                bytes: object.value.unwrap_or_default(),
            },
            None => StoreResponse::Absent,
        }
    }

    pub(super) fn apply(&mut self, call: &Call) -> Result<StoreResponse, String> {
        let (kind, name) = call.key();
        let write = |if_version, bytes: &[u8], write_id: &str| {
            self.store
                .write(kind, &name, if_version, Some(bytes), write_id, "")
        };
        let outcome = match call {
            Call::WriteChunk(chunk) | Call::FileTicket(_, chunk) => write(0, chunk.bytes(), ""),
            Call::RepairChunk { if_version, chunk } => write(*if_version, chunk.bytes(), ""),
            Call::WriteHead {
                if_version,
                bytes,
                write_id,
            } => write(*if_version, bytes, write_id),
            Call::ReadHead | Call::ReadChunk(_) => return Ok(StoreResponse::Absent),
        };
        match (outcome, call) {
            (WriteOutcome::Conflict(_), _) => Ok(StoreResponse::Conflict),
            (WriteOutcome::Applied(_), Call::WriteHead { bytes, .. }) => {
                let ticket = self.ticket_of(bytes)?;
                self.oracle.record_head(bytes, &ticket)?;
                self.activation_times.record_acceptance(self.now);
                self.fire_watches();
                Ok(StoreResponse::Applied)
            }
            (WriteOutcome::Applied(_), _) => Ok(StoreResponse::Applied),
        }
    }

    /// Returns the ticket that a head accepts; fails if the ticket is not in the store already.
    pub(super) fn ticket_of(&self, head: &[u8]) -> Result<Ticket, String> {
        let head = Head::decode(head).map_err(|error| error.to_string())?;
        let name = head.ticket_hash.map(|hash| hash.to_string());
        let stored = self
            .store
            .read("chunk", &name.unwrap_or_default(), false)
            .and_then(|object| object.value)
            .ok_or("the head names a ticket that is not in the store")?;
        Ticket::decode(&stored).map_err(|error| error.to_string())
    }

    pub(super) fn fire_watches(&mut self) {
        let watching: Vec<_> = self
            .fleet
            .instances
            .values()
            .filter(|instance| instance.relay.is_watching())
            .filter(|instance| {
                !self
                    .fleet
                    .is_partitioned(&instance.member.availability_zone, self.now)
            })
            .map(|instance| instance.member.instance.clone())
            .collect();
        for id in watching {
            if !self.chance(self.settings.watch_skip_permille) {
                self.deliver_event(&id, Event::WatchFired);
            }
            if self.chance(self.settings.watch_skip_permille) {
                self.deliver_event(&id, Event::WatchFired);
            }
        }
    }
}

//! The engine: admits requests, finds them a slot, follows them to their final answer.
//!
//! ```
//! use damaskvane_engine::{engine, message};
//!
//! let me = message::Home { instance: "e-1".parse()?, incarnation: 1.to_string().parse()? };
//! let engine = engine::Engine::new(me);
//! assert_eq!(engine.running(), 0);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{outcome, refusal};

use crate::event::{Action, Event, Exchange, ExchangeEnd, ExchangeNumber, RequestNumber};
use crate::{directory, message};

#[derive(Debug)]
struct Flight {
    number: RequestNumber,
    backend_server: ids::BackendServerId,
}

/// The request engine of one entry instance.
#[derive(Debug)]
pub struct Engine {
    me: message::Home,
    directory: Arc<directory::Directory>,
    flights: BTreeMap<ExchangeNumber, Flight>,
    next_exchange: u64,
}

impl Engine {
    /// An engine without a configuration.
    #[must_use]
    pub fn new(me: message::Home) -> Self {
        Self {
            me,
            directory: Arc::default(),
            flights: BTreeMap::new(),
            next_exchange: 1,
        }
    }

    /// How many exchanges run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.flights.len()
    }

    /// Takes an event at a point in time and returns what is to be done.
    #[must_use]
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        let _ = now;
        match event {
            Event::Submit { number, request } => self.submit(number, *request),
            Event::ExchangeEnded { exchange, end } => self.ended(exchange, end),
            Event::Directory(directory) => {
                self.directory = directory;
                Vec::new()
            }
            Event::ClientGone { .. } | Event::Peer { .. } | Event::Leave | Event::Tick => Vec::new(),
        }
    }

    fn submit(&mut self, number: RequestNumber, request: message::ServiceRequest) -> Vec<Action> {
        let free = self
            .directory
            .backend_servers
            .iter()
            .filter(|(_, server)| server.service == request.service && !server.draining)
            .filter(|(_, server)| server.owner == self.me.instance)
            .map(|(id, server)| (self.used(id), id, server))
            .filter(|(used, _, server)| *used < server.slots.get() as usize)
            .min_by_key(|(used, _, _)| *used);
        let Some((_, id, server)) = free else {
            return vec![Action::Answer {
                number,
                outcome: outcome::Outcome::unknown(refusal::RefusalReason::NoBackendServer),
            }];
        };
        let exchange = ExchangeNumber::new(self.next_exchange);
        self.next_exchange += 1;
        let start = Action::Start(Exchange {
            number: exchange,
            backend_server: id.clone(),
            address: server.address,
            time_left: request.time_left,
            request: Arc::new(request),
        });
        self.flights.insert(
            exchange,
            Flight {
                number,
                backend_server: id.clone(),
            },
        );
        vec![start]
    }

    fn used(&self, id: &ids::BackendServerId) -> usize {
        self.flights
            .values()
            .filter(|flight| flight.backend_server == *id)
            .count()
    }

    fn ended(&mut self, exchange: ExchangeNumber, end: ExchangeEnd) -> Vec<Action> {
        let Some(flight) = self.flights.remove(&exchange) else {
            return Vec::new();
        };
        let outcome = match end {
            ExchangeEnd::Answered(answer) => outcome::Outcome::Completed(answer),
            _ => outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost),
        };
        vec![Action::Answer {
            number: flight.number,
            outcome,
        }]
    }
}

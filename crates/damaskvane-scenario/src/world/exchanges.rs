//! Exchanges of an entry instance with backend servers, with a check of the lease before sending.
//!
//! ```text
//! Start -> thread -> lease still valid? -> backend server -> response or timeout
//! ```

use std::net;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use damaskvane_engine::event;

use crate::world::World;
use crate::world::delivery::{Delivery, Input};

/// Maximum delay of a response that was sent at its deadline, in milliseconds.
const LATE_RESPONSE_MS: u64 = 150;

/// The time from the engine's decision until the thread of the exchange sends the request.
const THREAD_HANDOVER_DELAY: time::SpanMs = time::SpanMs::new(1);

impl World {
    /// Schedules the sending of an exchange.
    ///
    /// The decision and the sending are separate steps, since a process may be paused in between.
    pub(super) fn start_exchange(&mut self, me: &home::Home, exchange: event::Exchange) {
        let input = Input::SendExchange(Box::new(exchange));
        self.send_to_incarnation(me, THREAD_HANDOVER_DELAY, input);
    }

    pub(super) fn send_exchange(&mut self, from: &ids::InstanceId, exchange: event::Exchange) {
        let Some(me) = self.entries.get(from).map(super::entry::Entry::home) else {
            return;
        };
        let number = exchange.number;
        if self.now >= exchange.begin_before {
            let event = event::Event::ExchangeEnded {
                exchange: number,
                end: event::ExchangeEnd::NotSent,
            };
            self.pass_to_engine(from, event);
            return;
        }
        let wait = time::SpanMs::new(exchange.deadline.get() + LATE_RESPONSE_MS);
        let timeout = event::Event::ExchangeEnded {
            exchange: number,
            end: event::ExchangeEnd::Timeout,
        };
        self.send_to_incarnation(&me, wait, Input::Engine(Box::new(timeout)));
        let arrive = Delivery::Arrive {
            from: me,
            exchange: Box::new(exchange),
        };
        let delay = self.random_delay();
        self.schedule(delay, arrive);
    }

    pub(super) fn send_cancel(&mut self, address: net::SocketAddr, request_id: ids::RequestId) {
        let found = self
            .servers
            .values()
            .find(|server| server.address == address);
        let Some(server) = found.map(|server| server.id.clone()) else {
            return;
        };
        let delay = self.random_delay();
        self.schedule(delay, Delivery::Cancel { server, request_id });
    }
}

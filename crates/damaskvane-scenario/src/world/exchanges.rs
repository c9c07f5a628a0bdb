//! Exchanges on the entry instance's side: the lease is checked again before anything is sent.
//!
//! ```text
//! Start -> a thread -> lease still holds? -> backend server; its end, or silence past the deadline
//! ```

use std::net;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use damaskvane_engine::event;

use crate::world::World;
use crate::world::delivery::{Delivery, Input};

/// How long an answer that left at its deadline may still be on its way.
const LATE_ANSWER_MS: u64 = 150;

/// From the decision until the exchange's thread sends.
const HANDED_TO_THREAD: time::SpanMs = time::SpanMs::new(1);

impl World {
    /// The decision and the sending are apart: a pause can fall in between.
    pub(super) fn start_exchange(&mut self, me: &home::Home, exchange: event::Exchange) {
        let input = Input::SendExchange(Box::new(exchange));
        self.send_to_start(me, HANDED_TO_THREAD, input);
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
            self.tell_engine(from, event);
            return;
        }
        let wait = time::SpanMs::new(exchange.deadline.get() + LATE_ANSWER_MS);
        let silent = event::Event::ExchangeEnded {
            exchange: number,
            end: event::ExchangeEnd::Timeout,
        };
        self.send_to_start(&me, wait, Input::Engine(Box::new(silent)));
        let arrive = Delivery::Arrive {
            from: me,
            exchange: Box::new(exchange),
        };
        let way = self.way();
        self.schedule(way, arrive);
    }

    pub(super) fn ask_to_cancel(&mut self, address: net::SocketAddr, request_id: ids::RequestId) {
        let found = self
            .servers
            .values()
            .find(|server| server.address == address);
        let Some(server) = found.map(|server| server.id.clone()) else {
            return;
        };
        let way = self.way();
        self.schedule(way, Delivery::Cancel { server, request_id });
    }
}

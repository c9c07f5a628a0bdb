//! The clients: what they asked, and what they know.
//!
//! ```text
//! Waiting -> Answered | ConnectionLost (the instance ended) | Disconnected (by the client)
//! ```

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{home, outcome};
use damaskvane_engine::{event, message};

use crate::script;
use crate::world::World;
use crate::world::delivery::{Delivery, Input};

/// What a client knows of its request.
#[derive(Debug, Clone)]
pub enum ClientState {
    /// Nothing yet.
    Waiting,
    /// The answer, and when it came.
    Answered {
        /// The answer.
        outcome: outcome::Outcome<Arc<message::BackendResponse>>,
        /// When it came.
        at: time::TimeMs,
    },
    /// The connection broke, or none could be made.
    ConnectionLost,
    /// The client went away.
    Disconnected,
}

/// One try of a client.
#[derive(Debug)]
pub struct ClientRequest {
    /// What it sent.
    pub request: message::ServiceRequest,
    /// Where to.
    pub via: ids::InstanceId,
    /// When.
    pub sent_at: time::TimeMs,
    /// What it knows.
    pub state: ClientState,
    taken_as: Option<(ids::Incarnation, event::RequestNumber)>,
}

impl World {
    /// A client sends a request, or a series of them.
    pub fn send(&mut self, asked: &script::Request) {
        for number in 1..=asked.times {
            let label = if asked.times == 1 {
                asked.label.clone()
            } else {
                numbered(&asked.label, number)
            };
            let request = self.build(asked, &label);
            self.send_one(asked.via.clone(), label, request);
        }
    }

    fn send_one(
        &mut self,
        via: ids::InstanceId,
        label: ids::RequestId,
        request: message::ServiceRequest,
    ) {
        let sent = ClientRequest {
            request,
            via: via.clone(),
            sent_at: self.now,
            state: ClientState::Waiting,
            taken_as: None,
        };
        self.requests.insert(label.clone(), sent);
        let arrives = Delivery::ToEntry {
            to: via,
            incarnation: None,
            input: Input::Submit(label),
        };
        self.schedule(time::SpanMs::ZERO, arrives);
    }

    fn build(
        &mut self,
        asked: &script::Request,
        label: &ids::RequestId,
    ) -> message::ServiceRequest {
        let method = if asked.is_repeatable { "GET" } else { "POST" };
        let idempotency = match (&asked.key, &asked.home) {
            (Some(key), Some(home)) => Some(message::Idempotency {
                key: key.clone(),
                home: self.home_of(key, home),
                try_number: asked.try_number,
            }),
            _ => None,
        };
        message::ServiceRequest {
            method: method.to_owned(),
            body: asked.body.clone().into_bytes(),
            idempotency,
            priority: asked.priority,
            time_left: asked.deadline,
            ..message::ServiceRequest::get(asked.service.clone(), asked.path.clone(), label.clone())
        }
    }

    /// The home that the look-up named when the key was made; equal on every try.
    fn home_of(&mut self, key: &ids::IdempotencyKey, instance: &ids::InstanceId) -> home::Home {
        if let Some(home) = self.homes.get(key) {
            return home.clone();
        }
        let home = match self.entries.get(instance) {
            Some(entry) => entry.lookup_home(),
            None => home::Home::new(instance.clone(), ids::Incarnation::new(1)),
        };
        self.homes.insert(key.clone(), home.clone());
        home
    }

    pub(super) fn submit(&mut self, to: &ids::InstanceId, label: &ids::RequestId) {
        let (Some(sent), Some(entry)) = (self.requests.get_mut(label), self.entries.get_mut(to))
        else {
            return;
        };
        if !matches!(sent.state, ClientState::Waiting) {
            return;
        }
        entry.next_number += 1;
        let number = event::RequestNumber::new(entry.next_number);
        entry.clients.insert(number, label.clone());
        sent.taken_as = Some((entry.incarnation(), number));
        let request = Box::new(sent.request.clone());
        self.tell_engine(to, event::Event::Submit { number, request });
    }

    pub(super) fn answered(
        &mut self,
        me: &home::Home,
        number: event::RequestNumber,
        outcome: outcome::Outcome<Arc<message::BackendResponse>>,
    ) {
        let entry = self.entries.get_mut(&me.instance);
        let Some(label) = entry.and_then(|entry| entry.clients.remove(&number)) else {
            return;
        };
        let at = self.now;
        if let Some(sent) = self.requests.get_mut(&label)
            && matches!(sent.state, ClientState::Waiting)
        {
            sent.state = ClientState::Answered { outcome, at };
        }
    }

    pub(super) fn connection_lost(&mut self, label: &ids::RequestId) {
        if let Some(sent) = self.requests.get_mut(label)
            && matches!(sent.state, ClientState::Waiting)
        {
            sent.state = ClientState::ConnectionLost;
        }
    }

    /// A client closes its connection.
    pub fn disconnect(&mut self, label: &ids::RequestId) {
        let Some(sent) = self.requests.get_mut(label) else {
            return;
        };
        if !matches!(sent.state, ClientState::Waiting) {
            return;
        }
        sent.state = ClientState::Disconnected;
        let via = sent.via.clone();
        let Some((incarnation, number)) = sent.taken_as else {
            return;
        };
        let gone = event::Event::ClientDisconnected { number };
        let start = home::Home::new(via, incarnation);
        let input = Input::Engine(Box::new(gone));
        self.send_to_start(&start, time::SpanMs::ZERO, input);
    }
}

/// The label of one request of a series.
pub(crate) fn numbered(label: &ids::RequestId, number: u32) -> ids::RequestId {
    let text = format!("{label}.{number}");
    text.parse().unwrap_or_else(|_| label.clone())
}

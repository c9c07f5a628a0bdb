//! Simulated clients, their requests and the state of each request at its client.
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

/// The state of a request at its client.
#[derive(Debug, Clone)]
pub enum ClientState {
    /// The client waits for the response.
    Waiting,
    /// The client received a response.
    Answered {
        /// The outcome that the response reports.
        outcome: outcome::Outcome<Arc<message::BackendResponse>>,
        /// The virtual time at which the response arrived.
        at: time::TimeMs,
    },
    /// The connection was lost or could not be opened.
    ConnectionLost,
    /// The client closed its connection before a response arrived.
    Disconnected,
}

/// One attempt of a client.
#[derive(Debug)]
pub struct ClientRequest {
    /// The request as the client sent it.
    pub request: message::ServiceRequest,
    /// The entry instance that the client sent the request to.
    pub via: ids::InstanceId,
    /// The virtual time at which the client sent the request.
    pub sent_at: time::TimeMs,
    /// Whether the client waits, received a response or lost its connection.
    pub state: ClientState,
    submitted_as: Option<(ids::Incarnation, event::RequestNumber)>,
}

impl World {
    /// Sends a client's request, or a series of numbered requests.
    pub fn send(&mut self, spec: &script::Request) {
        for number in 1..=spec.times {
            let label = if spec.times == 1 {
                spec.label.clone()
            } else {
                numbered(&spec.label, number)
            };
            let request = self.build_request(spec, &label);
            self.send_one(spec.via.clone(), label, request);
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
            submitted_as: None,
        };
        self.requests.insert(label.clone(), sent);
        let arrives = Delivery::ToEntry {
            to: via,
            incarnation: None,
            input: Input::Submit(label),
        };
        self.schedule(time::SpanMs::ZERO, arrives);
    }

    fn build_request(
        &mut self,
        spec: &script::Request,
        label: &ids::RequestId,
    ) -> message::ServiceRequest {
        let method = if spec.is_repeatable { "GET" } else { "POST" };
        let idempotency = match (&spec.key, &spec.home) {
            (Some(key), Some(home)) => Some(message::Idempotency {
                key: key.clone(),
                home: self.home_of(key, home),
                try_number: spec.try_number,
            }),
            _ => None,
        };
        message::ServiceRequest {
            method: method.to_owned(),
            body: spec.body.clone().into_bytes(),
            idempotency,
            priority: spec.priority,
            time_left: spec.deadline,
            ..message::ServiceRequest::get(spec.service.clone(), spec.path.clone(), label.clone())
        }
    }

    /// Returns the home that the lookup named when the key was created; equal on every attempt.
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
        sent.submitted_as = Some((entry.incarnation(), number));
        let request = Box::new(sent.request.clone());
        self.pass_to_engine(to, event::Event::Submit { number, request });
    }

    pub(super) fn handle_outcome(
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

    /// Closes a client's connection if the client still waits for a response.
    pub fn disconnect(&mut self, label: &ids::RequestId) {
        let Some(sent) = self.requests.get_mut(label) else {
            return;
        };
        if !matches!(sent.state, ClientState::Waiting) {
            return;
        }
        sent.state = ClientState::Disconnected;
        let via = sent.via.clone();
        let Some((incarnation, number)) = sent.submitted_as else {
            return;
        };
        let disconnected = event::Event::ClientDisconnected { number };
        let target = home::Home::new(via, incarnation);
        let input = Input::Engine(Box::new(disconnected));
        self.send_to_incarnation(&target, time::SpanMs::ZERO, input);
    }
}

/// Returns the label of one request of a series, for example `a.2`.
pub(crate) fn numbered(label: &ids::RequestId, number: u32) -> ids::RequestId {
    let text = format!("{label}.{number}");
    text.parse().unwrap_or_else(|_| label.clone())
}

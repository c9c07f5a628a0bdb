//! Generates the traffic of random clients: repeatable requests, and keyed requests that clients retry
//! through any instance.
//!
//! ```text
//! new keyed request -> home from a lookup -> up to five attempts, some before the previous one ended
//! ```

use std::collections::VecDeque;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::admission;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::random::{RandomSettings, parse_id};
use crate::script::Request;
use crate::world::World;

const MAX_ATTEMPTS: u32 = 5;
const TRAFFIC_STREAM: u64 = 0x7261_6666_6963;
/// Share of repeatable requests with a path that crashes the backend server, in thousandths.
const CRASH_PERMILLE: u32 = 3;
const DISCONNECT_PERMILLE: u32 = 40;

pub(super) fn service() -> ids::ServiceId {
    parse_id("rider-desk")
}

/// A non-repeatable request with an idempotency key, which the client may send again.
#[derive(Debug)]
struct KeyedRequest {
    number: u64,
    home: ids::InstanceId,
    attempts: u32,
    next_at: time::TimeMs,
}

/// The state of all clients.
#[derive(Debug)]
pub(super) struct Traffic {
    rng: Pcg64Mcg,
    requests_per_second: u64,
    keyed_requests: Vec<KeyedRequest>,
    pending_disconnects: VecDeque<(time::TimeMs, ids::RequestId)>,
    next_number: u64,
    /// Requests that are due and not sent yet, in thousandths of a request.
    due_thousandths: u64,
}

impl Traffic {
    pub(super) fn new(settings: &RandomSettings) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ TRAFFIC_STREAM),
            requests_per_second: settings.requests_per_second,
            keyed_requests: Vec::new(),
            pending_disconnects: VecDeque::new(),
            next_number: 0,
            due_thousandths: 0,
        }
    }

    pub(super) fn step(&mut self, world: &mut World) {
        self.due_thousandths += self.requests_per_second * super::STEP.get();
        while self.due_thousandths >= 1_000 {
            self.due_thousandths -= 1_000;
            self.start_request(world);
        }
        self.send_due_attempts(world);
        self.disconnect_due(world);
    }

    fn start_request(&mut self, world: &mut World) {
        let offered_instances = world.offered();
        let Some(via) = offered_instances.choose(&mut self.rng).cloned() else {
            return;
        };
        self.next_number += 1;
        let number = self.next_number;
        if self.rng.random_range(0..2) == 0 {
            let mut request = self.request(&format!("g{number}"), via);
            if self.rng.random_range(0..1_000) < CRASH_PERMILLE {
                request.path = "/crash".to_owned();
            }
            self.send(world, &request);
            return;
        }
        self.keyed_requests.push(KeyedRequest {
            number,
            home: via,
            attempts: 0,
            next_at: world.now,
        });
    }

    fn request(&mut self, label: &str, via: ids::InstanceId) -> Request {
        let deadline_ms = self.rng.random_range(100..=2_500);
        let priorities = [
            admission::Priority::High,
            admission::Priority::Normal,
            admission::Priority::Low,
        ];
        let priority = priorities.choose(&mut self.rng).copied();
        Request {
            label: parse_id(label),
            is_repeatable: true,
            via,
            service: service(),
            key: None,
            home: None,
            try_number: 0,
            body: String::new(),
            path: format!("/{label}"),
            deadline: time::SpanMs::new(deadline_ms),
            priority: priority.unwrap_or(admission::Priority::Normal),
            times: 1,
        }
    }

    /// Sends the attempts that are due: the first to the home, later ones to any instance.
    ///
    /// A later attempt does not wait for the response to the previous one.
    fn send_due_attempts(&mut self, world: &mut World) {
        let now = world.now;
        let instances = world.instances();
        let (due, later): (Vec<KeyedRequest>, Vec<KeyedRequest>) = self
            .keyed_requests
            .drain(..)
            .partition(|keyed_request| keyed_request.next_at <= now);
        self.keyed_requests = later;
        for mut keyed_request in due {
            keyed_request.attempts += 1;
            let is_first = keyed_request.attempts == 1;
            let via = match instances.choose(&mut self.rng) {
                Some(any) if !is_first => any.clone(),
                _ => keyed_request.home.clone(),
            };
            let label = format!("p{}.{}", keyed_request.number, keyed_request.attempts);
            let request = Request {
                is_repeatable: false,
                key: Some(parse_id(&format!("k{}", keyed_request.number))),
                home: Some(keyed_request.home.clone()),
                try_number: keyed_request.attempts,
                body: "meals".to_owned(),
                path: "/book".to_owned(),
                ..self.request(&label, via)
            };
            self.send(world, &request);
            if keyed_request.attempts < MAX_ATTEMPTS && self.rng.random_range(0..3) > 0 {
                keyed_request.next_at = now + self.retry_delay();
                self.keyed_requests.push(keyed_request);
            }
        }
    }

    /// Returns the delay before the next attempt.
    ///
    /// Most delays are short; with a long delay the attempt arrives after a restart or a recovery of the home.
    fn retry_delay(&mut self) -> time::SpanMs {
        let max_ms = *[20, 500, 3_000, 15_000]
            .choose(&mut self.rng)
            .unwrap_or(&20);
        time::SpanMs::new(self.rng.random_range(0..=max_ms))
    }

    fn send(&mut self, world: &mut World, request: &Request) {
        world.send(request);
        if self.rng.random_range(0..1_000) < DISCONNECT_PERMILLE {
            let after = time::SpanMs::new(self.rng.random_range(0..=200));
            self.pending_disconnects
                .push_back((world.now + after, request.label.clone()));
        }
    }

    fn disconnect_due(&mut self, world: &mut World) {
        let now = world.now;
        let (due, later): (Vec<_>, Vec<_>) = self
            .pending_disconnects
            .drain(..)
            .partition(|(at, _)| *at <= now);
        self.pending_disconnects = later.into();
        for (_, label) in due {
            world.disconnect(&label);
        }
    }
}

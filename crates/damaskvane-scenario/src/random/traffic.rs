//! Random clients: look-ups, and bookings that are tried again and again, through any instance.
//!
//! ```text
//! new booking -> a home that look-ups name -> up to four tries, some at once, some after an answer
//! ```

use std::collections::VecDeque;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::admission;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::random::{RandomSettings, named};
use crate::script::Request;
use crate::world::World;

const MOST_TRIES: u32 = 5;
const TRAFFIC_STREAM: u64 = 0x7261_6666_6963;
/// A request for this path kills what runs it.
const CRASH_PERMILLE: u32 = 3;
const GONE_PERMILLE: u32 = 40;

pub(super) fn service() -> ids::ServiceId {
    named("rider-desk")
}

/// A booking whose client may try it again.
#[derive(Debug)]
struct Booking {
    number: u64,
    home: ids::InstanceId,
    tries: u32,
    next_at: time::TimeMs,
}

/// All clients.
#[derive(Debug)]
pub(super) struct Traffic {
    rng: Pcg64Mcg,
    a_second: u64,
    bookings: Vec<Booking>,
    patience: VecDeque<(time::TimeMs, ids::RequestId)>,
    next_number: u64,
    owed_permille: u64,
}

impl Traffic {
    pub(super) fn new(settings: &RandomSettings) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ TRAFFIC_STREAM),
            a_second: settings.requests_a_second,
            bookings: Vec::new(),
            patience: VecDeque::new(),
            next_number: 0,
            owed_permille: 0,
        }
    }

    pub(super) fn act(&mut self, world: &mut World) {
        self.owed_permille += self.a_second * super::STEP.get();
        while self.owed_permille >= 1_000 {
            self.owed_permille -= 1_000;
            self.begin(world);
        }
        self.try_again(world);
        self.lose_patience(world);
    }

    fn begin(&mut self, world: &mut World) {
        let offered = world.offered();
        let Some(via) = offered.choose(&mut self.rng).cloned() else {
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
        self.bookings.push(Booking {
            number,
            home: via,
            tries: 0,
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
            label: named(label),
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

    /// The first try goes to the home; later ones to any instance, whether or not the last was answered.
    fn try_again(&mut self, world: &mut World) {
        let now = world.now;
        let all = world.instances();
        let (due, later): (Vec<Booking>, Vec<Booking>) = self
            .bookings
            .drain(..)
            .partition(|booking| booking.next_at <= now);
        self.bookings = later;
        for mut booking in due {
            booking.tries += 1;
            let is_first = booking.tries == 1;
            let via = match all.choose(&mut self.rng) {
                Some(any) if !is_first => any.clone(),
                _ => booking.home.clone(),
            };
            let label = format!("p{}.{}", booking.number, booking.tries);
            let request = Request {
                is_repeatable: false,
                key: Some(named(&format!("k{}", booking.number))),
                home: Some(booking.home.clone()),
                try_number: booking.tries,
                body: "meals".to_owned(),
                path: "/book".to_owned(),
                ..self.request(&label, via)
            };
            self.send(world, &request);
            if booking.tries < MOST_TRIES && self.rng.random_range(0..3) > 0 {
                booking.next_at = now + self.pause();
                self.bookings.push(booking);
            }
        }
    }

    /// Mostly soon, at times much later: after a restart, or when the home is back.
    fn pause(&mut self) -> time::SpanMs {
        let longest_ms = *[20, 500, 3_000, 15_000]
            .choose(&mut self.rng)
            .unwrap_or(&20);
        time::SpanMs::new(self.rng.random_range(0..=longest_ms))
    }

    fn send(&mut self, world: &mut World, request: &Request) {
        world.send(request);
        if self.rng.random_range(0..1_000) < GONE_PERMILLE {
            let after = time::SpanMs::new(self.rng.random_range(0..=200));
            self.patience
                .push_back((world.now + after, request.label.clone()));
        }
    }

    fn lose_patience(&mut self, world: &mut World) {
        let now = world.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.patience.drain(..).partition(|(at, _)| *at <= now);
        self.patience = later.into();
        for (_, label) in due {
            world.disconnect(&label);
        }
    }
}

//! Where objects ran before, and what became of those servers.

use std::collections::HashMap;

use crate::losses::cause::{Cause, FirstRun, NotServedReason};
use crate::losses::event::{Event, Exchange, Subject};

/// From this load for each slot on, a request waits.
const FULL_LOAD: f64 = 1.0;
/// A server that takes so many times the usual time is slow.
const SLOW_FACTOR: f64 = 1.5;

/// What the lines so far tell of servers and objects.
#[derive(Debug, Default)]
pub(super) struct History {
    /// The servers that ran an object of a route, the latest last.
    places: HashMap<(String, u64), Vec<String>>,
    zones: HashMap<String, String>,
    changes: HashMap<String, String>,
    evacuated: String,
}

impl History {
    /// Takes in a line, and says why its request was late or not served, if it was.
    pub(super) fn note(&mut self, event: &Event, is_last: bool) -> Option<Cause> {
        match &event.subject {
            Subject::Server { server, change } => {
                self.changes.insert(server.clone(), change.clone());
                None
            }
            Subject::Evacuations { zones } => {
                self.evacuated.clone_from(zones);
                None
            }
            Subject::NotServed { reason } => {
                is_last.then(|| Cause::NotServed(NotServedReason::of(reason)))
            }
            Subject::Exchange(exchange) => {
                let cause = self.judge(&event.route, exchange);
                self.remember(&event.route, exchange);
                cause.filter(|_| is_last)
            }
        }
    }

    fn judge(&self, route: &str, exchange: &Exchange) -> Option<Cause> {
        if exchange.is_failed {
            return Some(Cause::NotServed(NotServedReason::ServerFailed));
        }
        if !exchange.is_answered || exchange.after_ms <= exchange.objective_ms {
            return None;
        }
        if exchange.tried > 0 {
            return Some(Cause::Retried);
        }
        let Some(object) = exchange.object else {
            return Some(late_on_known(exchange));
        };
        let places = self.places.get(&(route.to_owned(), object));
        let ran_here = places.is_some_and(|places| places.contains(&exchange.server));
        if exchange.was_sent || ran_here {
            return Some(late_on_known(exchange));
        }
        Some(Cause::FirstRun(self.why_here(exchange, places)))
    }

    fn why_here(&self, exchange: &Exchange, places: Option<&Vec<String>>) -> FirstRun {
        let Some(before) = places.and_then(|places| places.last()) else {
            return FirstRun::First;
        };
        if let Some(word) = &exchange.passed_over {
            return FirstRun::of_passed_over(word);
        }
        let zone = self.zones.get(before).map_or("", String::as_str);
        if !zone.is_empty() && self.evacuated.contains(zone) {
            return FirstRun::Evacuated;
        }
        match self.changes.get(before).map(String::as_str) {
            Some("draining" | "gone" | "lapsing") => FirstRun::Left,
            Some("restarted") => FirstRun::Restarted,
            _ => FirstRun::Moved,
        }
    }

    fn remember(&mut self, route: &str, exchange: &Exchange) {
        let Some(object) = exchange.object.filter(|_| exchange.is_answered) else {
            return;
        };
        let places = self.places.entry((route.to_owned(), object)).or_default();
        places.retain(|place| *place != exchange.server);
        places.push(exchange.server.clone());
        let zone = exchange.server_zone.clone();
        self.zones.insert(exchange.server.clone(), zone);
    }
}

/// Why an answer was late of a server that had run the object before.
fn late_on_known(exchange: &Exchange) -> Cause {
    if exchange.waiting > 0.0 || exchange.load >= FULL_LOAD {
        Cause::Waited
    } else if exchange.was_sent && exchange.took_ms >= exchange.first_ms / SLOW_FACTOR {
        Cause::FirstRun(FirstRun::Evicted)
    } else if exchange.took_ms >= exchange.remembered_ms * SLOW_FACTOR {
        Cause::SlowServer
    } else {
        Cause::Unexplained
    }
}

//! The servers that handled each object before, and the later state of these servers.

use std::collections::HashMap;

use crate::losses::cause::{Cause, FirstRun, NotServedReason};
use crate::losses::event::{Event, Exchange, Subject};

/// Load per slot from which a request waits for a slot.
const FULL_LOAD: f64 = 1.0;
/// Multiple of the usual response time from which a server counts as slow.
const SLOW_FACTOR: f64 = 1.5;

/// The state of servers and objects after the lines recorded so far.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Servers that answered requests for an object, by route and object; the most recent server is last.
    servers_by_object: HashMap<(String, u64), Vec<String>>,
    zones: HashMap<String, String>,
    changes: HashMap<String, String>,
    evacuated: String,
}

impl History {
    /// Records an event, and returns the cause if its request was late or not served.
    ///
    /// Only the last event of a request (`is_last`) returns a cause, so that each request counts once.
    pub(super) fn record(&mut self, event: &Event, is_last: bool) -> Option<Cause> {
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
                is_last.then(|| Cause::NotServed(NotServedReason::from_label(reason)))
            }
            Subject::Exchange(exchange) => {
                let cause = self.classify(&event.route, exchange);
                self.record_run(&event.route, exchange);
                cause.filter(|_| is_last)
            }
        }
    }

    fn classify(&self, route: &str, exchange: &Exchange) -> Option<Cause> {
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
            return Some(late_on_warm_server(exchange));
        };
        let servers = self.servers_by_object.get(&(route.to_owned(), object));
        let has_handled_object = servers.is_some_and(|servers| servers.contains(&exchange.server));
        if exchange.was_sent || has_handled_object {
            return Some(late_on_warm_server(exchange));
        }
        Some(Cause::FirstRun(self.first_run_reason(exchange, servers)))
    }

    fn first_run_reason(&self, exchange: &Exchange, servers: Option<&Vec<String>>) -> FirstRun {
        let Some(previous) = servers.and_then(|servers| servers.last()) else {
            return FirstRun::First;
        };
        if let Some(label) = &exchange.passed_over {
            return FirstRun::from_passed_over(label);
        }
        let zone = self.zones.get(previous).map_or("", String::as_str);
        if !zone.is_empty() && self.evacuated.contains(zone) {
            return FirstRun::Evacuated;
        }
        match self.changes.get(previous).map(String::as_str) {
            Some("draining" | "gone" | "lapsing") => FirstRun::Left,
            Some("restarted") => FirstRun::Restarted,
            _ => FirstRun::Moved,
        }
    }

    fn record_run(&mut self, route: &str, exchange: &Exchange) {
        let Some(object) = exchange.object.filter(|_| exchange.is_answered) else {
            return;
        };
        let servers = self
            .servers_by_object
            .entry((route.to_owned(), object))
            .or_default();
        servers.retain(|server| *server != exchange.server);
        servers.push(exchange.server.clone());
        let zone = exchange.server_zone.clone();
        self.zones.insert(exchange.server.clone(), zone);
    }
}

/// Returns the cause of a late response from a server that had handled the object before, or without an object.
fn late_on_warm_server(exchange: &Exchange) -> Cause {
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

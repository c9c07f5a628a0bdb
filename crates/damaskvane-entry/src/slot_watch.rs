//! Why this instance grants no slots of a backend server, for the log, the counters and the status page.
//!
//! A slot is the right to run one request on a backend server; one instance, its owner, grants the slots.
//!
//! ```
//! use damaskvane_entry::slot_watch;
//!
//! assert!(slot_watch::SlotWatch::default().is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_slots::exchange;
use damaskvane_telemetry::counters;
use serde_json::json;
use slog::info;

/// Time between two looks at the backend servers' phases; of a phase that ends sooner there is no log line.
pub const PERIOD: time::SpanMs = time::SpanMs::new(50);

/// Family of the counters of milliseconds, by reason, in which no slots were granted.
const FAMILY: &str = "slots_blocked_ms";

/// What was last logged of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Logged {
    phase: exchange::OwnerPhase,
    blocked_by: Option<exchange::BlockedBy>,
}

impl Logged {
    /// State of a backend server that was never logged: another instance grants its slots.
    const ELSEWHERE: Self = Self {
        phase: exchange::OwnerPhase::None,
        blocked_by: None,
    };
}

/// Logs each change of a backend server's phase or reason, and counts the time of each reason.
#[derive(Debug, Default)]
pub struct SlotWatch {
    logged: BTreeMap<ids::BackendServerId, Logged>,
    counted_ms: BTreeMap<exchange::BlockedBy, u64>,
    next_look: time::TimeMs,
}

impl SlotWatch {
    /// Returns whether no backend server has been seen yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.logged.is_empty()
    }

    /// Returns whether [`PERIOD`] has passed since the last look, and starts the next period if so.
    pub fn is_due(&mut self, now: time::TimeMs) -> bool {
        let is_due = now >= self.next_look;
        if is_due {
            self.next_look = now + PERIOD;
        }
        is_due
    }

    /// Writes one log line for each backend server whose phase or reason has changed since the last call.
    pub fn log_changes<'a>(
        &mut self,
        now: time::TimeMs,
        servers: impl Iterator<Item = exchange::ServerStatus<'a>>,
        logger: &slog::Logger,
    ) {
        let mut before = core::mem::take(&mut self.logged);
        for status in servers {
            let current = Logged {
                phase: status.phase,
                blocked_by: status.blocked.as_ref().map(|blocked| blocked.by),
            };
            let (name, logged) = before
                .remove_entry(status.server)
                .unwrap_or_else(|| (status.server.clone(), Logged::ELSEWHERE));
            if logged != current {
                log_change(now, &status, logger);
            }
            self.logged.insert(name, current);
        }
    }

    /// Adds what has passed since the last call to the counters; `total_ms` is the time of each reason since
    /// the start of this instance, in milliseconds.
    pub fn count(
        &mut self,
        total_ms: &BTreeMap<exchange::BlockedBy, u64>,
        counters: &counters::Counters,
    ) {
        for (by, total) in total_ms {
            let counted = self.counted_ms.entry(*by).or_default();
            let passed = total.saturating_sub(*counted);
            if passed > 0 {
                counters.add(FAMILY, by.as_str(), passed);
            }
            *counted = *total;
        }
    }
}

fn log_change(now: time::TimeMs, status: &exchange::ServerStatus<'_>, logger: &slog::Logger) {
    let server = status.server.as_str();
    let phase = status.phase.as_str();
    match &status.blocked {
        Some(blocked) => {
            let peers: Vec<&str> = blocked
                .instances
                .iter()
                .map(ids::InstanceId::as_str)
                .collect();
            info!(logger, "this instance grants no slots"; "backend_server" => server, "phase" => phase,
                "reason" => blocked.by.as_str(), "remaining_ms" => remaining_ms(now, blocked),
                "peer" => peers.join(", "));
        }
        None if status.phase == exchange::OwnerPhase::Serving => {
            info!(logger, "this instance grants slots"; "backend_server" => server, "phase" => phase);
        }
        None => {
            let owner = status.owner.map(ids::InstanceId::as_str);
            info!(logger, "another instance is to grant slots"; "backend_server" => server, "phase" => phase,
                "peer" => owner.unwrap_or(""));
        }
    }
}

/// Returns the state of a backend server's slots for the status page.
#[must_use]
pub fn to_json(now: time::TimeMs, status: &exchange::ServerStatus<'_>) -> serde_json::Value {
    let blocked = status.blocked.as_ref().map(|blocked| {
        json!({
            "reason": blocked.by.as_str(),
            "meaning": blocked.by.to_string(),
            "instances": blocked.instances,
            "remaining_ms": remaining_ms(now, blocked),
        })
    });
    json!({
        "backend_server": status.server,
        "owner": status.owner,
        "phase": status.phase.as_str(),
        "blocked": blocked,
        "lent": status.granted,
        "held": status.held,
        "busy": status.busy,
    })
}

fn remaining_ms(now: time::TimeMs, blocked: &exchange::Blocked) -> Option<u64> {
    blocked.until.map(|until| until.since(now).get())
}

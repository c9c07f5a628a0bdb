//! Checks for values that are out of range or contradict each other.

use crate::declaration::{BackendServer, ClientBlocks, Link, Service, Shift};
use crate::object::{ObjectId, ObjectKind};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// All traffic of a zone, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// Maximum length of a timeout, a window or a ramp in milliseconds: one week.
const MAX_SPAN_MS: u64 = 7 * 24 * 3_600_000;

/// Maximum number of client blocks in one object.
///
/// The limit keeps the object's table small and its chunk within one call.
const MAX_BLOCKS: u64 = 1_000_000;

pub(super) fn check(state: &ConfigState) -> Vec<Problem> {
    let mut checks = Checks::default();
    for (name, service) in state.services() {
        checks.set_object(ObjectKind::Service, name.as_str());
        checks.service(service);
    }
    for (name, server) in state.backend_servers() {
        checks.set_object(ObjectKind::BackendServer, name.as_str());
        checks.backend_server(server);
    }
    for (name, link) in state.links() {
        checks.set_object(ObjectKind::Link, name.as_str());
        checks.link(link);
    }
    for (name, blocks) in state.client_blocks() {
        checks.set_object(ObjectKind::ClientBlocks, name.as_str());
        checks.client_blocks(blocks);
    }
    for (name, shift) in state.shifts() {
        checks.set_object(ObjectKind::Shift, name.as_str());
        checks.shift(shift);
    }
    checks.problems
}

#[derive(Default)]
struct Checks {
    object: Option<ObjectId>,
    problems: Vec<Problem>,
}

impl Checks {
    fn set_object(&mut self, kind: ObjectKind, name: &str) {
        self.object = name.parse().ok().map(|name| ObjectId::new(kind, name));
    }

    fn require(&mut self, holds: bool, key: &str, message: impl Into<String>, remedy: &str) {
        if holds {
            return;
        }
        let mut problem = Problem::new(message, remedy).key(key);
        problem.object.clone_from(&self.object);
        self.problems.push(problem);
    }

    fn require_range(&mut self, value: u64, key: &str, min: u64, max: u64) {
        let message = format!("{value} is out of range");
        let remedy = format!("use {min} to {max}");
        self.require((min..=max).contains(&value), key, message, &remedy);
    }

    fn service(&mut self, service: &Service) {
        let timeout_ms = service.request_timeout_ms.get();
        let window_ms = service.idempotency_window_ms.get();
        self.require_range(timeout_ms, "request_timeout_ms", 1, MAX_SPAN_MS);
        self.require_range(service.lookup_ttl_ms.get(), "lookup_ttl_ms", 100, 60_000);
        self.require_range(u64::from(service.queue_limit), "queue_limit", 0, 100_000);
        let retries = u64::from(service.retry_budget_permille.get());
        self.require_range(retries, "retry_budget_permille", 0, 1_000);
        self.require_range(window_ms, "idempotency_window_ms", 1_000, MAX_SPAN_MS);
        let weight = u64::from(service.priority_weight);
        self.require_range(weight, "priority_weight", 1, 1_000_000);
        let typical_ms = service.typical_request_ms.get();
        self.require_range(typical_ms, "typical_request_ms", 1, MAX_SPAN_MS);
        self.require(
            typical_ms <= timeout_ms,
            "typical_request_ms",
            format!("{typical_ms} ms is longer than request_timeout_ms, {timeout_ms}"),
            "raise request_timeout_ms or lower this",
        );
        self.require(
            timeout_ms <= window_ms,
            "idempotency_window_ms",
            format!("{window_ms} ms is shorter than request_timeout_ms, {timeout_ms}"),
            "raise it, or a key is forgotten while its request runs",
        );
    }

    fn backend_server(&mut self, server: &BackendServer) {
        self.require_range(u64::from(server.slots.get()), "slots", 1, 100_000);
        self.require_range(u64::from(server.connections), "connections", 1, 1_000_000);
        self.require(
            server.connections >= server.slots.get(),
            "connections",
            format!("{} is fewer than its slots", server.connections),
            "raise connections, since each running request holds one",
        );
        self.require(
            server.address.port() != 0,
            "address",
            "the port is 0",
            "write the port it listens on",
        );
    }

    fn link(&mut self, link: &Link) {
        let capacity = u64::from(link.capacity_mbps.get());
        self.require_range(capacity, "capacity_mbps", 1, 10_000_000);
    }

    fn client_blocks(&mut self, blocks: &ClientBlocks) {
        for range in &blocks.ranges {
            self.require(
                range.first <= range.last,
                "ranges",
                format!("{}{} comes after {}", range.prefix, range.first, range.last),
                "write the smaller number as first",
            );
            let last_name = format!(
                "{}{:0w$}",
                range.prefix,
                range.last,
                w = usize::from(range.digits)
            );
            self.require(
                last_name
                    .parse::<damaskvane_core::ids::ClientBlock>()
                    .is_ok(),
                "ranges",
                format!("{last_name:?} is not a valid client block"),
                "use 1 to 64 characters out of a-z, 0-9, '-', '_' and '.'",
            );
        }
        let range_len = |range: &crate::declaration::BlockRange| {
            u64::from(range.last.saturating_sub(range.first)) + 1
        };
        let count = blocks.ranges.iter().map(range_len).sum::<u64>() + blocks.names.len() as u64;
        self.require_range(count, "names", 1, MAX_BLOCKS);
    }

    fn shift(&mut self, shift: &Shift) {
        let cap = shift.cap_permille_per_window.get();
        self.require_range(u64::from(shift.permille.get()), "permille", 0, 1_000);
        self.require_range(u64::from(cap), "cap_permille_per_window", 1, 1_000);
        self.require_range(shift.window_ms.get(), "window_ms", 100, MAX_SPAN_MS);
        self.require_range(shift.ramp_ms.get(), "ramp_ms", 0, MAX_SPAN_MS);
        self.require(
            shift.from != shift.to,
            "to",
            "starts and ends in one zone",
            "name two zones",
        );
        let moved = shift.permille_per_window().get();
        self.require(
            moved <= cap || shift.permille.get() > WHOLE_PERMILLE,
            "ramp_ms",
            format!("moves {moved} permille within one window, above its cap of {cap}"),
            "lengthen ramp_ms, lower permille or raise cap_permille_per_window",
        );
    }
}

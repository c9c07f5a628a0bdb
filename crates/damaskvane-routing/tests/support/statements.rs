//! Responses that say something of their servers, and what follows for requests.

use damaskvane_routing::placement::{Choice, Placer};
use damaskvane_routing::pool::{
    RestStatement, ServerPool, ServerReport, StatementSource, Unavailable,
};

use super::{at, configuration, request, route, server_id, service_id};

/// Texts that are no decimal number from 0 to a million.
pub const NO_DECIMALS: [&str; 24] = [
    "",
    " ",
    ".",
    "abc",
    "-1",
    "-0",
    "+3",
    "NaN",
    "nan",
    "inf",
    "infinity",
    "1e3",
    "1e400",
    "0x4",
    "5, 5",
    "5;5",
    "1_0",
    "1,5",
    "3 a second",
    "99999999999999999999",
    "1000000.5",
    "1.2.3",
    "\u{663}",
    "Fri, 04 Dec 2026 10:00:00 GMT",
];

/// Returns a rejection that asks for rest.
pub fn rest(text: &str) -> ServerReport {
    ServerReport {
        rest: RestStatement::Rest(text.parse().expect("a time")),
        ..ServerReport::default()
    }
}

/// Returns a response of a server that leaves.
pub fn leaving() -> ServerReport {
    ServerReport {
        is_leaving: true,
        ..ServerReport::default()
    }
}

/// Applies a response to a request that was sent 10 ms before it.
pub fn respond(pool: &mut ServerPool, now_ms: u64, name: &str, report: &ServerReport) {
    let source = StatementSource::Response;
    pool.apply_response(
        at(now_ms),
        at(now_ms - 10),
        &server_id(name),
        report,
        source,
    );
}

/// Returns whether a server of the pool takes requests by what it has said.
pub fn check(pool: &ServerPool, now_ms: u64, name: &str) -> Result<(), Unavailable> {
    let server = pool.server(&server_id(name)).expect("a known server");
    server.availability.check(at(now_ms))
}

/// Returns the hash of an object; hashes that differ in their upper half lie apart on the ring.
pub fn hash_of(object: u64) -> u64 {
    object.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Places a request of one of three instances.
pub fn choose_at(placer: &mut Placer, pool: &ServerPool, now_ms: u64, object: u64) -> Choice {
    let (route, service) = (route(), service_id());
    let request = request(&route, &service, object);
    placer.choose(at(now_ms), pool, &configuration(), &request, 3)
}

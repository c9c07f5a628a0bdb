//! What a history came to.

use damaskvane_core::time::{SpanMs, TimeMs};

use super::server::Server;

/// Counts over a whole history.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub calls: u64,
    pub served: u64,
    pub refused: u64,
    /// Requests that were refused with the reason that all servers rest, although one took requests.
    pub refused_in_vain: u64,
    pub rejected: u64,
    pub messages: u64,
    /// Sum of the times from call to response, in milliseconds.
    pub took_ms: u64,
}

/// Returns the most requests that an incarnation of an instance sent to a server in a rest that the server had asked it for,
/// from `on_the_way` after the rejection on.
pub fn most_in_a_rest(servers: &[Server], on_the_way: SpanMs) -> usize {
    let counts = servers.iter().flat_map(|server| {
        server.rejections.iter().map(move |(at, by, start, rest)| {
            let (from, to) = (*at + on_the_way, *at + *rest);
            let in_rest = server
                .arrivals
                .iter()
                .filter(|(arrived, other, other_start)| {
                    (other, other_start) == (by, start) && from <= *arrived && *arrived < to
                });
            in_rest.count()
        })
    });
    counts.max().unwrap_or_default()
}

/// Returns the requests that reached a server in a span.
pub fn arrived(server: &Server, from: TimeMs, to: TimeMs) -> usize {
    let arrivals = server.arrivals.iter();
    arrivals
        .filter(|(at, _, _)| from <= *at && *at < to)
        .count()
}

//! What placement must know of a request.

use damaskvane_core::ids;

use crate::configuration::Route;
use crate::placement::Pick;

/// A request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service that takes it.
    pub service: &'a ids::ServiceId,
    /// The hash of its object, if it names one and the route has affinity.
    pub object: Option<u64>,
    /// The servers it was sent to before.
    pub tried: &'a [ids::BackendServerId],
    /// The time left for it.
    pub remaining_ms: u64,
    /// A number between 0 and 1 that spreads the return of refused clients.
    pub spread: f64,
}

/// A request that a server has answered.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredRequest<'a> {
    /// Its route.
    pub route: &'a Route,
    /// Where it was sent.
    pub pick: &'a Pick,
    /// The hash of its object.
    pub object: Option<u64>,
    /// The time from its sending to its answer.
    pub took_ms: u64,
    /// Whether it may have waited at the server.
    pub has_waited: bool,
}

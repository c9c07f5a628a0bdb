//! Input of placement: a request to place, and a request that was answered.

use damaskvane_core::ids;

use crate::configuration::Route;
use crate::placement::Pick;
use crate::pool::TimeFactor;
use crate::teams::Team;

/// A request for which a backend server is to be selected.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Route of the request, with its objective, priority and allowed regions.
    pub route: &'a Route,
    /// Team that sends the request, or `None` if the request has no key.
    pub team: Option<&'a Team>,
    /// Service whose servers may take the request.
    pub service: &'a ids::ServiceId,
    /// Hash of the object, the item that the request names, or `None` if the request names no object or if servers of
    /// the route run no request faster after another one for its object.
    pub object: Option<u64>,
    /// Servers to which earlier attempts of the request were sent; they are excluded.
    pub tried: &'a [ids::BackendServerId],
    /// Time until the request's deadline.
    pub remaining_ms: u64,
    /// Random number between 0 and 1. It spreads the retries of refused clients over time, and requests without an
    /// object over the servers.
    pub spread: f64,
}

impl PlacementRequest<'_> {
    /// Returns whether servers of the region may run the request: both its route and its team must allow the region.
    #[must_use]
    pub fn allows(&self, region: &ids::RegionId) -> bool {
        self.route.allows(region) && self.team.is_none_or(|team| team.allows(region))
    }

    /// Returns the priority of the request: the team's precedes the route's.
    #[must_use]
    pub fn priority(&self) -> u32 {
        let of_team = self.team.and_then(|team| team.priority);
        of_team.unwrap_or(self.route.priority)
    }
}

/// A request that a server has answered.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredRequest<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Server that was selected for the request, with the times that the request was expected to take there.
    pub pick: &'a Pick,
    /// Hash of the object, or `None` if the request was placed without an object.
    pub object: Option<u64>,
    /// Size of the request and its response, heads included.
    pub bytes: usize,
    /// Time from sending the request to receiving the response.
    pub took_ms: u64,
    /// Whether the request may have waited in the server's queue; its time is then not used as a measurement.
    pub has_waited: bool,
    /// Time factor of the server's machine that the response states. The time of the response is divided by it, so that
    /// the usual times of routes and servers don't depend on the machine's load.
    pub time_factor: Option<TimeFactor>,
}

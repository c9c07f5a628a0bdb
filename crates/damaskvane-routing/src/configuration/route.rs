//! Routes: which requests a route matches, and how these requests are handled.

use damaskvane_core::ids;

use crate::configuration::RegionSet;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run more than once without harm.
    Idempotent,
    /// The request runs at most once each time a client sends it.
    NonIdempotent,
}

impl RouteKind {
    /// Returns whether a request that may have run already can be sent again.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Service whose backend servers run the requests.
    pub service: ids::ServiceId,
    /// Share of the route's requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// The requests for one host and path prefix, and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name that the operators gave the route.
    pub name: String,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the requests' paths; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried after they may have run.
    pub kind: RouteKind,
    /// Maximum time from the receipt of a client's request to the response.
    pub timeout_ms: u64,
    /// Target time for a response; a response within this time has the highest value.
    pub objective_ms: u64,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of backend servers to which one request of a client is sent, the first server included.
    pub attempts: u32,
    /// Whether requests for an object, the item that a client's request names, run faster on a server that has handled
    /// the object recently.
    pub has_affinity: bool,
    /// Regions whose servers may run the requests; an empty list allows all regions.
    pub allowed_regions: Vec<ids::RegionId>,
    /// Whether requests need no API key.
    pub is_open: bool,
    /// Services among which the requests are split by weight.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// Returns the regions whose servers may run requests of this route.
    #[must_use]
    pub fn regions(&self) -> RegionSet {
        RegionSet::declared(&self.allowed_regions)
    }

    /// Returns whether servers of the region may run requests of this route.
    #[must_use]
    pub fn allows(&self, region: &ids::RegionId) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }
}

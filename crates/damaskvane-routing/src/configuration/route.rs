//! One route: which requests it takes, and how they are to be treated.

use damaskvane_core::ids;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Running it twice does no harm.
    Idempotent,
    /// It runs at most once for each try of a client.
    NonIdempotent,
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// One service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ids::ServiceId,
    /// Its share, in proportion to the weights of the other destinations.
    pub weight: u32,
}

/// A route of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operators' name for it.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The path's beginning; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time a client is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most.
    pub objective_ms: u64,
    /// The rank of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Most backend servers that one try of a client may be sent to.
    pub attempts: u32,
    /// Whether requests for one object run faster on a server that has handled it lately.
    pub has_affinity: bool,
    /// The regions that may serve it; empty where all may.
    pub allowed_regions: Vec<ids::RegionId>,
    /// The services its requests go to.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// Whether the region may serve this route.
    #[must_use]
    pub fn allows(&self, region: &ids::RegionId) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }
}

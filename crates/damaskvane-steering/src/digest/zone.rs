//! Report of one zone about its load and capacity.
//!
//! A slot is the capacity of a backend server to run one request.
//!
//! ```
//! use damaskvane_steering::{digest, rate};
//!
//! let report = digest::ServiceDigest { refused: rate::Rate::per_second(3), ..Default::default() };
//! assert!(report.shows_overload());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

use crate::rate;

/// Part of the arriving requests above which failed requests count as overload, in thousandths.
const ERROR_LIMIT_PERMILLE: u32 = 50;

/// Part of the arriving requests above which refused requests count as overload, in thousandths.
const REFUSED_LIMIT_PERMILLE: u32 = 50;

/// Rate of refused or failed requests that is treated as noise, whatever their part of the
/// arrivals.
const REFUSED_NOISE: rate::Rate = rate::Rate::per_second(1);

/// Part of the capacity, in thousandths. Refused requests do not count as overload up to the rate
/// by which the arriving requests exceed this part.
const BUSY_PERMILLE: u32 = 800;

/// Rates of the lookups that a zone's entry instances received from clients of one source zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lookups {
    /// Lookups answered with a list of zones.
    pub answered: rate::Rate,
    /// Lookups refused for lack of capacity.
    pub refused: rate::Rate,
}

/// Report of a zone about one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceDigest {
    /// Capacity of the backend servers that accept requests now.
    pub capacity: rate::Rate,
    /// Slots in use, as counted by the zone's entry instances.
    pub running: units::Slots,
    /// Rate of arriving requests by the client's source zone, including refused requests and
    /// excluding retries.
    pub demand: BTreeMap<ids::AvailabilityZoneId, rate::Rate>,
    /// Lookups by the client's source zone, counted over the same span as the demand.
    ///
    /// Source zones of which no lookup was refused may be absent.
    pub lookups: BTreeMap<ids::AvailabilityZoneId, Lookups>,
    /// Rate of requests refused by the zone or its backend servers for lack of capacity.
    pub refused: rate::Rate,
    /// Rate of requests that failed on a backend server.
    pub errors: rate::Rate,
    /// Whether the zone's entry instances detect overload of the service.
    pub overload: bool,
}

impl ServiceDigest {
    /// Returns the rate of arriving requests from all source zones.
    #[must_use]
    pub fn arrivals(&self) -> rate::Rate {
        self.demand.values().copied().sum()
    }

    /// Returns whether the report shows that the service carries less than its reported capacity.
    ///
    /// A service that reports a low load while it sheds requests would keep attracting traffic, and
    /// its refusals would rise with every plan. Refusals and errors therefore count, whatever the
    /// load. Refusals that occur by chance in a full zone do not count: if the planner reduced its
    /// trust in the zone's capacity, capacity would stay unused when all of it is needed.
    #[must_use]
    pub fn shows_overload(&self) -> bool {
        let arrivals = self.arrivals();
        let explained = arrivals.saturating_sub(self.capacity.permille(BUSY_PERMILLE));
        let noise = arrivals.permille(REFUSED_LIMIT_PERMILLE) + REFUSED_NOISE;
        self.overload
            || self.refused > explained + noise
            || self.errors > arrivals.permille(ERROR_LIMIT_PERMILLE) + REFUSED_NOISE
    }
}

/// Report of one zone about all its services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDigest {
    /// Zone that sent the report.
    pub zone: ids::AvailabilityZoneId,
    /// Sequence number; rises with every report of the zone.
    pub sequence: u64,
    /// Time at which the zone measured the reported numbers, by the receiver's clock: the time of
    /// arrival minus the age on arrival.
    pub taken_at: time::TimeMs,
    /// Report for each service.
    pub services: BTreeMap<ids::ServiceId, ServiceDigest>,
}

impl ZoneDigest {
    /// Creates a report without services.
    #[must_use]
    pub const fn new(zone: ids::AvailabilityZoneId, sequence: u64, taken_at: time::TimeMs) -> Self {
        Self {
            zone,
            sequence,
            taken_at,
            services: BTreeMap::new(),
        }
    }
}

//! The report of one zone.
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

/// Errors above this share of the arrivals count as overload, in thousandths.
const ERROR_LIMIT_PERMILLE: u32 = 50;

/// Refusals above this share of the arrivals count as overload, in thousandths.
const REFUSED_LIMIT_PERMILLE: u32 = 50;

/// So many refusals a second are chance, whatever their share.
const REFUSED_BY_CHANCE: rate::Rate = rate::Rate::per_second(1);

/// Arrivals above this part of the capacity explain refusals by themselves, in thousandths.
const BUSY_PERMILLE: u32 = 800;

/// Look-ups that a zone's entry instances answered, for the clients of one source zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lookups {
    /// Answered with zones to use.
    pub answered: rate::Rate,
    /// Refused for want of capacity.
    pub refused: rate::Rate,
}

/// What a zone reports about one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceDigest {
    /// The capacity of the backend servers that take work now.
    pub capacity: rate::Rate,
    /// Slots in use, as counted by the zone's entry instances.
    pub running: units::Slots,
    /// First tries that arrived, by the source zone of the client; refused ones included.
    pub demand: BTreeMap<ids::AvailabilityZoneId, rate::Rate>,
    /// Look-ups by the source zone of the client, counted over the same span as the demand.
    ///
    /// A source of which no look-up was refused may be left out.
    pub lookups: BTreeMap<ids::AvailabilityZoneId, Lookups>,
    /// Requests refused for want of capacity, by the zone or by its backend servers.
    pub refused: rate::Rate,
    /// Requests that failed on a backend server.
    pub errors: rate::Rate,
    /// Whether the zone's entry instances see the service overloaded.
    pub overload: bool,
}

impl ServiceDigest {
    /// All arrivals, whatever their source.
    #[must_use]
    pub fn arrivals(&self) -> rate::Rate {
        self.demand.values().copied().sum()
    }

    /// Whether anything in the report shows that the service carries less than its capacity says.
    ///
    /// A service whose load report says idle while it sheds keeps drawing traffic if load alone is
    /// believed; one would notice refusals that rise with every step. Refusals and errors therefore
    /// count, whatever the load says. Refusals that a full zone brings by chance do not count: a cut
    /// would leave capacity unused just when all of it is needed.
    #[must_use]
    pub fn shows_overload(&self) -> bool {
        let arrivals = self.arrivals();
        let explained = arrivals.saturating_sub(self.capacity.permille(BUSY_PERMILLE));
        let chance = arrivals.permille(REFUSED_LIMIT_PERMILLE) + REFUSED_BY_CHANCE;
        self.overload
            || self.refused > explained + chance
            || self.errors > arrivals.permille(ERROR_LIMIT_PERMILLE) + REFUSED_BY_CHANCE
    }
}

/// What one zone reports about all its services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone that reports.
    pub zone: ids::AvailabilityZoneId,
    /// Rises with every report of the zone.
    pub sequence: u64,
    /// When the numbers were taken, by the reader's clock: the arrival less the age on arrival.
    pub taken_at: time::TimeMs,
    /// The report for each service.
    pub services: BTreeMap<ids::ServiceId, ServiceDigest>,
}

impl ZoneDigest {
    /// A report without any service yet.
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

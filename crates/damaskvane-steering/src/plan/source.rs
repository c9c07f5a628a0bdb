//! Destinations of the clients of one source zone.
//!
//! A client's source zone is the zone nearest to the client; a destination is a zone whose backend
//! servers run the client's requests.
//!
//! ```
//! use damaskvane_steering::plan;
//!
//! let source = plan::SourcePlan::default();
//! assert_eq!(source.refused_ppm(), plan::WHOLE_PPM);
//! ```

use damaskvane_core::{ids, time};

use crate::plan::WHOLE_PPM;
use crate::rate;

/// Share of a source's clients that is sent to one destination zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Destination zone.
    pub zone: ids::AvailabilityZoneId,
    /// Share, in millionths of the source's clients.
    pub share_ppm: u32,
}

/// Destinations of the clients of one source zone, in ascending order of the latency from the
/// source zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SourcePlan {
    /// Rate of the source's requests for which the shares were computed.
    pub demand: rate::Rate,
    /// Shares by destination. If they add up to less than all clients, the remaining clients are
    /// refused.
    pub shares: Vec<Share>,
    /// How long a refused client waits before its next lookup.
    pub retry_after: time::SpanMs,
}

impl SourcePlan {
    /// Returns the share of a destination, in millionths; zero for a zone without a share.
    #[must_use]
    pub fn share_ppm(&self, zone: &ids::AvailabilityZoneId) -> u32 {
        let share = self.shares.iter().find(|share| share.zone == *zone);
        share.map_or(0, |share| share.share_ppm)
    }

    /// Returns the share of the source's clients that are refused, in millionths.
    #[must_use]
    pub fn refused_ppm(&self) -> u32 {
        let sent: u32 = self.shares.iter().map(|share| share.share_ppm).sum();
        WHOLE_PPM.saturating_sub(sent)
    }

    /// Returns the flow to a destination, which is the destination's share of the planned demand.
    #[must_use]
    pub fn flow(&self, zone: &ids::AvailabilityZoneId) -> rate::Rate {
        self.demand.ppm(self.share_ppm(zone))
    }
}

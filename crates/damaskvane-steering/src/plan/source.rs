//! Where the clients of one source zone go.
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

/// The part of a source's clients that goes to one destination zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The destination.
    pub zone: ids::AvailabilityZoneId,
    /// The part, in millionths of the source's clients.
    pub share_ppm: u32,
}

/// Where the clients of one source zone go, nearest destination first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SourcePlan {
    /// The demand that the shares were worked out for.
    pub demand: rate::Rate,
    /// The destinations; what is missing from the whole is refused.
    pub shares: Vec<Share>,
    /// When a refused client may come back.
    pub retry_after: time::SpanMs,
}

impl SourcePlan {
    /// The part that goes to a destination, in millionths.
    #[must_use]
    pub fn share_ppm(&self, zone: &ids::AvailabilityZoneId) -> u32 {
        let share = self.shares.iter().find(|share| share.zone == *zone);
        share.map_or(0, |share| share.share_ppm)
    }

    /// The part that is refused, in millionths.
    #[must_use]
    pub fn refused_ppm(&self) -> u32 {
        let sent: u32 = self.shares.iter().map(|share| share.share_ppm).sum();
        WHOLE_PPM.saturating_sub(sent)
    }

    /// The flow to a destination.
    #[must_use]
    pub fn flow(&self, zone: &ids::AvailabilityZoneId) -> rate::Rate {
        self.demand.ppm(self.share_ppm(zone))
    }
}

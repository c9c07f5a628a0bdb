//! Digests: reports of the zones about their own load and capacity.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::digest;
//!
//! let mut view = digest::View::default();
//! let zone: damaskvane_core::ids::AvailabilityZoneId = "sask-a".parse()?;
//! let report = digest::ZoneDigest::new(zone, 1, time::TimeMs::new(500));
//! assert!(view.apply_digest(report.clone()));
//! assert!(!view.apply_digest(report), "a repeated sequence number is not a new report");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod view;
mod zone;

pub use view::View;
pub use zone::{Lookups, ServiceDigest, ZoneDigest};

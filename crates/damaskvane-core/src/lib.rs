//! Identifiers, units, time and hashes shared by all damaskvane crates.
//!
//! # Crate guide
//!
//! - [`ids`]: identifiers of instances, zones, services, backend servers, tickets and requests.
//! - [`units`]: newtypes for sizes, rates and counts.
//! - [`time`]: points in time and spans, passed in by the caller; this crate reads no clock.
//! - [`timer`]: periodic timers on a clock that the caller advances.
//! - [`hash`]: content hashes of immutable chunks.
//!
//! ```
//! use damaskvane_core::ids;
//!
//! let zone: ids::AvailabilityZoneId = "sask-a".parse()?;
//! assert_eq!(zone.to_string(), "sask-a");
//! # Ok::<(), ids::ParseIdError>(())
//! ```

pub mod hash;
pub mod ids;
pub mod time;
pub mod timer;
pub mod units;

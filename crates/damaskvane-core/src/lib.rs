//! Identifiers, units, time and hashes that every damaskvane crate shares.
//!
//! # Crate guide
//!
//! - [`ids`]: names of instances, zones, services, backend servers, tickets and requests.
//! - [`units`]: sizes, rates and counts as newtypes.
//! - [`time`]: points in time that the caller passes in; nothing here reads a clock.
//! - [`timer`]: the timer service that parts of a program subscribe to.
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

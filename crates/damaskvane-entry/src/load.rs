//! Load of this instance and of its zone, measured for digests.
//!
//! The client API counts arrivals and lookups by the client's source zone, the zone nearest to the client.
//! The engine thread adds running exchanges, refusals and errors. Once a second the control thread collects
//! both and sends them to the aggregator of the zone, the instance that sums the zone's load for its
//! digest.
//!
//! ```
//! use damaskvane_entry::load;
//!
//! let meter = load::Meter::default();
//! meter.record_arrival(&"rider-desk".parse()?, &"sask-a".parse()?);
//! assert_eq!(meter.take_arrivals().len(), 1);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod instance_load;
mod meter;
mod zone_load;

pub use instance_load::{InstanceLoad, ServiceLoad};
pub use meter::{LookupCount, Meter};
pub use zone_load::{ZoneLoad, ZoneReport, ZoneServiceReport};

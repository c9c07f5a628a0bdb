//! Load of this instance and of its zone, measured for digests.
//!
//! The client API counts arrivals and lookups by the zone that a client is steered from. The engine thread
//! adds running exchanges, refusals and errors. Once a second the control thread collects both and sends
//! them to the aggregator of its zone.
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

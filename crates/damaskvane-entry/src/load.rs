//! What this instance measures of its own traffic, for digests.
//!
//! The clients' side counts arrivals by the zone that a client is steered from; the engine's thread adds
//! what it runs, refuses and fails. Once a second the control thread takes both and tells the aggregator
//! of its zone.
//!
//! ```
//! use damaskvane_entry::load;
//!
//! let meter = load::Meter::default();
//! meter.arrived(&"rider-desk".parse()?, &"sask-a".parse()?);
//! assert_eq!(meter.take_arrivals().len(), 1);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod instance_load;
mod meter;
mod zone_load;

pub use instance_load::{InstanceLoad, ServiceLoad};
pub use meter::{LookUpCount, Meter};
pub use zone_load::{ZoneLoad, ZoneReport, ZoneServiceReport};

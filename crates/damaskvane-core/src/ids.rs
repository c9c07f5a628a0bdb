//! Names and numbers that identify things, each a type of its own.
//!
//! Text identifiers hold 1 to 64 characters out of `a-z`, `0-9`, `-`, `_` and `.`, so that they can
//! stand in a URL, a header, a file name and a metric name without escaping.
//!
//! ```
//! use damaskvane_core::ids;
//!
//! assert!("rider-desk".parse::<ids::ServiceId>().is_ok());
//! assert!("Rider Desk".parse::<ids::ServiceId>().is_err());
//! ```

mod error;
mod number;
mod text;

pub use error::ParseIdError;
pub use number::{ConfigVersion, Incarnation, TicketNumber};
pub use text::{
    AvailabilityZoneId, BackendServerId, ClientBlock, IdempotencyKey, InstanceId, RegionId,
    RequestId, ServiceId, SiteId,
};

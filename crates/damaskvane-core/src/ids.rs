//! Text and number identifiers, a type of its own for each kind.
//!
//! A text identifier has 1 to 64 characters out of `a-z`, `0-9`, `-`, `_` and `.`, so that URLs,
//! headers, file names and metric names can contain it without escaping.
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

//! Rate that a receiving zone grants to the other zones.
//!
//! A source asks, the receiver grants out of its measured headroom, and the grant lapses by itself.
//! The source counts the life of a grant from the moment it *asked*, the receiver from the moment it
//! *granted*, which is later: whatever the delay between them, the source stops first. The receiver
//! adds the life of a look-up answer, since clients go on using what they were told.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::{credit, rate};
//!
//! let mut holder = credit::Holder::new(rate::Rate::per_second(2), time::TimeMs::ZERO);
//! let request = holder.request(rate::Rate::per_second(10), time::TimeMs::ZERO);
//! assert_eq!(request.rate, rate::Rate::per_second(10));
//! assert_eq!(holder.rate(time::TimeMs::ZERO), rate::Rate::per_second(2));
//! ```

mod granter;
mod holder;
mod message;

pub use granter::{Granter, GranterSettings, LocalLoad};
pub use holder::{Holder, Permit};
pub use message::{CreditRequest, Grant};

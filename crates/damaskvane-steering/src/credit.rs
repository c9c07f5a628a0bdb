//! Request rate that a receiving zone grants to the other zones.
//!
//! A source zone, which sends its clients to other zones, requests credit. The receiving zone
//! grants credit from its measured free capacity, and the grant expires without a further message.
//! The source counts the lifetime of a grant from the time of its *request*, and the receiver
//! counts from the later time of its *grant*. The source therefore stops first, whatever the delay
//! between request and grant. The receiver adds the TTL of lookup results to the lifetime, since
//! clients continue to use the results that they have cached.
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

//! What an instance has borrowed of one backend server.
//!
//! A lease is usable from its grant until a margin before the owner takes it back, counted on the
//! holder's own clock from when it *asked*. The way of the messages can so only shorten it.
//!
//! ```
//! use damaskvane_core::{time, units};
//! use damaskvane_slots::{holder, settings};
//!
//! let settings = settings::SlotSettings::default();
//! let mut pool = holder::LeasePool::default();
//! let number = pool.record_acquire(time::TimeMs::new(0), units::Slots::new(1));
//! let lease = time::SpanMs::new(5_000);
//! assert!(pool.apply_grant(time::TimeMs::new(10), number, units::Slots::new(1), lease, &settings));
//! assert_eq!(pool.free(time::TimeMs::new(4_699)), units::Slots::new(1));
//! assert_eq!(pool.free(time::TimeMs::new(4_700)), units::Slots::ZERO);
//! ```

mod held_grant;
mod pool;

pub use held_grant::HeldGrant;
pub use pool::{LeaseOp, LeasePool};

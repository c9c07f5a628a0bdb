//! The slots of one backend server that an instance holds.
//!
//! The holder counts a lease on its own clock from the moment when it *sent* the acquire request, and stops
//! using the lease a margin before the owner reclaims the slots. Message delay can therefore only shorten
//! the usable time.
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

//! The slots of one backend server that an instance holds.
//!
//! A slot is the right to run one request on the backend server. The server's owner, one of the zone's
//! instances, grants slots under a lease of limited time. The holder counts the lease on its own clock from
//! the moment when it *sent* the acquire or renewal request, and stops using the slots a margin before the
//! owner may grant them again. Message delay can therefore only shorten the usable time. With its first renewal
//! a lease becomes a standing one, which the holder uses as long as it has authority, the right to act.
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
mod lease_op;
mod pool;

pub use held_grant::HeldGrant;
pub use lease_op::LeaseOp;
pub use pool::LeasePool;

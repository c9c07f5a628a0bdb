//! Who may use which slots of a backend server: owners, leases on slots and their expiry.
//!
//! Each backend server of an availability zone has one owner among the zone's entry instances. The owner
//! lends slots for a bounded time; an instance sends a request only under such a lease, with a deadline
//! that ends before the lease does. The sum of what is lent never exceeds the slots.
//!
//! # Crate guide
//!
//! - [`exchange`]: the aggregate: events and a time in, actions out; the part that a program drives.
//! - [`permit`]: the life of one slot in use, checked before and after a request is sent.
//! - [`ledger`]: what an owner has lent.
//! - [`holder`]: what an instance has borrowed.
//! - [`claim`]: how a backend server gets a new owner.
//! - [`message`]: what instances say to each other.
//! - [`connections`]: the fixed share of a backend server's connections.
//! - [`settings`], [`counters`]: times, and what is counted.
//!
//! ```
//! use damaskvane_core::{ids, time, units};
//! use damaskvane_membership::{settings as membership, view};
//! use damaskvane_slots::{exchange, settings};
//!
//! let own = view::Own::new("a-1".parse()?, "a".parse()?, ids::Incarnation::new(1));
//! let view = view::Membership::new(own, membership::MembershipSettings::default(), time::TimeMs::ZERO);
//! let mut slots = exchange::SlotExchange::new(
//!     "a-1".parse()?,
//!     ids::Incarnation::new(1),
//!     settings::SlotSettings::default(),
//! );
//! let now = time::TimeMs::new(1);
//! slots.handle(now, exchange::Event::Roster(view.roster()));
//! assert_eq!(slots.free(now, &"rider-desk-1".parse()?), units::Slots::ZERO);
//! # Ok::<(), ids::ParseIdError>(())
//! ```

pub mod claim;
pub mod connections;
pub mod counters;
pub mod exchange;
pub mod holder;
pub mod ledger;
pub mod message;
pub mod permit;
pub mod settings;

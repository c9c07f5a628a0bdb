//! Leases on the slots of backend servers, and the instances that own and hold them.
//!
//! A slot is the right to run one request on a backend server. Each backend server of an availability zone
//! has one owner among the zone's entry instances. The owner grants slots to instances, each grant under a
//! lease, which limits its time. An instance sends a request only under a lease, with a deadline before the
//! end of the lease. The sum of the granted slots of a server never exceeds the server's number of slots.
//!
//! # Crate guide
//!
//! - [`exchange`]: the state machine that a program drives with events and the current time.
//! - [`permit`]: the reservation of a held slot for one request; its lease is checked before and after the
//!   request is sent.
//! - [`ledger`]: the grants that an owner has made.
//! - [`holder`]: the grants that an instance holds.
//! - [`claim`]: the transfer of a backend server to a new owner.
//! - [`message`]: the messages between instances.
//! - [`connections`]: each instance's fixed share of a backend server's connections.
//! - [`settings`], [`counters`]: durations and statistics.
//!
//! ```
//! use damaskvane_core::{ids, time, units};
//! use damaskvane_membership::{settings as membership, view};
//! use damaskvane_slots::{exchange, settings};
//!
//! let own = view::OwnInstance::new("a-1".parse()?, "a".parse()?, ids::Incarnation::new(1));
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

//! The aggregate of slots: events and a time in, actions out.
//!
//! A program feeds it the roster and the backend servers, what peers say, and ticks. Before a request is
//! sent it takes a permit with [`SlotExchange::begin`]; if there is none it says with [`Event::Demand`]
//! that requests wait, and tries again on [`Action::Available`]. The owner of a backend server borrows
//! from its own ledger like any other, without a message.
//!
//! ```
//! use damaskvane_core::{ids, time, units};
//! use damaskvane_membership::{settings as membership, view};
//! use damaskvane_slots::{exchange, settings};
//!
//! let own = view::Own::new("a-1".parse()?, "a".parse()?, ids::Incarnation::new(1));
//! let mut slots = exchange::SlotExchange::new(
//!     own.instance.clone(),
//!     own.incarnation,
//!     settings::SlotSettings::default(),
//! );
//! let mut roster = view::Membership::new(own, membership::MembershipSettings::default(), time::TimeMs::ZERO)
//!     .roster();
//! roster.is_listed = true;
//! let server: ids::BackendServerId = "rider-desk-1".parse()?;
//! let limits = vec![exchange::ServerSlots { server: server.clone(), slots: units::Slots::new(6) }];
//! slots.handle(time::TimeMs::new(0), exchange::Event::Servers(limits));
//! slots.handle(time::TimeMs::new(0), exchange::Event::Roster(roster));
//! // An earlier owner may have lent slots: nothing is lent until that must have expired.
//! let now = time::TimeMs::new(5_300);
//! slots.handle(now, exchange::Event::Tick);
//! let demand = exchange::Event::Demand { server: server.clone(), waiting: units::Slots::new(1) };
//! let actions = slots.handle(now, demand);
//! assert_eq!(actions, [exchange::Action::Available { server: server.clone() }]);
//! assert!(slots.begin(now, &server, time::SpanMs::new(1_000), time::SpanMs::new(100)).is_ok());
//! # Ok::<(), ids::ParseIdError>(())
//! ```

mod acquiring;
mod aggregate;
mod assignment;
mod claiming;
mod event;
mod granting;
mod server;
mod status;

pub use aggregate::{Finish, SlotExchange, Unavailable};
pub use event::{Action, Event, ServerSlots};
pub use status::{OwnerPhase, ServerStatus};

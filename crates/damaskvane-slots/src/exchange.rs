//! The slot leases of one zone as a state machine, which takes events with their times and returns actions.
//!
//! A slot is the right to run one request on a backend server. Each backend server has one owner, an instance
//! that grants the server's slots for a limited time (a lease) to the instances of the zone.
//!
//! A program passes the roster (the instances of the zone), the backend servers, messages from other
//! instances, and ticks to [`SlotExchange::handle`]. Before the program sends a request, it reserves a slot
//! with [`SlotExchange::begin`], which returns a permit. If no slot is free, the program reports the number
//! of waiting requests with [`Event::Demand`] and calls `begin` again on [`Action::Available`]. The owner of
//! a backend server acquires slots for its own requests in the same way, without a message on the network.
//!
//! ```
//! use damaskvane_core::{ids, time, units};
//! use damaskvane_membership::{settings as membership, view};
//! use damaskvane_slots::{exchange, settings};
//!
//! let own = view::OwnInstance::new("a-1".parse()?, "a".parse()?, ids::Incarnation::new(1));
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
//! // An earlier owner may have granted slots: nothing is granted before those grants have expired.
//! let now = time::TimeMs::new(5_300);
//! slots.handle(now, exchange::Event::Tick);
//! let demand = exchange::Event::Demand { server: server.clone(), waiting: units::Slots::new(1) };
//! let actions = slots.handle(now, demand);
//! assert_eq!(actions, [exchange::Action::Available { server: server.clone() }]);
//! assert!(slots.begin(now, &server, time::SpanMs::new(1_000), time::SpanMs::new(100)).is_ok());
//! # Ok::<(), ids::ParseIdError>(())
//! ```

mod acquiring;
mod assignment;
mod blocked;
mod blocked_by;
mod claim_answers;
mod claiming;
mod consenting;
mod diagnosis;
mod event;
mod granting;
mod promises;
mod server;
mod slot_exchange;
mod standing;
mod status;
mod takeover;
mod wait;

pub use blocked::Blocked;
pub use blocked_by::BlockedBy;
pub use event::{Action, Event, ServerSlots};
pub use slot_exchange::{Finish, SlotExchange, Unavailable};
pub use status::{OwnerPhase, ServerStatus};
pub(crate) use takeover::TakeoverWait;

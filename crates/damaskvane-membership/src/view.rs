//! The membership state machine, which takes events with their times and returns actions.
//!
//! The platform's list names the instances that exist, and heartbeats show which of them are alive. If
//! an instance sends heartbeats but is not on the list, it counts as alive, provided that it was listed
//! recently. A listed instance from which no heartbeat has arrived yet counts as alive for a limited
//! time.
//!
//! The module answers three questions:
//!
//! - Which instances take new work? [`Membership::instances`]: an instance is excluded after some seconds
//!   without a heartbeat from it.
//! - Whose backend servers may pass to another instance? [`Membership::roster`]: only those of an instance
//!   that is proven to have stopped or to have lost its authority.
//! - Does this instance have authority, the right to act as the owner of its backend servers?
//!   [`Membership::authority_until`]: as long as its neighbours (the instances with which it exchanges
//!   heartbeats) confirm the arrival of its heartbeats, or the platform's list contains it.
//!
//! ```
//! use damaskvane_core::{ids, time};
//! use damaskvane_membership::{settings, view};
//!
//! let own = view::OwnInstance::new("a-1".parse()?, "a".parse()?, ids::Incarnation::new(1));
//! let membership =
//!     view::Membership::new(own, settings::MembershipSettings::default(), time::TimeMs::ZERO);
//! assert!(membership.authority_until().is_some(), "no neighbour could take over");
//! # Ok::<(), ids::ParseIdError>(())
//! ```

mod authority;
mod counters;
mod event;
mod instance_view;
mod listing;
mod member;
mod membership;
mod passing;
mod proofs;
mod relayed_list;
mod roster;
mod rounds;
mod silence;
mod topology;

pub use counters::{HeartbeatRefusal, MembershipCounters};
pub use event::{Action, Event, ListSource, ProbeOutcome};
pub use instance_view::InstanceView;
pub use membership::{Membership, OwnInstance};
pub use passing::PassedList;
pub use roster::{Roster, RosterMember};

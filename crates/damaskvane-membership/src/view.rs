//! The aggregate of membership: events and a time in, actions out.
//!
//! The platform's list says who exists; heartbeats say who lives. Where they disagree, a recent heartbeat
//! counts more, but only from an instance that is or lately was on the list. A listed instance that was
//! never heard is trusted for a bounded time.
//!
//! Three questions have an answer each:
//!
//! - Who takes new work? [`Membership::instances`]: decided by silence, in seconds.
//! - Whose backend servers may pass to another? [`Membership::roster`]: decided by proof only.
//! - May this instance use what it owns? [`Membership::authority_until`]: as long as its neighbours say that
//!   they hear it, or it sees itself on the platform's list.
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
mod roster;
mod rounds;
mod silence;
mod topology;

pub use counters::{HeartbeatRefusal, MembershipCounters};
pub use event::{Action, Event, ListSource, ProbeOutcome};
pub use instance_view::InstanceView;
pub use membership::{Membership, OwnInstance};
pub use roster::{Roster, RosterMember};

//! The membership state machine, which takes events with their times and returns actions.
//!
//! The platform's list names the instances that exist, and heartbeats show which of them are alive.
//! Where the two disagree, a recent heartbeat takes precedence, but only from an instance that is
//! listed or was listed recently. A listed instance without any heartbeat so far counts as live for a
//! limited time.
//!
//! The module answers three questions:
//!
//! - Which instances take new work? [`Membership::instances`]: decided by silence, in seconds.
//! - Whose backend servers may pass to another instance? [`Membership::roster`]: decided by proof only.
//! - May this instance use what it owns? [`Membership::authority_until`]: as long as its neighbours
//!   echo its heartbeats, or the platform's list contains it.
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

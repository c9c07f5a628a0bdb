//! Live and leaving instances, heartbeats, digests and ownership.
//!
//! # Crate guide
//!
//! - [`record`]: an instance as the platform's lagging list names it.
//! - [`heartbeat`]: what an instance tells its neighbours of itself, and what it heard of them.
//! - [`plan`]: who sends heartbeats to whom, and how often.
//! - [`view`]: the aggregate: events and a time in, actions out; who lives, and what proves that somebody
//!   is gone.
//! - [`state`]: the states of an instance, and the proofs.
//! - [`ownership`]: the rendezvous hash that names the owner of a backend server.
//! - [`digest`]: reports of availability zones, from one zone to all others and down each zone's tree.
//! - [`settings`]: periods and bounds.
//!
//! Nothing here reads a clock or sends anything.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_membership::{settings, view};
//!
//! let own = view::OwnInstance::new("sask-a-1".parse()?, "sask-a".parse()?, 3.to_incarnation());
//! let mut membership =
//!     view::Membership::new(own, settings::MembershipSettings::default(), time::TimeMs::ZERO);
//! let actions = membership.handle(time::TimeMs::new(100), view::Event::Tick);
//! assert!(actions.is_empty());
//! # trait N { fn to_incarnation(self) -> damaskvane_core::ids::Incarnation; }
//! # impl N for u64 { fn to_incarnation(self) -> damaskvane_core::ids::Incarnation {
//! #     damaskvane_core::ids::Incarnation::new(self) } }
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

pub mod digest;
pub mod heartbeat;
pub mod ownership;
pub mod plan;
pub mod record;
pub mod settings;
pub mod state;
pub mod view;

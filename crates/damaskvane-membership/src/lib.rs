//! Membership of instances: which entry instances exist, are alive, and may own backend servers.
//!
//! Neighbouring instances exchange heartbeats. An instance can fence one that stays silent, that is,
//! revoke at the platform its right to act as an owner. Digests are reports on whole availability
//! zones.
//!
//! # Crate guide
//!
//! - [`record`]: an entry of the platform's list of instances.
//! - [`heartbeat`]: heartbeats that neighbouring instances exchange.
//! - [`plan`]: selection of heartbeat neighbours, and the heartbeat period.
//! - [`view`]: the membership state machine, which takes events with their times and returns actions.
//!   It determines which instances are alive, and which are gone (proven to have stopped or to be fenced).
//! - [`state`]: states of an instance, and proofs that an instance is gone.
//! - [`ownership`]: the rendezvous hash that selects the owner of a backend server.
//! - [`digest`]: exchange of digests within and between the availability zones.
//! - [`settings`]: intervals, timeouts and limits.
//!
//! Nothing here reads a clock or sends messages: callers pass in the time and carry out the actions.
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

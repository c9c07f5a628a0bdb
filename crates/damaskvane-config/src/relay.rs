//! Who watches the store and who tells whom of a new head.
//!
//! A few instances of each availability zone, the relays, watch the store. Whoever learns of a head
//! from outside its zone tells the zone; whoever learns of it from the store also tells one instance
//! of each other zone. Versions in heartbeats repair whatever was lost. Calls on the store so grow
//! with the number of zones, not with the number of instances.
//!
//! ```
//! use damaskvane_config::relay;
//! use damaskvane_core::time;
//!
//! let me = relay::Member {
//!     instance: "sask-a-1".parse().expect("an id"),
//!     availability_zone: "sask-a".parse().expect("an id"),
//! };
//! let mut relay = relay::Relay::new(me, relay::RelaySettings::default(), 7);
//! let actions = relay.handle(time::TimeMs::ZERO, relay::Event::Tick);
//! assert!(actions.contains(&relay::Action::FetchHead { from: relay::Source::Store }));
//! ```

mod action;
mod event;
mod fetch;
mod machine;
mod settings;
mod telling;
mod view;

pub use action::{Action, Source};
pub use event::Event;
pub use machine::Relay;
pub use settings::RelaySettings;
pub use view::{Member, View};

//! Spreads new heads among the instances.
//!
//! A head is the stored list of all objects of one configuration version.
//!
//! A few instances of each availability zone, the relays, watch the store. An instance that applies
//! a head from the store or from another zone announces the new version to all instances of its own
//! zone. If the head came from the store, the instance also announces it to one instance of each
//! other zone. The versions in heartbeats make up for lost announcements. The number of store calls
//! thus grows with the number of zones, not with the number of instances.
//!
//! ```
//! use damaskvane_config::relay;
//! use damaskvane_core::time;
//!
//! let local = relay::Member {
//!     instance: "sask-a-1".parse().expect("an id"),
//!     availability_zone: "sask-a".parse().expect("an id"),
//! };
//! let mut relay = relay::Relay::new(local, relay::RelaySettings::default(), 7);
//! let actions = relay.handle(time::TimeMs::ZERO, relay::Event::Tick);
//! assert!(actions.contains(&relay::Action::FetchHead { from: relay::Source::Store }));
//! ```

mod action;
mod announcements;
mod event;
mod fetch;
mod machine;
mod settings;
mod view;

pub use action::{Action, Source};
pub use event::Event;
pub use machine::Relay;
pub use settings::RelaySettings;
pub use view::{Member, View};

//! Access to the platform's store: lists, watches, health checks, and the relay of changes between instances.

mod applier;
mod client;
mod feed;
mod follow;
mod freshness;
mod health;
mod health_check;
mod journal;
mod register;

pub use client::{CallError, StoreClient};
pub use feed::{Feed, serve as serve_feed, subscribe as subscribe_to_relay, watch_freshness};
pub use follow::follow;
pub use health::{Source, StoreHealth};
pub use health_check::run as run_health_checks;
pub use journal::Journal;
pub use register::register;

use crate::adapter::Collection;

/// Collections of the store that every instance follows. The index of a collection is its number on the wire.
pub const FOLLOWED_COLLECTIONS: [Collection; 5] = [
    Collection::Instances,
    Collection::Configuration,
    Collection::Servers,
    Collection::Evacuations,
    Collection::Quarantine,
];

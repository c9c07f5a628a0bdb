//! What the platform's store says: lists, watches, and changes handed on within a zone.

mod client;
mod contact;
mod feed;
mod follow;
mod freshness;
mod health;
mod intake;
mod journal;
mod register;

pub use client::{CallError, StoreClient};
pub use contact::keep as run_health_checks;
pub use feed::{Feed, listen as subscribe_to_relay, serve as serve_feed, watch_freshness};
pub use follow::follow;
pub use health::{Source, StoreHealth};
pub use journal::Journal;
pub use register::register;

use crate::adapter::Collection;

/// The collections that every instance follows.
pub const FOLLOWED_COLLECTIONS: [Collection; 5] = [
    Collection::Instances,
    Collection::Configuration,
    Collection::Servers,
    Collection::Evacuations,
    Collection::Quarantine,
];

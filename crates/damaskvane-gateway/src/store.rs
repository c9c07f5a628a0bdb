//! Access to the platform's store: lists, watches, health checks, and the relay of changes between instances.
//!
//! A watch is a call that returns when the store has changes. A relay is an instance that sends the changes to others.

mod applier;
mod client;
mod evidence;
mod feed;
mod follow;
mod freshness;
mod health;
mod health_check;
mod journal;
mod page_cursor;
mod register;
mod revision_check;
mod watch_check;

pub use client::{CallError, StoreClient};
pub use evidence::prove_configuration;
pub use feed::{Feed, subscribe as subscribe_to_relay, watch_freshness};
pub(crate) use feed::{MAGIC as FEED_MAGIC, serve_subscriber};
pub use follow::follow;
pub use health::{Source, StoreHealth};
pub use health_check::run as run_health_checks;
pub use journal::Journal;
pub use register::register;
pub use revision_check::read_revisions;

use crate::adapter::Collection;

/// Maximum number of characters of a text from the store that stands in a line of the log.
const MAX_LOGGED_CHARS: usize = 500;

/// Returns the beginning of a text of another writer, which may have any length.
fn shortened(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}

/// Collections (kinds of objects in the store) whose changes every instance receives. The index of a collection in this
/// array is its number in messages between instances.
pub const FOLLOWED_COLLECTIONS: [Collection; 5] = [
    Collection::Instances,
    Collection::Configuration,
    Collection::Servers,
    Collection::Evacuations,
    Collection::Quarantine,
];

//! Reports of availability zones: from one zone to all others, and down each zone's tree.
//!
//! The lowest-ranked live instance of a zone is its aggregator. It sends the zone's digest to the
//! aggregators of its region every second, and one zone for each region sends all of the region's to the
//! other regions every few seconds. Whoever receives a newer digest passes it down a tree of its zone.
//! Two aggregators by mistake cost messages and do no harm: only a higher sequence replaces a digest.
//!
//! What a digest says is up to the caller; it travels as the type parameter.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_membership::digest;
//!
//! let exchange = digest::DigestExchange::<u32>::new(digest::DigestSettings::default());
//! assert_eq!(exchange.digests(time::TimeMs::ZERO).count(), 0);
//! ```

mod book;
mod exchange;
mod message;
mod settings;
mod topology;

pub use book::{DigestView, Taken};
pub use exchange::{DigestExchange, DigestSend};
pub use message::{Digest, DigestBundle};
pub use settings::DigestSettings;
pub use topology::{Topology, ZoneContacts};

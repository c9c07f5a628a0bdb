//! Exchange of digests: reports, one per availability zone, that reach the instances of all zones.
//!
//! The first instance in a zone's [ranking](crate::ownership::ranking) is the zone's aggregator. Every
//! second an aggregator sends the digest of its zone to the aggregators of the other zones in its
//! region. Every few seconds one zone per region sends all digests of the region to the other regions.
//! An instance that receives a newer digest forwards it along a tree of the instances in its zone. If
//! two instances of one zone act as aggregators by mistake, the only cost is additional messages,
//! because a stored digest is replaced only by one with a higher sequence number.
//!
//! The body of a digest is a type parameter, chosen by the caller.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_membership::digest;
//!
//! let exchange = digest::DigestExchange::<u32>::new(digest::DigestSettings::default());
//! assert_eq!(exchange.digests(time::TimeMs::ZERO).count(), 0);
//! ```

mod exchange;
mod message;
mod settings;
mod table;
mod topology;

pub use exchange::{DigestExchange, DigestSend};
pub use message::{Digest, DigestBundle};
pub use settings::DigestSettings;
pub use table::{DigestView, InsertOutcome};
pub use topology::{Topology, ZoneContacts};

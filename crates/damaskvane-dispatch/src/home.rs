//! At-most-once dispatch without a store on the request path: the table of idempotency keys.
//!
//! By an idempotency key, a client names one request across its attempts. The client names one *home*, an
//! instance and its incarnation (one start or renewal), on every attempt with a key. Only the home dispatches
//! the key, that is, sends its request to a backend server, and only once; other instances forward to the home.
//! A restart loses the table and changes the incarnation: the restarted instance answers *outcome unknown* for
//! the keys of earlier incarnations and never runs them again. A planned stop first hands the table over to one
//! successor.
//!
//! After *not run*, a later attempt may run the key. If attempts are numbered, *not run* also covers
//! the earlier attempts: one that was delayed in the network is not run when it arrives.
//!
//! A finished outcome is retained for a window. Afterwards the table stores an eight-byte tombstone for the key
//! and answers *outcome unknown*; without the tombstone, a late attempt would look like a new key and run a
//! second time. Tombstones are retained until the incarnation ends. An instance whose tombstones fill up takes
//! a new incarnation ([`HomeTable::renew`]). The previous incarnation accepts new keys for a short time and
//! retains its tombstones until the end of that time; older incarnations need no tombstones, since they accept
//! no new keys.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{fingerprint, home};
//!
//! let own_home: home::Home = "sask-a-1/3".parse()?;
//! let mut table: home::HomeTable<Vec<u8>> =
//!     home::HomeTable::new(own_home.clone(), home::HomeSettings::default());
//! let body = fingerprint::Fingerprint::of(&"rider-desk".parse()?, "POST", "/book", b"meals");
//! let attempt = home::Attempt {
//!     key: "booking-1".parse()?,
//!     home: own_home,
//!     fingerprint: body,
//!     try_number: 1,
//!     time_left: time::SpanMs::new(2_000),
//! };
//! let now = time::TimeMs::ZERO;
//! assert!(matches!(table.begin(now, &attempt), home::BeginDecision::Dispatch(_)));
//! assert!(matches!(table.begin(now, &attempt), home::BeginDecision::Join(_)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod attempt;
mod begin;
mod closed_table;
mod error;
mod expiry;
mod handover;
mod key_owner;
mod name;
mod permit;
mod record;
mod records;
mod renewal;
mod response_size;
mod routes;
mod scope;
mod settings;
mod snapshot;
mod superseded;
mod table;
mod taken_over;
mod tombstones;
mod transfer;

pub use attempt::Attempt;
pub use begin::{BeginDecision, FinishedKey};
pub use error::HandoverError;
pub use handover::{HandoverPart, HandoverRecord, HandoverState};
pub use name::{Home, ParseHomeError};
pub use permit::{DispatchPermit, WaiterId};
pub use response_size::ResponseSize;
pub use scope::Scope;
pub use settings::HomeSettings;
pub use superseded::SupersededAttempts;
pub use table::HomeTable;

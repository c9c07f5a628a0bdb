//! At most once without a store on the path: the table of idempotency keys at their home.
//!
//! A client names one *home*, an instance and its incarnation, on every try of a key. Only that
//! home dispatches the key, and it does so once; other instances forward to it. Memory is lost in a
//! restart, and a restarted home has another incarnation: it answers *outcome unknown* for the keys of
//! its predecessor, never a second run. A planned stop surrenders the table to one successor first.
//!
//! *Not run* gives a key back: a later try may run it. With numbered tries the answer holds for the past
//! too, since a try that was delayed behind it in the network is not run any more.
//!
//! A finished outcome is kept for a window. After it a key leaves eight bytes, a tombstone, and is
//! answered with *outcome unknown*: were it forgotten, a late try would look like a new key and run
//! a second time. Tombstones last as long as the incarnation; an instance whose tombstones fill up
//! takes a new incarnation ([`HomeTable::renew`]). The one before takes new keys for a short while more
//! and keeps its tombstones for it; older ones need none, since they take no new keys.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{fingerprint, home};
//!
//! let me: home::Home = "sask-a-1/3".parse()?;
//! let mut table: home::HomeTable<Vec<u8>> =
//!     home::HomeTable::new(me.clone(), home::HomeSettings::default());
//! let body = fingerprint::Fingerprint::of(&"rider-desk".parse()?, "POST", "/book", b"meals");
//! let attempt = home::Attempt {
//!     key: "booking-1".parse()?,
//!     home: me,
//!     fingerprint: body,
//!     try_number: 1,
//!     time_left: time::SpanMs::new(2_000),
//! };
//! let now = time::TimeMs::ZERO;
//! assert!(matches!(table.begin(now, &attempt), home::BeginDecision::Dispatch(_)));
//! assert!(matches!(table.begin(now, &attempt), home::BeginDecision::Join(_)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod adopted;
mod attempt;
mod begin;
mod error;
mod expiry;
mod handover;
mod name;
mod parts;
mod permit;
mod place;
mod record;
mod records;
mod renewal;
mod response_size;
mod routes;
mod scope;
mod settings;
mod superseded;
mod surrender;
mod table;
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
pub use superseded::Barred;
pub use table::HomeTable;

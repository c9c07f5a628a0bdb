//! Requests that crash what runs them.
//!
//! When a backend server's connection dies, every request in flight on it is a suspect, and just one of
//! them may be guilty. An incident is one such death. A request is quarantined once it was in two
//! incidents, on whichever backend servers, with no completed run after the first; suspects run one
//! at a time ([`QuarantineDecision::RunAlone`]), so that the second incident blames no neighbour. A completed run
//! clears a suspect. Notices of incidents go to every instance of the region, and merging them is
//! idempotent, since each incident has its own name.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{fingerprint, quarantine};
//!
//! let now = time::TimeMs::ZERO;
//! let mut list = quarantine::Quarantine::new(quarantine::QuarantineSettings::default());
//! let request = fingerprint::Fingerprint::of(&"desk".parse()?, "GET", "/bad", b"");
//! for (serial, server) in ["desk-1", "desk-2"].into_iter().enumerate() {
//!     list.record_incident(now, &quarantine::Incident {
//!         id: quarantine::IncidentId { reporter: "a/1".parse()?, serial: serial as u64 },
//!         server: server.parse()?,
//!         suspects: vec![request],
//!         age: time::SpanMs::ZERO,
//!     });
//! }
//! assert!(matches!(list.decide(now, request), quarantine::QuarantineDecision::Refuse { .. }));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod broken;
mod incident;
mod list;
mod settings;
mod suspect;
mod verdict;

pub use broken::BrokenExchanges;
pub use incident::{Incident, IncidentId};
pub use list::Quarantine;
pub use settings::QuarantineSettings;
pub use verdict::{QuarantineDecision, QuarantineEntry};

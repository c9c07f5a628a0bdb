//! The quarantine of requests that crash backend servers.
//!
//! An incident is one crash of a backend server. Every request in flight on the server's connections
//! becomes a suspect, although only one of them may have caused the crash. A request is quarantined after
//! two incidents, on any backend servers, with no completed run after the first. A request may also be suspected
//! whoever sends it ([`Scope::AnyCaller`]); crashes at the same moment then count once. Suspects run one at a
//! time ([`QuarantineDecision::RunAlone`]), so that a second incident has no other suspects. A completed
//! run clears a suspect. After two crashes of a request of any caller, one copy of it runs in the fleet at a time, as a
//! trial ([`Quarantine::decide_copy`]). Reports of incidents go to every instance of the region. Merging them is
//! idempotent, since each incident has an id of its own.
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
mod completions;
mod copy;
mod decision;
mod incident;
mod list;
mod scope;
mod settings;
mod suspect;
mod trial;
mod turn;

pub use broken::BrokenExchanges;
pub use copy::{CopyDecision, CopyId};
pub use decision::{QuarantineDecision, QuarantineEntry};
pub use incident::{Incident, IncidentId};
pub use list::Quarantine;
pub use scope::{RequestIdentity, Scope};
pub use settings::QuarantineSettings;

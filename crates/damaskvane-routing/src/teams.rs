//! Teams: the callers to whom API keys belong, with their priorities, quotas and regions.
//!
//! A request names its team by an API key. Only digests of keys are kept, so that no message, log line or counter can
//! show a key.
//!
//! ```
//! use damaskvane_routing::teams;
//!
//! let digest = teams::KeyDigest::of_key(b"a key");
//! assert!(!format!("{digest:?}").contains("a key"));
//! ```

mod directory;
mod evidence;
mod fault;
mod key_digest;
mod key_table;
mod name;
mod quota;
mod revocation;
mod team;

pub use directory::Teams;
pub use evidence::{ConfigEvidence, EvidenceTracker};
pub use fault::TeamsFault;
pub use key_digest::{KeyDigest, ParseDigestError};
pub use key_table::KeyTable;
pub use name::{ParseNameError, TeamName};
pub use quota::Quota;
pub use revocation::RevocationBound;
pub use team::{Team, TeamKey};

//! States of an instance, and proofs that an instance is gone.
//!
//! An instance is silent if no heartbeats arrive from it. Silence proves nothing: a paused process, a
//! broken connection and a crashed machine are equally silent. Silence alone therefore excludes an
//! instance only from lookup responses, which name instances to clients; the instance remains the owner
//! of its backend servers. They pass to another instance only by proof that the owner is gone.
//!
//! ```
//! use damaskvane_membership::state;
//!
//! assert!(state::InstanceState::Live.takes_new_work());
//! assert!(!state::InstanceState::Leaving.takes_new_work());
//! ```

use core::fmt;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

/// State of an instance as seen by another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Sent a heartbeat recently; or is on the platform's list, if it has not had time to send a
    /// heartbeat or sends none to this instance.
    Live,
    /// Silent for longer than expected. An instance that exchanges no heartbeats with this one is
    /// suspect if it is no longer on the platform's list.
    Suspect,
    /// Alive and about to stop as planned.
    Leaving,
    /// Silent for so long that it gets no new work; the process may still run.
    Dead,
    /// Proven to have stopped, or to have lost the right to own backend servers.
    Gone,
}

impl InstanceState {
    /// Returns whether a lookup response may name the instance.
    #[must_use]
    pub const fn takes_new_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }

    /// Returns the label for the status page and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
            Self::Gone => "gone",
        }
    }
}

impl fmt::Display for InstanceState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Proof that one incarnation (start of the process) of an instance is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneProof {
    /// The machine refused the connection: no process listens at the instance's address.
    Refused,
    /// The platform's list no longer contains the instance, or marks it as fenced: another instance has
    /// revoked its right to own backend servers.
    Delisted,
    /// This instance marked the gone instance's entry at the platform as fenced.
    Fenced,
}

/// One incarnation of an instance that is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone {
    /// The incarnation that is gone; a later incarnation of the instance may be running.
    pub incarnation: ids::Incarnation,
    /// Proof that the incarnation is gone.
    pub proof: GoneProof,
    /// Time from which the incarnation certainly acts no more as an owner; may lie in the future.
    pub from: time::TimeMs,
    /// Whether the process is proven to have ended, and not only to have lost its right to own servers.
    pub has_ended: bool,
}

//! States of an instance, and proofs that an instance is gone.
//!
//! Silence proves nothing: a paused process, a broken connection and a dead machine are equally silent.
//! Silence alone therefore excludes an instance from lookup responses, but the instance remains the
//! owner of what it owns. Ownership passes to another instance only by proof.
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
    /// Sent a heartbeat recently, or is trusted because it is listed.
    Live,
    /// Silent for longer than expected; or no longer listed, if it is not a neighbour.
    Suspect,
    /// Alive and about to stop.
    Leaving,
    /// Silent for so long that it gets no new work; the process may still run.
    Dead,
    /// Proven to have stopped, or to have lost all that it owned.
    Gone,
}

impl InstanceState {
    /// Returns whether a lookup response may name the instance.
    #[must_use]
    pub const fn takes_new_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }

    /// Returns the label for status and metrics.
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

/// Proof that one incarnation of an instance is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneProof {
    /// The machine refused the connection: no process listens at the instance's address.
    Refused,
    /// The platform's list no longer contains the instance, or contains it as fenced.
    Delisted,
    /// This instance marked the instance's entry at the platform as fenced.
    Fenced,
}

/// One incarnation of an instance that is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone {
    /// The incarnation that is gone; a later one is not.
    pub incarnation: ids::Incarnation,
    /// Proof that the incarnation is gone.
    pub proof: GoneProof,
    /// Time from which the incarnation certainly does nothing more; may lie in the future.
    pub from: time::TimeMs,
}

//! The states of an instance, and what proves that one is gone.
//!
//! Silence proves nothing: a paused process, a broken connection and a dead machine are equally silent.
//! Silence alone therefore takes an instance out of look-up answers, but what it owns stays its own.
//! That passes on only by proof.
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

/// How an instance stands in the view of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Heard of lately, or trusted by the list.
    Live,
    /// Silent for longer than it should be.
    Suspect,
    /// Alive and about to stop.
    Leaving,
    /// Silent for so long that it gets no work; it may still run.
    Dead,
    /// Proven to run no more, or to have lost all that it owned.
    Gone,
}

impl InstanceState {
    /// Whether a look-up answer may name the instance.
    #[must_use]
    pub const fn takes_new_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }

    /// The word for status and metrics.
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

/// What proves that one start of an instance is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneProof {
    /// Its machine answers that nothing listens at its address.
    Refused,
    /// The platform's list shows it no more, or shows it as fenced.
    Delisted,
    /// This instance marked its object at the platform.
    Fenced,
}

/// One start of an instance that is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gone {
    /// Which start it was; a later one is not gone.
    pub incarnation: ids::Incarnation,
    /// The proof.
    pub proof: GoneProof,
    /// From when on it surely does nothing more; it may lie ahead.
    pub from: time::TimeMs,
}

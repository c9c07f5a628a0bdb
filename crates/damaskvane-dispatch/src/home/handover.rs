//! What a leaving instance hands to its successor.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::home;
//!
//! let state: home::HandoverState<Vec<u8>> =
//!     home::HandoverState::Running { time_left: time::SpanMs::new(5) };
//! assert!(matches!(state, home::HandoverState::Running { .. }));
//! ```

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

use crate::fingerprint;
use crate::home::{name, scope, superseded};
use crate::outcome;

/// One message of a handover. All parts together are the whole table; each may arrive twice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HandoverPart<A> {
    /// The home that leaves.
    pub from: name::Home,
    /// The one instance that may dispatch the departed homes' keys from now on.
    pub successor: name::Home,
    /// Which part this is, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The departed homes: the leaving one and those it had adopted itself, with their tombstones.
    pub homes: Vec<(name::Home, Vec<u64>)>,
    /// The keys with an outcome or still running.
    pub records: Vec<HandoverRecord<A>>,
    /// Keys whose tries up to a number must not run.
    pub superseded: Vec<(scope::Scope, superseded::Barred)>,
}

/// One key of a handover.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HandoverRecord<A> {
    /// The key at its home.
    pub scope: scope::Scope,
    /// The incarnation that took the key.
    pub incarnation: ids::Incarnation,
    /// What the key is bound to.
    pub fingerprint: fingerprint::Fingerprint,
    /// The highest try that has been seen.
    pub highest_try: u32,
    /// What is known of the key.
    pub state: HandoverState<A>,
}

/// What is known of a handed key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum HandoverState<A> {
    /// It runs at the predecessor, which sends the outcome when it is there.
    Running {
        /// The time left until the outcome is given up.
        time_left: time::SpanMs,
    },
    /// It has an outcome. *Not run* gives the key back: the successor may dispatch it.
    Done {
        /// The outcome.
        outcome: outcome::Outcome<A>,
        /// The time left for which it is kept.
        time_left: time::SpanMs,
    },
}

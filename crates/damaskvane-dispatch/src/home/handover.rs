//! Messages with which a leaving instance hands its key table to its successor.
//!
//! A home is an instance and its incarnation (one start or renewal). A tombstone is the digest of a key whose
//! outcome is no longer retained.
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

/// One message of a handover. All parts together are the complete table; each may arrive twice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HandoverPart<A> {
    /// The home of the leaving instance.
    pub from: name::Home,
    /// The only home that may dispatch the keys of `homes` from now on.
    pub successor: name::Home,
    /// The number of this part, from 0.
    pub part: u32,
    /// The number of parts of the handover.
    pub parts: u32,
    /// The leaving home and the departed homes that it had taken over, each with its tombstones.
    pub homes: Vec<(name::Home, Vec<u64>)>,
    /// Keys that have an outcome or are running.
    pub records: Vec<HandoverRecord<A>>,
    /// Keys of which the attempts up to a given number must not run, since a later one was answered with *not
    /// run*.
    pub superseded: Vec<(scope::Scope, superseded::SupersededAttempts)>,
}

/// One key of a handover.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HandoverRecord<A> {
    /// The key and its home instance.
    pub scope: scope::Scope,
    /// The incarnation of the home instance that accepted the key.
    pub incarnation: ids::Incarnation,
    /// The fingerprint of the request that the key is bound to.
    pub fingerprint: fingerprint::Fingerprint,
    /// The highest attempt number received for the key.
    pub highest_try: u32,
    /// Whether the key is running or has an outcome.
    pub state: HandoverState<A>,
}

/// The state of a key in a handover.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum HandoverState<A> {
    /// A backend server runs the key's request for the leaving instance, which sends the outcome to the
    /// successor once the run ends.
    Running {
        /// The remaining time after which the key is abandoned and its outcome is *unknown*.
        time_left: time::SpanMs,
    },
    /// The key has an outcome. After *not run*, the successor may dispatch the key.
    Done {
        /// The outcome that the key's later attempts receive.
        outcome: outcome::Outcome<A>,
        /// The remaining time for which the outcome is retained.
        time_left: time::SpanMs,
    },
}

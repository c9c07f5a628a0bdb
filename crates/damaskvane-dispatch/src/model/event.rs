//! What happens in the model, each at its time.

use crate::home;
use crate::outcome;
use crate::retry;

/// One try of a client on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Try {
    pub(super) client: u64,
    pub(super) number: u32,
    pub(super) has_other_body: bool,
}

#[derive(Debug)]
pub(super) enum Event {
    /// A client sends its next try, unless an answer came since try `after`.
    Send {
        client: u64,
        after: u32,
    },
    /// A try reaches an instance, from a client or forwarded.
    Arrive {
        at: usize,
        trial: Try,
        hops: u32,
    },
    /// What was sent reaches a backend server.
    Run {
        flight: u64,
    },
    /// The exchange with the backend server ends, well or with a failure.
    Back {
        flight: u64,
        failure: Option<retry::RetryReason>,
    },
    /// A client hears an answer.
    Hear {
        client: u64,
        number: u32,
        outcome: outcome::Outcome<u64>,
    },
    Part {
        to: home::Home,
        part: Box<home::HandoverPart<u64>>,
    },
    Amendment {
        to: home::Home,
        record: Box<home::HandoverRecord<u64>>,
    },
    /// An instance hears who answers for a departed home.
    Learn {
        at: usize,
        departed: home::Home,
        successor: home::Home,
    },
    /// A leaving instance ends and starts anew.
    Restart {
        at: usize,
    },
    Fault,
    Tick,
}

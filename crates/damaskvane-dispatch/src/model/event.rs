//! The events of the model, each scheduled for a time.
//!
//! A home is an instance and its incarnation (one start or renewal). A departed home has handed its key table
//! over to a successor.

use crate::home;
use crate::outcome;
use crate::retry;

/// One attempt of a client's request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClientTry {
    pub(super) client: u64,
    pub(super) number: u32,
    pub(super) has_other_body: bool,
}

#[derive(Debug)]
pub(super) enum Event {
    /// A client sends its next attempt, unless the client is done or its latest attempt is not number `after`.
    Send {
        client: u64,
        after: u32,
    },
    /// An attempt arrives at the instance of index `at`, from a client or forwarded by another instance.
    Arrive {
        at: usize,
        client_try: ClientTry,
        hops: u32,
    },
    /// The request of an exchange arrives at a backend server.
    Run {
        id: u64,
    },
    /// The exchange with the backend server ends, with a response or a failure.
    ExchangeEnd {
        id: u64,
        failure: Option<retry::RetryReason>,
    },
    /// A client receives an answer.
    ReceiveAnswer {
        client: u64,
        number: u32,
        outcome: outcome::Outcome<u64>,
    },
    HandoverPart {
        to: home::Home,
        part: Box<home::HandoverPart<u64>>,
    },
    Amendment {
        to: home::Home,
        record: Box<home::HandoverRecord<u64>>,
    },
    /// An instance learns which home is the successor of a departed home.
    LearnSuccessor {
        at: usize,
        departed: home::Home,
        successor: home::Home,
    },
    /// An instance that has handed its key table over exits and starts again.
    Restart {
        at: usize,
    },
    Fault,
    Tick,
}

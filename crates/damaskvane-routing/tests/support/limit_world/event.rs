//! What happens in the model, and when.

use std::cmp::Ordering;

use damaskvane_routing::limit::RequestRate;

/// Something that happens at one moment.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A caller's request comes to an instance.
    Call { at: usize },
    /// A request arrives at the server.
    Arrive {
        from: usize,
        sent_ms: u64,
        incarnation: u64,
    },
    /// The server's response arrives at an instance.
    Respond {
        to: usize,
        sent_ms: u64,
        incarnation: u64,
        rate: Option<RequestRate>,
    },
    /// A request for a token arrives at a holder.
    Ask {
        from: usize,
        to: usize,
        id: u64,
        is_relayed: bool,
    },
    /// A holder's reply arrives; `wait_ms` is 0 with a token.
    Reply {
        to: usize,
        from: usize,
        id: u64,
        wait_ms: u64,
    },
    /// An instance waits no longer for a reply.
    AskTimeout { at: usize, id: u64 },
    /// A request for another holder's share arrives.
    AskLease {
        from: usize,
        to: usize,
        asked_ms: u64,
        incarnation: u64,
    },
    /// The share of another holder arrives.
    Lease {
        to: usize,
        from: usize,
        asked_ms: u64,
        incarnation: u64,
        tokens: f64,
    },
    /// A request for tokens of another pool arrives.
    Borrow {
        from: usize,
        to: usize,
        round: u64,
        tokens: f64,
    },
    /// Tokens of another pool arrive.
    Loan { to: usize, round: u64, tokens: f64 },
    /// A round of borrowing ends.
    RoundEnd { at: usize, round: u64 },
    /// An instance reports the server's limit, unless another one has.
    Announce { from: usize, incarnation: u64 },
    /// A report of the server's limit arrives; the request whose response named it was sent this long before.
    Report {
        to: usize,
        rate: Option<RequestRate>,
        age_ms: u64,
    },
    /// An instance sends heartbeats.
    Heartbeat { from: usize },
    /// The server names another limit, or none.
    Name { rate: Option<RequestRate> },
    /// An instance starts again.
    Restart { at: usize },
    /// An instance is cut off from the others, or is connected again.
    Cut { at: usize, group: u8 },
}

/// An event with its time; the order of insertion decides between events of one moment.
#[derive(Debug, Clone, Copy)]
pub struct Due {
    pub at_ms: u64,
    pub serial: u64,
    pub event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// Earlier events are greater, as the standard heap returns the greatest one.
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |due: &Self| (due.at_ms, due.serial);
        key(other).cmp(&key(self))
    }
}

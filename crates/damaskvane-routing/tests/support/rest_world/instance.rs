//! An instance: what it knows, and how it places requests.

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::placement::{Choice, Placer};
use damaskvane_routing::pool::ServerPool;

/// What becomes of a server's wish for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Design {
    /// Nobody reads it: a rejection counts as a failure.
    Ignored,
    /// The instance that was answered keeps to it.
    Own,
    /// All instances keep to it.
    Shared,
    /// The instance that was answered keeps to it, and the others use the server only where no other serves.
    Hinted,
    /// All instances together send one request in the time of a rest, as by tokens of a limit.
    Tokens,
}

/// One instance of the fleet.
pub struct Instance {
    pub pool: ServerPool,
    pub placer: Placer,
    pub incarnation: u32,
    /// When the process has started; it is told what servers have said in its first moments.
    pub started_at: TimeMs,
}

/// Tokens that all instances share, of a server that has asked for rest.
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedTokens {
    until: TimeMs,
    next_at: TimeMs,
    interval: SpanMs,
}

impl SharedTokens {
    pub fn record_rest(&mut self, now: TimeMs, rest: SpanMs) {
        if now >= self.until {
            self.next_at = now + rest;
        }
        self.until = self.until.max(now + rest);
        self.interval = rest;
    }

    /// Takes a token; returns whether there was one, or none is needed.
    pub fn take(&mut self, now: TimeMs) -> bool {
        if now >= self.until {
            return true;
        }
        if now < self.next_at {
            return false;
        }
        self.next_at = now + self.interval;
        true
    }
}

/// Returns the index of a server by its name in the world.
pub fn server_index(choice: &Choice) -> Option<usize> {
    let Choice::Send(pick) = choice else {
        return None;
    };
    pick.server.as_str().rsplit('-').next()?.parse().ok()
}

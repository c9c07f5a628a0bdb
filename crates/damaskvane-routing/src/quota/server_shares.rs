//! The shares of servers' tokens that one instance holds.

use std::collections::HashMap;

use damaskvane_core::time::TimeMs;

use crate::pool::ServerKey;
use crate::quota::{LEASE, ServerShare};

/// Number of shares above which those that were not used lately are removed.
const MAX_IDLE_SHARES: usize = 1_024;
/// Time without use after which a share may be removed, in milliseconds: one that is created anew begins empty.
const IDLE_MS: u64 = 60_000;

/// The shares that this instance holds, one for each server whose tokens it was asked for.
#[derive(Debug, Clone)]
pub struct ServerShares {
    earns_from: TimeMs,
    shares: HashMap<ServerKey, ServerShare>,
}

impl ServerShares {
    /// Returns the shares of a process that starts at `now`. An earlier process of the instance may have lent them.
    #[must_use]
    pub fn new(now: TimeMs) -> Self {
        Self {
            earns_from: now + LEASE,
            shares: HashMap::new(),
        }
    }

    /// Lets the shares earn nothing before a point in time; those that exist are emptied.
    pub fn earn_from(&mut self, from: TimeMs) {
        self.earns_from = from;
        self.shares.clear();
    }

    /// Returns the share of a server.
    ///
    /// A share that this instance has not held before begins empty at its first use: another instance may have held it
    /// until now.
    pub fn share(&mut self, now: TimeMs, server: ServerKey) -> &mut ServerShare {
        if self.shares.len() >= MAX_IDLE_SHARES {
            self.shares.retain(|_, share| share.idle_ms(now) < IDLE_MS);
        }
        let earns_from = self.earns_from;
        let share = self.shares.entry(server);
        share.or_insert_with(|| ServerShare::new(now, earns_from))
    }
}

//! One instance of the model.

use std::collections::HashMap;

use damaskvane_core::time::TimeMs;
use damaskvane_routing::pool::ServerLimit;
use damaskvane_routing::quota::{LEASE, ServerShare, TokenPool};

/// A request that waits for a token of a holder.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    pub started_ms: u64,
    pub tried: Vec<usize>,
    pub waits_for: usize,
}

/// Whom a token is for that a pool waits for.
#[derive(Debug, Clone, Copy)]
pub enum Waiter {
    /// A request of this instance.
    Own { started_ms: u64 },
    /// A request of another instance.
    Other { from: usize, id: u64 },
}

/// A round of borrowing.
#[derive(Debug, Clone)]
pub struct Round {
    pub id: u64,
    pub reserved: f64,
    pub received: f64,
    pub outstanding: usize,
    pub waiters: Vec<Waiter>,
}

#[derive(Debug, Clone)]
pub struct Instance {
    pub incarnation: u64,
    pub zone: usize,
    /// Instances of different groups don't hear each other.
    pub group: u8,
    pub limit: ServerLimit,
    pub pool: Option<TokenPool>,
    pub share: ServerShare,
    pub round: Option<Round>,
    pub next_round_ms: u64,
    pub asks: HashMap<u64, Ask>,
    pub unresponsive: HashMap<usize, u64>,
    /// When a heartbeat of each instance was received.
    pub heard_ms: Vec<u64>,
    /// When this instance passed on the first response with a limit.
    pub told_ms: Option<u64>,
}

impl Instance {
    pub fn new(incarnation: u64, zone: usize, instances: usize, now_ms: u64) -> Self {
        Self {
            incarnation,
            zone,
            group: 0,
            limit: ServerLimit::unknown(TimeMs::ZERO),
            pool: None,
            share: ServerShare::new(TimeMs::new(now_ms), starts_with_lease(incarnation, now_ms)),
            round: None,
            next_round_ms: 0,
            asks: HashMap::new(),
            unresponsive: HashMap::new(),
            heard_ms: vec![now_ms; instances],
            told_ms: None,
        }
    }
}

/// Returns from when on the share of a process earns: an earlier process may have lent it.
fn starts_with_lease(incarnation: u64, now_ms: u64) -> TimeMs {
    let now = TimeMs::new(now_ms);
    if incarnation == 0 { now } else { now + LEASE }
}

//! Tokens of teams' quotas: takes them from the pools of this and other instances, and serves those that this instance
//! holds.
//!
//! `damaskvane_routing::quota` decides; this module sends the messages and waits for the replies. A token that a lost
//! or late message carries is lost.

mod client;
mod lending;
mod round;
mod service;
mod token;

pub use client::{QuotaRefusal, acquire, give_back};
pub use service::{handle_message, pool_state};
pub use token::{QuotaMessage, QuotaReply, QuotaRequest, Token, TokenUse};

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{HolderTable, QuotaSettings, TokenPools};
use damaskvane_routing::teams::TeamKey;
use tokio::sync::oneshot;

use crate::quota::round::Round;

/// The pools of this instance, and its pending requests for tokens of other instances.
#[derive(Debug)]
pub struct Quotas {
    /// Pools that this instance holds.
    pub pools: RefCell<TokenPools>,
    /// Which instance holds the pools of each zone.
    pub holders: RefCell<Rc<HolderTable>>,
    last_id: Cell<u32>,
    pending: RefCell<HashMap<u32, oneshot::Sender<QuotaReply>>>,
    /// Instances that didn't reply in time, each with the time until which they are not asked again.
    unresponsive: RefCell<HashMap<ids::InstanceId, TimeMs>>,
    rounds: RefCell<HashMap<TeamKey, Rc<Round>>>,
}

impl Quotas {
    /// Creates empty pools that earn tokens from the start of the clock on.
    #[must_use]
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            pools: RefCell::new(TokenPools::new(settings, TimeMs::ZERO)),
            holders: RefCell::default(),
            // A late reply to an earlier process must not pass for a reply to this one.
            last_id: Cell::new(rand::random()),
            pending: RefCell::default(),
            unresponsive: RefCell::default(),
            rounds: RefCell::default(),
        }
    }

    fn next_id(&self) -> u32 {
        let id = self.last_id.get().wrapping_add(1);
        self.last_id.set(id);
        id
    }
}

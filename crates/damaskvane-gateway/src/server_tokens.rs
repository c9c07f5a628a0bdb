//! State of the tokens that this instance holds and asks for.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::pool::ServerKey;
use damaskvane_routing::quota::ServerShares;
use tokio::sync::oneshot;

use crate::messages::TokenOutcome;

/// The permission to send one request to a server with a limit, for a short time.
#[derive(Debug, Clone)]
pub(crate) struct Token {
    pub(crate) server: ServerKey,
    /// Instance that has granted the token.
    pub(crate) holder: ids::InstanceId,
    /// Time at which the token expires, on this instance's clock that also runs while the machine is suspended.
    pub(crate) expires_at: TimeMs,
}

/// The shares that this instance holds, and its requests for tokens of others.
#[derive(Debug)]
pub(crate) struct ServerTokens {
    pub(crate) shares: RefCell<ServerShares>,
    pub(crate) pending: RefCell<HashMap<u32, oneshot::Sender<TokenOutcome>>>,
    /// Instances that didn't reply in time, each with the time until which they are not asked again.
    pub(crate) unresponsive: RefCell<HashMap<ids::InstanceId, TimeMs>>,
    last_id: Cell<u32>,
}

impl Default for ServerTokens {
    fn default() -> Self {
        Self {
            shares: RefCell::new(ServerShares::new(TimeMs::ZERO)),
            pending: RefCell::default(),
            unresponsive: RefCell::default(),
            // A late reply to an earlier process must not pass for a reply to this one.
            last_id: Cell::new(rand::random()),
        }
    }
}

impl ServerTokens {
    pub(crate) fn next_id(&self) -> u32 {
        let id = self.last_id.get().wrapping_add(1);
        self.last_id.set(id);
        id
    }
}

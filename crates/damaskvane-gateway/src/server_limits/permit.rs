//! The permission to send one request to a server that limits the rate of its requests.

use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::pool::ServerKey;
use rand::RngExt;

use crate::node::Node;
use crate::server_limits::asking::{self, TokenRefusal};
use crate::server_limits::tokens::Token;

/// Time for which a server gets no request after no holder of its tokens has replied, in milliseconds.
const UNREACHABLE_MS: u64 = 250;

/// A refusal: the server gets no further request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoToken;

/// The permission to send one request to a server; holds a token if the server has a limit.
///
/// A token that is not used returns to its pool when this value is dropped.
pub(crate) struct SendPermit {
    node: Rc<Node>,
    server: ids::BackendServerId,
    priority: u32,
    token: RefCell<Option<Token>>,
}

impl core::fmt::Debug for SendPermit {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.debug_struct("SendPermit")
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl SendPermit {
    /// Takes a token if the server has a limit.
    ///
    /// # Errors
    ///
    /// Fails if there is no token; the server is then passed over for a while by requests that are no more urgent.
    pub(crate) async fn acquire(
        node: &Rc<Node>,
        server: &ids::BackendServerId,
        priority: u32,
    ) -> Result<Self, NoToken> {
        let permit = Self {
            node: Rc::clone(node),
            server: server.clone(),
            priority,
            token: RefCell::new(None),
        };
        if permit.is_limited() {
            permit.take_token().await?;
        }
        Ok(permit)
    }

    async fn take_token(&self) -> Result<(), NoToken> {
        let server = ServerKey::of(&self.server);
        let (outcome, wait_ms) = match asking::acquire(&self.node, server, self.priority).await {
            Ok(token) => {
                self.token.replace(Some(token));
                ("granted", None)
            }
            Err(TokenRefusal::Used { wait_ms }) => ("refused", Some(wait_ms)),
            Err(TokenRefusal::Unreachable) => ("unreachable", Some(UNREACHABLE_MS)),
        };
        let tokens = &self.node.metrics.limit_tokens;
        tokens.with_label_values(&[outcome]).inc();
        match wait_ms {
            // The limit may have ended while a holder was asked.
            Some(wait_ms) if self.is_limited() => {
                self.pass_over(wait_ms);
                Err(NoToken)
            }
            _ => Ok(()),
        }
    }

    /// Returns the instance that has granted the token; `None` without a token.
    pub(crate) fn granted_by(&self) -> Option<ids::InstanceId> {
        let token = self.token.borrow();
        token.as_ref().map(|token| token.holder.clone())
    }

    /// Uses the permission for a request that is written now; returns whether the request may be written.
    pub(crate) fn redeem(&self) -> bool {
        let may_send = self.may_send();
        if may_send && self.is_limited() {
            self.token.take();
        }
        may_send
    }

    /// Returns whether a request may be sent at this moment: a limit may have been named, or the token may have expired,
    /// while its connection was opened.
    fn may_send(&self) -> bool {
        let now = self.node.continuous_now();
        let token = self.token.borrow();
        let is_usable = token.as_ref().is_some_and(|token| now < token.expires_at);
        is_usable || !self.is_limited()
    }

    fn is_limited(&self) -> bool {
        super::known(&self.node, &self.server).is_some()
    }

    /// Lets placement pass over the server. Instances that were refused together ask again at different times.
    fn pass_over(&self, ms: u64) {
        let spread_ms = rand::rng().random_range(0..=ms / 2);
        let until = self.node.now() + SpanMs::new(ms + spread_ms);
        let mut state = self.node.state.borrow_mut();
        if let Some(mut server) = state.pool.server_mut(&self.server) {
            server
                .availability
                .limit
                .record_refused(until, self.priority);
        }
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            asking::give_back(&self.node, &token);
        }
    }
}

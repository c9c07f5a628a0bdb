//! The permission to send one request to a server: the gate that each way to a server passes.

use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::pool::{ExchangeEnd, ServerKey, Unavailable};
use rand::RngExt;

use crate::node::Node;
use crate::reach;
use crate::server_limits;
use crate::server_limits::asking::{self, TokenRefusal};
use crate::server_statements;
use crate::server_tokens::Token;
use crate::tunnel::Path;

/// Priority of a health probe at a server that limits the rate of its requests.
const MOST_URGENT: u32 = 0;
/// Time for which a server gets no request after no holder of its tokens has replied, in milliseconds.
const UNREACHABLE_MS: u64 = 250;

/// Why a server gets no further request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotAdmitted {
    /// It limits the rate of its requests, and there is no token.
    Limited,
    /// It rests or leaves.
    Unavailable(Unavailable),
}

impl NotAdmitted {
    /// Returns the label for counters.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Limited => "limited",
            Self::Unavailable(reason) => reason.as_str(),
        }
    }

    /// Returns the end of an exchange in which nothing was written for this reason.
    #[must_use]
    pub const fn exchange_end(self) -> ExchangeEnd {
        match self {
            Self::Limited => ExchangeEnd::Limited,
            Self::Unavailable(_) => ExchangeEnd::Unavailable,
        }
    }
}

/// What a server is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A client's request of this priority.
    Request {
        /// Priority of the request; 0 is the most urgent.
        priority: u32,
    },
    /// A health probe. A server that leaves may still be probed: what becomes of its requests depends on whether it lives.
    Probe,
}

/// The permission to send one request to a server that takes requests now; holds a token if the server has a limit.
///
/// A token that is not used returns to its pool when this value is dropped.
pub struct SendPermit {
    node: Rc<Node>,
    server: ids::BackendServerId,
    purpose: Purpose,
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
    /// Checks that the server takes requests, and takes a token if it has a limit.
    ///
    /// # Errors
    ///
    /// Fails if the server rests or leaves, or there is no token; without a token the server is passed over for a while by
    /// requests that are no more urgent.
    pub async fn acquire(
        node: &Rc<Node>,
        server: &ids::BackendServerId,
        purpose: Purpose,
    ) -> Result<Self, NotAdmitted> {
        let permit = Self {
            node: Rc::clone(node),
            server: server.clone(),
            purpose,
            token: RefCell::new(None),
        };
        permit.check_available()?;
        if permit.is_limited() {
            permit.take_token().await?;
        }
        Ok(permit)
    }

    /// Checks that the server neither rests nor leaves.
    fn check_available(&self) -> Result<(), NotAdmitted> {
        let now = self.node.now();
        let known = server_statements::known(&self.node, &self.server);
        let checked = known.map_or(Ok(()), |known| known.check(now));
        match checked {
            Err(Unavailable::Leaving) if self.purpose == Purpose::Probe => Ok(()),
            Err(reason) => Err(self.refuse(NotAdmitted::Unavailable(reason))),
            Ok(()) => Ok(()),
        }
    }

    fn refuse(&self, reason: NotAdmitted) -> NotAdmitted {
        let counter = &self.node.metrics.not_admitted;
        counter.with_label_values(&[reason.as_str()]).inc();
        reason
    }

    const fn priority(&self) -> u32 {
        match self.purpose {
            Purpose::Request { priority } => priority,
            Purpose::Probe => MOST_URGENT,
        }
    }

    async fn take_token(&self) -> Result<(), NotAdmitted> {
        let server = ServerKey::of(&self.server);
        let (outcome, wait_ms) = match asking::acquire(&self.node, server, self.priority()).await {
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
                Err(NotAdmitted::Limited)
            }
            _ => Ok(()),
        }
    }

    /// Returns the instance that has granted the token; `None` without a token.
    #[must_use]
    pub fn granted_by(&self) -> Option<ids::InstanceId> {
        let token = self.token.borrow();
        token.as_ref().map(|token| token.holder.clone())
    }

    /// Uses the permission for a request that is written now on a connection with this path.
    ///
    /// # Errors
    ///
    /// Fails if the request may not be written: while its connection was opened the server may have asked for rest, said
    /// that it leaves, or named a limit, or the token may have expired.
    pub fn redeem(&self, path: &Path) -> Result<(), NotAdmitted> {
        self.check_available()?;
        if reach::rests_on(&self.node, &self.server, path) {
            return Err(self.refuse(NotAdmitted::Unavailable(Unavailable::Resting)));
        }
        if !self.is_limited() {
            return Ok(());
        }
        let now = self.node.continuous_now();
        let token = self.token.take();
        let token = token.filter(|token| now < token.expires_at);
        token
            .map(|_| ())
            .ok_or_else(|| self.refuse(NotAdmitted::Limited))
    }

    fn is_limited(&self) -> bool {
        server_limits::known(&self.node, &self.server).is_some()
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
                .record_refused(until, self.priority());
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

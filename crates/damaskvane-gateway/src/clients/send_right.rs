//! The right to send a request to a backend server: a valid key, a current configuration and a token of the quota.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::teams::Quota;

use crate::clients::caller::Caller;
use crate::node::Node;
use crate::quota::{self, QuotaRefusal, Token};

/// Time after which holders of quotas that are starting are asked again, in milliseconds.
const HOLDERS_START_MS: u64 = 40;

/// Label of requests that were refused since their team has used its quota.
pub(crate) const OVER_QUOTA: &str = "over_quota";

/// Reason why a request may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// The team no longer holds the key.
    KeyRevoked,
    /// This instance can't exclude that the key was revoked, since its configuration may be outdated.
    ConfigurationOutdated,
    /// The team has used its quota.
    OverQuota {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
    /// No instance that holds a part of the team's quota responds.
    QuotaUnknown,
}

impl Withheld {
    /// Returns the label of the reason in logs and counters.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::KeyRevoked => "key_revoked",
            Self::ConfigurationOutdated => "stale_configuration",
            Self::OverQuota { .. } => OVER_QUOTA,
            Self::QuotaUnknown => "quota_unknown",
        }
    }
}

/// What a request needs at the moment at which it is sent.
#[derive(Debug)]
pub(crate) struct SendRight<'a> {
    node: &'a Rc<Node>,
    caller: Option<Caller>,
    /// Priority of the request; 0 is the most urgent.
    priority: u32,
    token: RefCell<Option<Token>>,
    /// How long the request may wait for a token.
    patience: SpanMs,
    /// How long it has waited.
    waited: Cell<SpanMs>,
}

impl<'a> SendRight<'a> {
    /// Creates the right of a request of `caller`, which holds no token yet; `None` for a request without a team.
    pub(super) const fn new(
        node: &'a Rc<Node>,
        caller: Option<Caller>,
        priority: u32,
        patience: SpanMs,
    ) -> Self {
        Self {
            node,
            caller,
            priority,
            token: RefCell::new(None),
            patience,
            waited: Cell::new(SpanMs::new(0)),
        }
    }

    /// Returns the team and key of the request.
    pub(crate) const fn caller(&self) -> Option<&Caller> {
        self.caller.as_ref()
    }

    /// Checks the key, and takes a token unless the request holds one that it can still use.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be sent.
    pub(crate) async fn acquire(&self) -> Result<(), Withheld> {
        let Some(caller) = &self.caller else {
            return Ok(());
        };
        check_key(self.node, caller)?;
        let Some(quota) = caller.team.quota else {
            return Ok(());
        };
        if self.has_usable_token() {
            return Ok(());
        }
        let token = self.take_token(caller, quota).await?;
        self.token.replace(Some(token));
        Ok(())
    }

    /// Takes a token, and waits for one if it will be there soon: a team within its quota may have sent a few requests at
    /// the same moment, or its pools may have just begun to fill.
    async fn take_token(&self, caller: &Caller, quota: Quota) -> Result<Token, Withheld> {
        loop {
            let acquired = quota::acquire(self.node, caller.team.key(), quota, self.priority).await;
            let (withheld, wait_ms) = match acquired {
                Ok(token) => return Ok(token),
                Err(QuotaRefusal::Used { retry_after_ms }) => {
                    (Withheld::OverQuota { retry_after_ms }, retry_after_ms)
                }
                Err(QuotaRefusal::Unreachable) if self.node.is_starting_up() => {
                    (Withheld::QuotaUnknown, HOLDERS_START_MS)
                }
                Err(QuotaRefusal::Unreachable) => return Err(Withheld::QuotaUnknown),
            };
            let waited = SpanMs::new(self.waited.get().get() + wait_ms);
            if waited > self.patience {
                return Err(withheld);
            }
            self.waited.set(waited);
            tokio::time::sleep(SpanMs::new(wait_ms).to_duration()).await;
        }
    }

    /// Checks at the moment of sending that the request may be sent, and uses its token up.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be sent.
    pub(crate) async fn redeem(&self) -> Result<Option<Token>, Withheld> {
        self.acquire().await?;
        // The wait for a token may have been long: a process can be stopped at any point.
        if let Some(caller) = &self.caller {
            check_key(self.node, caller)?;
        }
        Ok(self.token.take())
    }

    /// Keeps the token of an exchange which proved that the request was not run.
    pub(crate) fn restore(&self, token: Option<Token>) {
        if let Some(token) = token {
            self.token.replace(Some(token));
        }
    }

    fn has_usable_token(&self) -> bool {
        let now = self.node.continuous_now();
        let token = self.token.borrow();
        token.as_ref().is_some_and(|token| token.is_usable(now))
    }
}

impl Drop for SendRight<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token.take() {
            quota::give_back(self.node, &token);
        }
    }
}

fn check_key(node: &Node, caller: &Caller) -> Result<(), Withheld> {
    if !is_configuration_current(node) {
        return Err(Withheld::ConfigurationOutdated);
    }
    let configuration = node.configuration();
    let teams = configuration.as_ref().and_then(|one| one.teams());
    let holder = teams.and_then(|teams| teams.holder(caller.key));
    let is_held = holder.is_some_and(|team| team.name == caller.team.name);
    is_held.then_some(()).ok_or(Withheld::KeyRevoked)
}

/// Returns whether the configuration is proven to be recent enough to send requests with keys.
///
/// Only platforms that bound the time until a revoked key is refused everywhere require that proof.
pub(crate) fn is_configuration_current(node: &Node) -> bool {
    let Some(bound) = node.settings().revocation_bound() else {
        return true;
    };
    bound.permits(evidence_age(node))
}

/// Returns whether requests with keys can be served now: the configuration has no teams, or is proven to be recent.
pub(crate) fn may_serve_keys(node: &Node) -> bool {
    let configuration = node.configuration();
    let has_teams = configuration.is_some_and(|one| one.teams().is_some());
    !has_teams || is_configuration_current(node)
}

/// Returns the age of the proof that the configuration is current, or `None` if there is none.
pub(crate) fn evidence_age(node: &Node) -> Option<SpanMs> {
    node.evidence.age(node.continuous_now())
}

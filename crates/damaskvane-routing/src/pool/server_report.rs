//! What a response says of the server that made it.

use damaskvane_core::time::SpanMs;

use crate::pool::{LimitStatement, LoadReport, RestStatement, StatementSource};

/// All that a response says of its server, decoded once.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerReport {
    /// Load of the server, or `None` if the response doesn't report the load.
    pub load: Option<LoadReport>,
    /// Whether the response reports the speed of the server's machine.
    pub reports_speed: bool,
    /// Limit on the requests of all instances together.
    pub limit: LimitStatement,
    /// Rest that the server wants.
    pub rest: RestStatement,
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Whether another server has responded at the address.
    pub is_other_server: bool,
    /// Remaining warm-up time in milliseconds, or `None` if the response names none.
    pub warmup_left_ms: Option<u64>,
    /// Whether the response has the server's signature.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the server could run the request: its status is below 500.
    pub is_able: bool,
}

impl ServerReport {
    /// Returns the rest that the server wants, or `None` if it wants none.
    #[must_use]
    pub const fn asked_rest(&self) -> Option<SpanMs> {
        match self.rest {
            RestStatement::Rest(rest) => Some(rest.span()),
            RestStatement::Nothing | RestStatement::Unreadable => None,
        }
    }

    /// Returns whether the server wants to rest for this time or longer.
    #[must_use]
    pub fn asks_for_rest(&self, shortest: SpanMs) -> bool {
        self.asked_rest().is_some_and(|rest| rest >= shortest)
    }

    /// Returns what the response says of the limit.
    ///
    /// Only a success of a client's request ends a limit: a failure or a rejection need not come from the part of the server
    /// that knows the limit, and not every server names it in responses to health probes.
    #[must_use]
    pub fn limit_by(&self, source: StatementSource) -> LimitStatement {
        let is_success = self.is_able && self.is_signed && !self.is_not_run;
        let may_end = is_success && source == StatementSource::Response;
        match self.limit {
            LimitStatement::Unlimited if !may_end => LimitStatement::Nothing,
            statement => statement,
        }
    }
}

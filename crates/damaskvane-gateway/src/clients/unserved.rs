//! Responses to requests that were not served, and the log lines on them.

use damaskvane_core::time::SpanMs;
use damaskvane_routing::placement::{Refusal, RefusalReason};
use damaskvane_routing::pool::{ExchangeEnd, RestStatement};
use damaskvane_routing::quota::PoolState;
use damaskvane_routing::teams::Quota;
use hyper::{Response, StatusCode};
use rand::RngExt;

use crate::clients::routed_request::{REJECTED_RETRY_AFTER_MS, RoutedRequest};
use crate::clients::send_right::{OVER_QUOTA, Withheld};
use crate::clients::{reply, send_right};
use crate::decision_log::RequestOutcome;
use crate::quota;
use crate::upstream::{BackendResponse, ExchangeOutcome, ResponseBody};

impl RoutedRequest<'_> {
    pub(super) fn respond_timeout(&mut self) -> Response<ResponseBody> {
        if let Some(response) = self.failed_response.take() {
            return self.forward(response);
        }
        self.log_not_served("timeout", None);
        reply::from_instance(
            StatusCode::GATEWAY_TIMEOUT,
            "the server did not answer in time\n",
        )
    }

    /// Returns the response after the last exchange: a server's response, or an error of this instance.
    pub(super) fn final_response(
        &mut self,
        last: Option<ExchangeOutcome>,
    ) -> Response<ResponseBody> {
        let Some(last) = last else {
            return self.reject(REJECTED_RETRY_AFTER_MS);
        };
        if last.end == ExchangeEnd::Answered
            && let Some(response) = last.response
        {
            return self.forward(response);
        }
        if let Some(response) = self.failed_response.take() {
            return self.forward(response);
        }
        if self.progress.is_proven_not_run() {
            let retry_after_ms = self.retry_after_ms(last.report.rest, last.retry_after_ms);
            return self.reject(retry_after_ms);
        }
        self.respond_outcome_unknown()
    }

    /// Returns a server's response, unless its status says that the request has not run, which its server has not said: a
    /// client may send the request again then, and it must not run twice.
    fn forward(&self, response: BackendResponse) -> Response<ResponseBody> {
        if self.route.kind.may_run_again() || !says_not_run(response.status) {
            return reply::from_server(response);
        }
        self.respond_outcome_unknown()
    }

    /// Returns when a client should come back whose request the last server rejected.
    ///
    /// A rest that the server has asked for is this instance's matter: other servers may take the request at once.
    fn retry_after_ms(&self, rest: RestStatement, named_ms: Option<u64>) -> u64 {
        if rest == RestStatement::Nothing {
            return named_ms.unwrap_or(REJECTED_RETRY_AFTER_MS);
        }
        let now = self.node.now();
        let state = self.node.state.borrow();
        let request = self.placement_request();
        let wait = state
            .pool
            .time_to_available(now, &self.service, |region| request.allows(region));
        let settings = &state.placer.settings;
        let spread = rand::rng().random();
        let refusal = match wait {
            None | Some(SpanMs::ZERO) => settings.refusal(RefusalReason::Overloaded, spread),
            Some(wait) => settings.refusal_for_rest(wait, spread),
        };
        refusal.retry_after_ms
    }

    /// Returns the response if no further server can be selected.
    pub(super) fn refuse(
        &mut self,
        last: Option<ExchangeOutcome>,
        refusal: Refusal,
    ) -> Response<ResponseBody> {
        if last.is_some() {
            return self.final_response(last);
        }
        let reason = refusal.reason.as_str();
        reply::count_refusal(self.node, reason);
        self.log_not_served(reason, Some(refusal.retry_after_ms));
        reply::not_run(
            "no server can take the request now\n",
            refusal.retry_after_ms,
        )
    }

    /// Returns the response if the request may not be sent, or not once more.
    pub(super) fn withhold(
        &mut self,
        last: Option<ExchangeOutcome>,
        withheld: Withheld,
    ) -> Response<ResponseBody> {
        if last.is_some() && !self.progress.is_proven_not_run() {
            return self.final_response(last);
        }
        let reason = withheld.as_str();
        reply::count_refusal(self.node, reason);
        let retry_after_ms = match withheld {
            Withheld::OverQuota { retry_after_ms } => Some(retry_after_ms),
            _ => None,
        };
        self.log_not_served(reason, retry_after_ms);
        match withheld {
            Withheld::KeyRevoked => reply::from_instance(
                StatusCode::UNAUTHORIZED,
                "the team no longer holds the request's key\n",
            ),
            Withheld::ConfigurationOutdated => reply::configuration_outdated(),
            Withheld::OverQuota { retry_after_ms } => reply::over_quota(retry_after_ms),
            Withheld::QuotaUnknown => reply::not_run(
                "no instance that holds the team's quota responds\n",
                REJECTED_RETRY_AFTER_MS,
            ),
        }
    }

    fn quota(&self) -> Option<Quota> {
        self.right.caller()?.team.quota
    }

    /// Returns the state of the team's pool in this zone for a request that was refused since it has no token.
    fn quota_pool(&self, reason: &str) -> Option<PoolState> {
        let caller = self.right.caller()?;
        let is_over_quota = reason == OVER_QUOTA;
        is_over_quota
            .then(|| quota::pool_state(self.node, caller.team.key()))
            .flatten()
    }

    fn reject(&self, retry_after_ms: u64) -> Response<ResponseBody> {
        reply::count_refusal(self.node, "turned_away");
        self.log_not_served("turned_away", Some(retry_after_ms));
        reply::not_run("no server took the request\n", retry_after_ms)
    }

    fn respond_outcome_unknown(&self) -> Response<ResponseBody> {
        self.log_not_served("unknown", None);
        reply::from_instance(StatusCode::BAD_GATEWAY, "the server's answer was lost\n")
    }

    fn log_not_served(&self, reason: &str, retry_after_ms: Option<u64>) {
        if let Some(team) = &self.outgoing.team {
            self.node.metrics.team_refusals.record(team);
        }
        let now = self.node.now();
        let pool = self.quota_pool(reason);
        let (limited_servers, resting_servers) = {
            let pool = &self.node.state.borrow().pool;
            (pool.limited().len(), pool.resting(now).count())
        };
        self.node
            .log
            .log_request(now, RequestOutcome::Failure, |log, left_out| {
                slog::info!(log, "request not served";
                "request_id" => self.outgoing.request_id.as_deref(),
                "route" => &self.route.name, "service" => %self.service, "object" => self.object, "reason" => reason,
                "team" => self.outgoing.team.as_ref().map(ToString::to_string),
                "quota_per_s" => self.quota().map(|quota| quota.rate_per_s),
                "quota_burst" => self.quota().map(|quota| quota.burst),
                "quota_level" => pool.map(|pool| pool.level),
                "quota_rate_per_s" => pool.map(|pool| pool.rate_per_s),
                "quota_demand_per_s" => pool.map(|pool| pool.demand_per_s),
                "evidence_age_ms" => send_right::evidence_age(self.node).map(SpanMs::get),
                "limited_servers" => limited_servers, "resting_servers" => resting_servers,
                "retry_after_ms" => retry_after_ms, "tried" => self.tried.len(),
                "backend_server" => self.tried.last().map(ToString::to_string),
                "left_ms" => self.deadline.since(now).get(),
                "config_version" => self.configuration.version().get(),
                "store_age_ms" => self.node.store.age(now).get(),
                "lines_left_out" => left_out);
            });
    }
}

/// Returns whether clients take a status as a promise that their request has not run and never will.
const fn says_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

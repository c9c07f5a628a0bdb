//! Counters, gauges and histograms of a process, and the response that exports them.

mod export;
mod factory;

use prometheus::core::Collector;
use prometheus::{
    CounterVec, Encoder, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Registry, TextEncoder,
};

use crate::costs::Costs;
use crate::metrics::factory::MetricFactory;
use crate::team_counts::TeamCounts;

pub use export::response;

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Age of the load report behind each choice of a server, in seconds.
    pub report_age_s: Histogram,
    /// Responses whose report shows waiting requests at a server that was chosen as free.
    pub needless_queueing: IntCounter,
    /// Responses to clients by HTTP status.
    pub responses: IntCounterVec,
    /// Requests that this instance refused, by reason.
    pub refusals: IntCounterVec,
    /// Requests with a key that this instance refused, by team.
    pub team_refusals: TeamCounts,
    shown_team_refusals: IntGaugeVec,
    /// Milliseconds since the configuration was proven to be the newest one; -1 if it was not.
    pub evidence_age_ms: IntGauge,
    /// Retries, by how the previous attempt of the request ended.
    pub retries: IntCounterVec,
    /// Retries that were not sent because the retry budget was used up.
    pub retries_denied: IntCounter,
    /// Exchanges with backend servers (a request and its response), by how they ended.
    pub exchanges: IntCounterVec,
    /// Responses of backend servers that belonged to another request.
    pub mismatched_responses: IntCounter,
    /// Connections on which servers sent bytes without end after a response.
    pub floods: IntCounter,
    /// Clients that disconnected before they received their response.
    pub client_disconnects: IntCounter,
    /// Transferred bytes and opened connections.
    pub costs: Costs,
    /// Calls to the store by collection, purpose and outcome.
    pub store_calls: IntCounterVec,
    /// Watches of the store that had missed changes and were replaced, by collection.
    pub overdue_watches: IntCounterVec,
    /// Objects of the store that can't be used, each time they were read, by collection.
    pub unusable_objects: IntCounterVec,
    /// Lists of the store that did not advance or were refused, by collection.
    pub unread_lists: IntCounterVec,
    /// Health probes sent.
    pub probes: IntCounter,
    /// Crashes of backend servers that were running requests of this instance.
    pub crash_incidents: IntCounter,
    /// Copies of requests that may crash servers which this instance ran alone, as trials.
    pub trials: IntCounter,
    /// Requests that waited for the result of a trial.
    pub held_requests: IntCounter,
    /// 0 if this instance reaches the backend servers, 1 if it doubts that, 2 if it is partitioned from them.
    pub reach: IntGauge,
    /// Servers that only other instances reach.
    pub indirect_servers: IntGauge,
    /// Tunnels that this instance asked others for, by outcome.
    pub tunnels: IntCounterVec,
    /// Tunnels that other instances asked this one for, by outcome.
    pub carried_tunnels: IntCounterVec,
    /// Tunnels that this instance carries now.
    pub open_carried_tunnels: IntGauge,
    /// Requests that run, or whose responses wait, behind others of their clients' connections.
    pub pipelined_requests: IntGauge,
    /// Servers that are known to limit the rate of their requests.
    pub limited_servers: IntGauge,
    /// Changes of servers' limits that this instance learned of, by source and kind.
    pub limit_changes: IntCounterVec,
    /// Servers that want no request from this instance now.
    pub resting_servers: IntGauge,
    /// Rests that servers have asked this instance for, by source and kind.
    pub rest_changes: IntCounterVec,
    /// Requests that were not sent to a server for what it has said, by reason.
    pub not_admitted: IntCounterVec,
    /// Servers that have said that they leave, and have not left yet.
    pub leaving_servers: IntGauge,
    /// Servers that have said that they leave, by source.
    pub servers_told_leaving: IntCounterVec,
    /// Requests for tokens of servers with a limit, by outcome.
    pub limit_tokens: IntCounterVec,
    /// Tokens of teams' quotas, by where they came from, and those that this instance held until they expired.
    pub quota_tokens: CounterVec,
    /// Datagrams that could not be decoded.
    pub invalid_datagrams: IntCounter,
    /// Clients' lookups that were received.
    pub lookups: IntCounter,
    /// Seconds from the receipt of a request's head to its response, by outcome.
    pub request_s: HistogramVec,
    /// Seconds to process a lookup.
    pub lookup_s: Histogram,
    /// Seconds of calls to the store, without calls that wait for changes.
    pub store_s: Histogram,
    /// Version of the active configuration.
    pub configuration_version: IntGauge,
    /// Number of known backend servers.
    pub servers: IntGauge,
    /// Number of entry instances that lookups may return.
    pub instances: IntGauge,
    /// 1 if this instance receives store changes from a relay of its zone, 0 if it watches the store.
    pub uses_relay: IntGauge,
    /// Milliseconds since the last response of the store.
    pub store_age_ms: IntGauge,
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("damaskvane".to_owned()), None)?;
        let factory = MetricFactory {
            registry: &registry,
        };
        Ok(Self {
            report_age_s: factory.report_ages()?,
            needless_queueing: factory.counter(
                "needless_queueing_total",
                "Answers of servers with a queue that were chosen as free",
            )?,
            responses: factory.counters("answers_total", "Answers to clients", &["status"])?,
            refusals: factory.counters("refusals_total", "Requests refused", &["reason"])?,
            team_refusals: TeamCounts::default(),
            shown_team_refusals: factory.gauges(
                "team_refusals",
                "Requests refused, of the teams with the most",
                &["team"],
            )?,
            evidence_age_ms: factory.gauge(
                "evidence_age_milliseconds",
                "Since the configuration was proven to be the newest",
            )?,
            retries: factory.counters("retries_total", "Further tries", &["after"])?,
            retries_denied: factory.counter("retries_denied_total", "Tries without budget")?,
            exchanges: factory.counters("exchanges_total", "Exchanges with servers", &["end"])?,
            mismatched_responses: factory
                .counter("foreign_answers_total", "Answers to other requests")?,
            floods: factory.counter(
                "floods_total",
                "Connections on which bytes without end followed a response",
            )?,
            client_disconnects: factory.counter(
                "clients_left_total",
                "Clients that left before their answer",
            )?,
            costs: Costs::new(&registry)?,
            store_calls: factory.counters(
                "store_calls_total",
                "Calls",
                &["collection", "purpose", "outcome"],
            )?,
            overdue_watches: factory.counters(
                "overdue_watches_total",
                "Watches of the store that missed changes and were replaced",
                &["collection"],
            )?,
            unusable_objects: factory.counters(
                "unusable_objects_total",
                "Objects of the store that can't be used, each time they were read",
                &["collection"],
            )?,
            unread_lists: factory.counters(
                "unread_lists_total",
                "Lists of the store that did not advance or were refused, each time they were read",
                &["collection"],
            )?,
            probes: factory.counter("probes_total", "Health probes")?,
            crash_incidents: factory.counter(
                "crash_incidents_total",
                "Servers that died with requests on them",
            )?,
            trials: factory.counter(
                "trials_total",
                "Copies of requests that may crash servers, run alone",
            )?,
            held_requests: factory.counter(
                "held_requests_total",
                "Requests that waited for the result of a trial",
            )?,
            reach: factory.gauge(
                "reach",
                "Reach of servers: 0 direct, 1 doubtful, 2 partitioned",
            )?,
            indirect_servers: factory.gauge(
                "indirect_servers",
                "Servers that only other instances reach",
            )?,
            tunnels: factory.counters("tunnels_total", "Tunnels asked for", &["outcome"])?,
            carried_tunnels: factory.counters(
                "carried_tunnels_total",
                "Tunnels that others asked for",
                &["outcome"],
            )?,
            open_carried_tunnels: factory.gauge("carried_tunnels", "Tunnels carried now")?,
            pipelined_requests: factory.gauge(
                "pipelined_requests",
                "Requests at work or answered behind others of their connections",
            )?,
            limited_servers: factory.gauge(
                "limited_servers",
                "Servers that limit the rate of their requests",
            )?,
            limit_changes: factory.counters(
                "limit_changes_total",
                "Changes of servers' limits",
                &["source", "change"],
            )?,
            resting_servers: factory.gauge(
                "resting_servers",
                "Servers that want no request from this instance",
            )?,
            rest_changes: factory.counters(
                "rest_changes_total",
                "Rests that servers have asked for",
                &["source", "change"],
            )?,
            not_admitted: factory.counters(
                "not_admitted_total",
                "Requests held back at the moment of sending for what their server has said",
                &["reason"],
            )?,
            leaving_servers: factory
                .gauge("leaving_servers", "Servers that have said that they leave")?,
            servers_told_leaving: factory.counters(
                "servers_told_leaving_total",
                "Servers that have said that they leave",
                &["source"],
            )?,
            limit_tokens: factory.counters(
                "limit_tokens_total",
                "Tokens of servers with a limit asked for",
                &["outcome"],
            )?,
            quota_tokens: factory.sums(
                "quota_tokens_total",
                "Tokens of teams' quotas",
                &["source"],
            )?,
            invalid_datagrams: factory
                .counter("unread_datagrams_total", "Datagrams that are no message")?,
            lookups: factory.counter("look_ups_total", "Look-ups answered")?,
            request_s: factory.histograms("request_seconds", "Time of requests", &["outcome"])?,
            lookup_s: factory.histogram("look_up_seconds", "Time of look-ups")?,
            store_s: factory.histogram("store_seconds", "Time of store calls")?,
            configuration_version: factory.gauge("configuration_version", "Version in force")?,
            servers: factory.gauge("servers", "Backend servers known")?,
            instances: factory.gauge("instances", "Instances that look-ups may name")?,
            uses_relay: factory.gauge("hears_from_relay", "Whether a relay tells of changes")?,
            store_age_ms: factory.gauge("store_age_milliseconds", "Since the store answered")?,
            registry,
        })
    }

    /// Returns, for the log, the names and totals since the start of everything that operators pay for.
    ///
    /// The totals cover transferred bytes, opened connections, and calls to the store by collection, purpose and
    /// outcome.
    #[must_use]
    pub fn cost_summary(&self) -> String {
        let mut totals: Vec<String> = self
            .costs
            .nonzero_totals()
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        for family in self.store_calls.collect() {
            for metric in family.get_metric() {
                let labels = metric.get_label().iter();
                let labels: Vec<&str> = labels.map(prometheus::proto::LabelPair::value).collect();
                let count = metric.get_counter().get_value();
                totals.push(format!("calls.{}={count}", labels.join(".")));
            }
        }
        totals.join(" ")
    }

    /// Shows the teams with the most refusals by name, and the sum of all others.
    fn update_team_refusals(&self) {
        // No team can have this name, which holds spaces.
        const ALL_OTHERS: &str = "all others";
        let gauges = &self.shown_team_refusals;
        gauges.reset();
        let (highest, others) = self.team_refusals.highest();
        let named = highest.iter().map(|(team, count)| (team.as_str(), *count));
        for (team, count) in named.chain([(ALL_OTHERS, others)]) {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            gauges.with_label_values(&[team]).set(count);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory can't fail, and the names were checked at the registration.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

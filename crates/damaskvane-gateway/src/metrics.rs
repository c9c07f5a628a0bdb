//! Counters and histograms, and the listener where they are read.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::costs::Costs;
use crate::node::Node;
use crate::store::Source;
use crate::upstream::ResponseBody;

/// Upper bounds of the latency histograms, in seconds: from a hop within a zone to the longest deadline.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 8.0,
];

/// The counters of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Answers to clients by status.
    pub responses: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Further tries by the end of the try before.
    pub retries: IntCounterVec,
    /// Further tries that the budget did not allow.
    pub retries_denied: IntCounter,
    /// Exchanges by their end.
    pub exchanges: IntCounterVec,
    /// Answers that belonged to another request.
    pub mismatched_responses: IntCounter,
    /// Clients that left before their answer.
    pub client_disconnects: IntCounter,
    /// What users pay for, by cause.
    pub costs: Costs,
    /// Calls on the store by collection, purpose and outcome.
    pub store_calls: IntCounterVec,
    /// Health probes sent.
    pub probes: IntCounter,
    /// Deaths of backend servers with requests of this instance on them.
    pub crash_incidents: IntCounter,
    /// Datagrams that are no message of this protocol.
    pub unread_datagrams: IntCounter,
    /// Look-ups answered.
    pub look_ups: IntCounter,
    /// Time from a request's head to its answer, by outcome.
    pub request_s: HistogramVec,
    /// Time of a look-up's answer.
    pub look_up_s: Histogram,
    /// Time of calls on the store that don't wait for changes.
    pub store_s: Histogram,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Backend servers known.
    pub servers: IntGauge,
    /// Entry instances that look-ups may name.
    pub instances: IntGauge,
    /// Whether changes come from a relay of the zone.
    pub hears_from_relay: IntGauge,
    /// Milliseconds since the store last answered.
    pub store_age_ms: IntGauge,
}

impl Metrics {
    /// All counters at zero.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("damaskvane".to_owned()), None)?;
        let make = Maker {
            registry: &registry,
        };
        Ok(Self {
            responses: make.counters("answers_total", "Answers to clients", &["status"])?,
            refusals: make.counters("refusals_total", "Requests refused", &["reason"])?,
            retries: make.counters("retries_total", "Further tries", &["after"])?,
            retries_denied: make.counter("retries_denied_total", "Tries without budget")?,
            exchanges: make.counters("exchanges_total", "Exchanges with servers", &["end"])?,
            mismatched_responses: make.counter("foreign_answers_total", "Answers to other requests")?,
            client_disconnects: make.counter(
                "clients_left_total",
                "Clients that left before their answer",
            )?,
            costs: Costs::new(&registry)?,
            store_calls: make.counters(
                "store_calls_total",
                "Calls",
                &["collection", "purpose", "outcome"],
            )?,
            probes: make.counter("probes_total", "Health probes")?,
            crash_incidents: make.counter(
                "crash_incidents_total",
                "Servers that died with requests on them",
            )?,
            unread_datagrams: make
                .counter("unread_datagrams_total", "Datagrams that are no message")?,
            look_ups: make.counter("look_ups_total", "Look-ups answered")?,
            request_s: make.histograms("request_seconds", "Time of requests", &["outcome"])?,
            look_up_s: make.histogram("look_up_seconds", "Time of look-ups")?,
            store_s: make.histogram("store_seconds", "Time of store calls")?,
            configuration_version: make.gauge("configuration_version", "Version in force")?,
            servers: make.gauge("servers", "Backend servers known")?,
            instances: make.gauge("instances", "Instances that look-ups may name")?,
            hears_from_relay: make.gauge("hears_from_relay", "Whether a relay tells of changes")?,
            store_age_ms: make.gauge("store_age_milliseconds", "Since the store answered")?,
            registry,
        })
    }

    /// Calls on the store by collection, purpose and outcome, and what else users pay for: name and count since the
    /// start, for the log.
    #[must_use]
    pub fn cost_figures(&self) -> String {
        let mut figures: Vec<String> = self
            .costs
            .figures()
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        for family in self.store_calls.collect() {
            for metric in family.get_metric() {
                let labels = metric.get_label().iter();
                let labels: Vec<&str> = labels.map(prometheus::proto::LabelPair::value).collect();
                let count = metric.get_counter().get_value();
                figures.push(format!("calls.{}={count}", labels.join(".")));
            }
        }
        figures.join(" ")
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory doesn't fail, and names were checked when they were registered.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

struct Maker<'a> {
    registry: &'a Registry,
}

impl Maker<'_> {
    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        let histograms = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }
}

/// Answers a request for the metrics.
#[must_use]
pub fn response(node: &Rc<Node>) -> Response<ResponseBody> {
    let now = node.now();
    {
        let state = node.state.borrow();
        let metrics = &node.metrics;
        let is_relayed = node.store.source() == Source::Relay;
        metrics.hears_from_relay.set(i64::from(is_relayed));
        metrics.servers.set(state.pool.len() as i64);
        metrics
            .instances
            .set(state.members.usable(now).count() as i64);
        let age_ms = node.store.age(now).get();
        metrics
            .store_age_ms
            .set(i64::try_from(age_ms).unwrap_or(i64::MAX));
    }
    Response::new(ResponseBody::whole(Bytes::from(node.metrics.text())))
}

//! Creation and registration of metrics.

use prometheus::{
    CounterVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the latency histograms, in seconds: from a hop within a zone to the longest deadline.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 8.0,
];

/// Upper bounds of the histogram of the ages of load reports, in seconds.
const REPORT_AGE_BUCKETS_S: [f64; 7] = [0.1, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0];

/// Creates metrics and registers them.
pub(super) struct MetricFactory<'a> {
    pub(super) registry: &'a Registry,
}

impl MetricFactory<'_> {
    pub(super) fn report_ages(&self) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(
            "placement_report_age_seconds",
            "Age of the load report behind each choice of a server",
        );
        let histogram = Histogram::with_opts(options.buckets(REPORT_AGE_BUCKETS_S.to_vec()))?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    pub(super) fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    pub(super) fn sums(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<CounterVec, prometheus::Error> {
        let counters = CounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    pub(super) fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    pub(super) fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    pub(super) fn histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    pub(super) fn histograms(
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

//! Counts by name: read by the status page, sent to a statsd server.
//!
//! A counter's name is a family and a word, for instance `refused` and `queue_full`. Sending is by UDP
//! and never blocks; the counts in memory are exact even where a datagram is lost.
//!
//! ```
//! use damaskvane_telemetry::counters;
//!
//! let counters = counters::Counters::local();
//! counters.add("refused", "queue_full", 2);
//! assert_eq!(counters.get("refused", "queue_full"), 2);
//! ```

use core::time::Duration;
use std::collections::BTreeMap;
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;

use cadence::prelude::{Counted, Gauged, Timed};

const PREFIX: &str = "damaskvane";
/// How long a count may wait for others to share its datagram.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);
/// Counts that wait to be sent; more are dropped on their way, not in memory.
const QUEUE_LIMIT: usize = 8_192;

type Counts = BTreeMap<(&'static str, String), u64>;

/// Counters, gauges and timers of one process.
#[derive(Debug)]
pub struct Counters {
    counts: Mutex<Counts>,
    statsd: Arc<cadence::StatsdClient>,
}

impl Counters {
    /// Counters that stay in this process.
    #[must_use]
    pub fn local() -> Self {
        Self::with_sink(cadence::NopMetricSink)
    }

    /// Counters that are also sent to a statsd server.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened, or no thread started.
    pub fn to_statsd(address: net::SocketAddr) -> io::Result<Self> {
        let socket = net::UdpSocket::bind((net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let udp = cadence::BufferedUdpMetricSink::from(address, socket)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let queue = cadence::QueuingMetricSink::with_capacity(udp, QUEUE_LIMIT);
        let counters = Self::with_sink(queue);
        flush_regularly(Arc::downgrade(&counters.statsd))?;
        Ok(counters)
    }

    fn with_sink(
        sink: impl cadence::MetricSink + Sync + Send + core::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self {
            counts: Mutex::new(Counts::new()),
            statsd: Arc::new(cadence::StatsdClient::from_sink(PREFIX, sink)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds one to a counter.
    pub fn increment(&self, family: &'static str, word: &str) {
        self.add(family, word, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, family: &'static str, word: &str, amount: u64) {
        let mut counts = self.lock();
        match counts.get_mut(&(family, word.to_owned())) {
            Some(count) => *count += amount,
            None => {
                counts.insert((family, word.to_owned()), amount);
            }
        }
        drop(counts);
        let amount = i64::try_from(amount).unwrap_or(i64::MAX);
        let _ = self.statsd.count(&format!("{family}.{word}"), amount);
    }

    /// Sets a gauge on the statsd server.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.statsd.gauge(name, value);
    }

    /// Sends a duration in milliseconds to the statsd server.
    pub fn time_ms(&self, name: &str, ms: u64) {
        let _ = self.statsd.time(name, ms);
    }

    /// The count so far; zero if it was never raised.
    #[must_use]
    pub fn get(&self, family: &'static str, word: &str) -> u64 {
        self.lock()
            .get(&(family, word.to_owned()))
            .copied()
            .unwrap_or(0)
    }

    /// All counts as `family.word`.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        self.lock()
            .iter()
            .map(|((family, word), count)| (format!("{family}.{word}"), *count))
            .collect()
    }
}

/// The sink sends a datagram once it is full. On a quiet instance the one refusal that an operator waits for
/// would stay in it for hours.
fn flush_regularly(statsd: Weak<cadence::StatsdClient>) -> io::Result<()> {
    let flush = move || {
        loop {
            thread::sleep(FLUSH_PERIOD);
            let Some(statsd) = statsd.upgrade() else {
                return;
            };
            let _ = statsd.flush();
        }
    };
    thread::Builder::new()
        .name("statsd".to_owned())
        .spawn(flush)
        .map(|_| ())
}

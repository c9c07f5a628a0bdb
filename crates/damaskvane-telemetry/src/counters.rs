//! Counters, gauges and timers of a process, for the status page and a statsd server.
//!
//! A counter is identified by a family and a name, for instance `refused` and `queue_full`. Values are sent by UDP
//! without blocking. The counters in memory stay exact even if a datagram is lost.
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

/// Prefix of every metric name on the statsd server.
const PREFIX: &str = "damaskvane";
/// Maximum time for which a value is buffered to share a datagram with others.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of values queued for sending.
///
/// Further values are not sent. The counters in memory include them.
const QUEUE_LIMIT: usize = 8_192;

type Counts = BTreeMap<(&'static str, String), u64>;

/// Counters, gauges and timers of one process.
#[derive(Debug)]
pub struct Counters {
    counts: Mutex<Counts>,
    statsd: Arc<cadence::StatsdClient>,
}

impl Counters {
    /// Creates counters that are kept in memory only.
    #[must_use]
    pub fn local() -> Self {
        Self::with_sink(cadence::NopMetricSink)
    }

    /// Creates counters that are also sent to a statsd server.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket can't be opened or the flushing thread can't be started.
    pub fn to_statsd(address: net::SocketAddr) -> io::Result<Self> {
        let socket = net::UdpSocket::bind((net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let udp = cadence::BufferedUdpMetricSink::from(address, socket)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let queue = cadence::QueuingMetricSink::with_capacity(udp, QUEUE_LIMIT);
        let counters = Self::with_sink(queue);
        start_flush_thread(Arc::downgrade(&counters.statsd))?;
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

    /// Increments a counter by one.
    pub fn increment(&self, family: &'static str, name: &str) {
        self.add(family, name, 1);
    }

    /// Increments a counter by `amount`.
    pub fn add(&self, family: &'static str, name: &str, amount: u64) {
        let mut counts = self.lock();
        match counts.get_mut(&(family, name.to_owned())) {
            Some(count) => *count += amount,
            None => {
                counts.insert((family, name.to_owned()), amount);
            }
        }
        drop(counts);
        let amount = i64::try_from(amount).unwrap_or(i64::MAX);
        let _ = self.statsd.count(&format!("{family}.{name}"), amount);
    }

    /// Sends the value of a gauge to the statsd server; the value is not kept in memory.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.statsd.gauge(name, value);
    }

    /// Sends a duration in milliseconds to the statsd server; the duration is not kept in memory.
    pub fn time_ms(&self, name: &str, ms: u64) {
        let _ = self.statsd.time(name, ms);
    }

    /// Returns the value of a counter; 0 if the counter was never incremented.
    #[must_use]
    pub fn get(&self, family: &'static str, name: &str) -> u64 {
        self.lock()
            .get(&(family, name.to_owned()))
            .copied()
            .unwrap_or(0)
    }

    /// Returns all counters, keyed by `family.name`.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        self.lock()
            .iter()
            .map(|((family, name), count)| (format!("{family}.{name}"), *count))
            .collect()
    }
}

/// Starts a thread that flushes the statsd buffer every [`FLUSH_PERIOD`] until the client is dropped.
///
/// The sink itself sends a datagram only when it is full. On an instance with little traffic, a single refusal
/// would stay in the buffer for hours while an operator waits for it.
fn start_flush_thread(statsd: Weak<cadence::StatsdClient>) -> io::Result<()> {
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

//! A pool of threads that run exchanges with backend servers.
//!
//! Threads are started on demand, up to a limit, and receive their jobs from one channel.
//!
//! ```
//! use damaskvane_entry::{clock, exchange, exchange_pool};
//!
//! let (inbox, _) = flume::unbounded();
//! let clock = clock::MonotonicClock::start();
//! let limits = exchange::ExchangeLimits::default();
//! let logger = damaskvane_telemetry::logging::discarding_logger();
//! let pool = exchange_pool::ExchangePool::new(8, limits, clock, inbox, logger);
//! assert_eq!(pool.threads(), 0);
//! ```

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use damaskvane_core::ids;
use damaskvane_engine::event;
use damaskvane_telemetry::logging;
use slog::{debug, warn};

use crate::clock;
use crate::exchange;
use crate::inbox;

const STACK_BYTES: usize = 256 * 1024;

enum Job {
    Exchange(event::Exchange),
    Cancel {
        address: net::SocketAddr,
        request_id: ids::RequestId,
    },
}

/// Runs exchanges on a bounded number of threads.
pub struct ExchangePool {
    jobs: flume::Sender<Job>,
    pending: flume::Receiver<Job>,
    idle: Arc<AtomicUsize>,
    threads: usize,
    limit: usize,
    limits: exchange::ExchangeLimits,
    clock: clock::MonotonicClock,
    inbox: flume::Sender<inbox::Input>,
    logger: slog::Logger,
}

impl ExchangePool {
    /// Returns a pool without threads that starts at most `limit` threads and reports the end of each
    /// exchange to `inbox`, the channel of the engine's thread.
    #[must_use]
    pub fn new(
        limit: usize,
        limits: exchange::ExchangeLimits,
        clock: clock::MonotonicClock,
        inbox: flume::Sender<inbox::Input>,
        logger: slog::Logger,
    ) -> Self {
        let (jobs, pending) = flume::unbounded();
        Self {
            jobs,
            pending,
            idle: Arc::default(),
            threads: 0,
            limit,
            limits,
            clock,
            inbox,
            logger,
        }
    }

    /// Returns the number of threads started so far.
    #[must_use]
    pub const fn threads(&self) -> usize {
        self.threads
    }

    /// Queues an exchange; the thread that runs it reports its end to the engine's thread.
    pub fn start(&mut self, exchange: event::Exchange) {
        self.submit(Job::Exchange(exchange));
    }

    /// Queues a call that makes the backend server at `address` cancel the request with this id. The result
    /// of the call is not reported.
    pub fn cancel(&mut self, address: net::SocketAddr, request_id: ids::RequestId) {
        self.submit(Job::Cancel {
            address,
            request_id,
        });
    }

    fn submit(&mut self, job: Job) {
        if self.idle.load(Ordering::Acquire) <= self.pending.len() && self.threads < self.limit {
            self.spawn();
        }
        let _ = self.jobs.send(job);
    }

    fn spawn(&mut self) {
        let pending = self.pending.clone();
        let inbox = self.inbox.clone();
        let idle = Arc::clone(&self.idle);
        let limits = self.limits;
        let clock = self.clock;
        let logger = self.logger.clone();
        let spawned = thread::Builder::new()
            .name("exchange".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run_jobs(&pending, &inbox, &idle, limits, clock, &logger));
        if spawned.is_ok() {
            self.threads += 1;
        }
    }
}

fn run_jobs(
    pending: &flume::Receiver<Job>,
    inbox: &flume::Sender<inbox::Input>,
    idle: &AtomicUsize,
    limits: exchange::ExchangeLimits,
    clock: clock::MonotonicClock,
    logger: &slog::Logger,
) {
    loop {
        idle.fetch_add(1, Ordering::AcqRel);
        let job = pending.recv();
        idle.fetch_sub(1, Ordering::AcqRel);
        match job {
            Ok(Job::Exchange(exchange)) => {
                let end = exchange::run(&exchange, clock, limits);
                log_end(logger, &exchange, &end);
                let _ = inbox.send(inbox::Input::Event(event::Event::ExchangeEnded {
                    exchange: exchange.number,
                    end,
                }));
            }
            Ok(Job::Cancel {
                address,
                request_id,
            }) => exchange::cancel(&address.to_string(), &request_id),
            Err(_) => return,
        }
    }
}

/// Logs the end of an exchange: as a warning if only a fault of the backend server or of the network can
/// cause this end, otherwise for debugging.
fn log_end(logger: &slog::Logger, exchange: &event::Exchange, end: &event::ExchangeEnd) {
    let fields = slog::o!(
        logging::field::REQUEST_ID => exchange.request.request_id.to_string(),
        logging::field::SERVICE => exchange.request.service.to_string(),
        logging::field::BACKEND_SERVER => exchange.backend_server.to_string(),
        logging::field::OUTCOME => exchange::end_label(end),
    );
    match end {
        event::ExchangeEnd::TruncatedResponse | event::ExchangeEnd::MismatchedResponse => {
            warn!(logger, "the response of a backend server was truncated or belongs to another request"; fields);
        }
        _ => debug!(logger, "exchange ended"; fields),
    }
}

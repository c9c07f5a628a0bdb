//! Threads that run exchanges with backend servers.
//!
//! Threads are made as they are needed, up to a limit, and wait for the next exchange on one channel.
//!
//! ```
//! use damaskvane_entry::{clock, exchange, exchange_pool};
//!
//! let (ended, _) = flume::unbounded();
//! let clock = clock::MonotonicClock::start();
//! let limits = exchange::ExchangeLimits::default();
//! let logger = damaskvane_telemetry::logging::silent();
//! let pool = exchange_pool::ExchangePool::new(8, limits, clock, ended, logger);
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

/// A bounded number of threads that run exchanges.
pub struct ExchangePool {
    jobs: flume::Sender<Job>,
    waiting: flume::Receiver<Job>,
    idle: Arc<AtomicUsize>,
    threads: usize,
    limit: usize,
    limits: exchange::ExchangeLimits,
    clock: clock::MonotonicClock,
    ended: flume::Sender<inbox::Input>,
    logger: slog::Logger,
}

impl ExchangePool {
    /// A pool of at most `limit` threads that reports to `ended`.
    #[must_use]
    pub fn new(
        limit: usize,
        limits: exchange::ExchangeLimits,
        clock: clock::MonotonicClock,
        ended: flume::Sender<inbox::Input>,
        logger: slog::Logger,
    ) -> Self {
        let (jobs, waiting) = flume::unbounded();
        Self {
            jobs,
            waiting,
            idle: Arc::default(),
            threads: 0,
            limit,
            limits,
            clock,
            ended,
            logger,
        }
    }

    /// How many threads there are.
    #[must_use]
    pub const fn threads(&self) -> usize {
        self.threads
    }

    /// Starts an exchange; its end is reported to the inbox.
    pub fn start(&mut self, exchange: event::Exchange) {
        self.submit(Job::Exchange(exchange));
    }

    /// Asks a backend server to stop a request.
    pub fn cancel(&mut self, address: net::SocketAddr, request_id: ids::RequestId) {
        self.submit(Job::Cancel {
            address,
            request_id,
        });
    }

    fn submit(&mut self, job: Job) {
        if self.idle.load(Ordering::Acquire) <= self.waiting.len() && self.threads < self.limit {
            self.spawn();
        }
        let _ = self.jobs.send(job);
    }

    fn spawn(&mut self) {
        let waiting = self.waiting.clone();
        let ended = self.ended.clone();
        let idle = Arc::clone(&self.idle);
        let limits = self.limits;
        let clock = self.clock;
        let logger = self.logger.clone();
        let spawned = thread::Builder::new()
            .name("exchange".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || work(&waiting, &ended, &idle, limits, clock, &logger));
        if spawned.is_ok() {
            self.threads += 1;
        }
    }
}

fn work(
    waiting: &flume::Receiver<Job>,
    ended: &flume::Sender<inbox::Input>,
    idle: &AtomicUsize,
    limits: exchange::ExchangeLimits,
    clock: clock::MonotonicClock,
    logger: &slog::Logger,
) {
    loop {
        idle.fetch_add(1, Ordering::AcqRel);
        let job = waiting.recv();
        idle.fetch_sub(1, Ordering::AcqRel);
        match job {
            Ok(Job::Exchange(exchange)) => {
                let end = exchange::run(&exchange, clock, limits);
                note_end(logger, &exchange, &end);
                let _ = ended.send(inbox::Input::Event(event::Event::ExchangeEnded {
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

/// One line per exchange; what only a fault of a backend server or of the network brings about is a warning.
fn note_end(logger: &slog::Logger, exchange: &event::Exchange, end: &event::ExchangeEnd) {
    let fields = slog::o!(
        logging::field::REQUEST_ID => exchange.request.request_id.to_string(),
        logging::field::SERVICE => exchange.request.service.to_string(),
        logging::field::BACKEND_SERVER => exchange.backend_server.to_string(),
        logging::field::OUTCOME => exchange::word(end),
    );
    match end {
        event::ExchangeEnd::TruncatedResponse | event::ExchangeEnd::MismatchedResponse => {
            warn!(logger, "an answer was not the whole answer to its request"; fields);
        }
        _ => debug!(logger, "exchange ended"; fields),
    }
}

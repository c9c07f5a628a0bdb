//! The log of what backend servers ran, for checkers.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let log = backend::ExecutionLog::default();
//! assert_eq!(log.page(0).executions.len(), 0);
//! ```

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// The most executions kept; later ones are counted as dropped, so that memory stays bounded.
const LOG_LIMIT: usize = 2_000_000;

/// One run of one request on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The backend server that ran it.
    pub server: String,
    /// The request's id as received.
    pub request_id: String,
    /// The idempotency key, or empty.
    pub idempotency_key: String,
    /// The method as received.
    pub method: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// When it ended; none while it runs.
    pub finished_unix_ms: Option<u64>,
    /// Whether it ended before its work was done: cancelled, past its deadline or crashed.
    pub aborted: bool,
}

/// A stretch of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionPage {
    /// Where the next page starts.
    pub next: usize,
    /// Executions that were not kept because the log was full.
    pub dropped: usize,
    /// The executions of this page, in order of start.
    pub executions: Vec<Execution>,
}

/// All executions of one process in order of start.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    executions: Vec<Execution>,
    dropped: usize,
}

impl ExecutionLog {
    /// Notes a start; the number names the execution for [`ExecutionLog::finish`].
    pub fn start(&self, execution: Execution) -> usize {
        let mut inner = self.lock();
        if inner.executions.len() >= LOG_LIMIT {
            inner.dropped += 1;
            return usize::MAX;
        }
        inner.executions.push(execution);
        inner.executions.len() - 1
    }

    /// Notes the end of an execution.
    pub fn finish(&self, number: usize, finished_unix_ms: u64, aborted: bool) {
        if let Some(execution) = self.lock().executions.get_mut(number) {
            execution.finished_unix_ms = Some(finished_unix_ms);
            execution.aborted = aborted;
        }
    }

    /// Everything from execution number `since` on.
    #[must_use]
    pub fn page(&self, since: usize) -> ExecutionPage {
        let inner = self.lock();
        ExecutionPage {
            next: inner.executions.len(),
            dropped: inner.dropped,
            executions: inner.executions.get(since..).unwrap_or_default().to_vec(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Log of the requests that backend servers ran, for a checker of a test or demo.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let log = backend::ExecutionLog::default();
//! assert_eq!(log.page(0).executions.len(), 0);
//! ```

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// The maximum length of the log, which bounds memory; later executions only count as dropped.
const MAX_EXECUTIONS: usize = 2_000_000;

/// The execution of one request on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The name of the backend server.
    pub server: String,
    /// The request id as received, from the `damaskvane-request-id` header.
    pub request_id: String,
    /// The idempotency key; empty if the request has none.
    pub idempotency_key: String,
    /// The HTTP method as received.
    pub method: String,
    /// The start time, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// The end time, in milliseconds since the Unix epoch; `None` while the request runs.
    pub finished_unix_ms: Option<u64>,
    /// Whether the request ended early: cancelled, past its deadline, failed or crashed.
    pub aborted: bool,
}

/// The executions of a log from one number on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionPage {
    /// The number of the first execution that is not in this page, for the next call.
    pub next: usize,
    /// The number of executions missing from the log because the log was full.
    pub dropped: usize,
    /// The executions of this page, ordered by start.
    pub executions: Vec<Execution>,
}

/// All executions of one process, ordered by start.
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
    /// Records the start of an execution and returns its number for [`ExecutionLog::finish`].
    ///
    /// Returns `usize::MAX` if the log is full.
    pub fn start(&self, execution: Execution) -> usize {
        let mut inner = self.lock();
        if inner.executions.len() >= MAX_EXECUTIONS {
            inner.dropped += 1;
            return usize::MAX;
        }
        inner.executions.push(execution);
        inner.executions.len() - 1
    }

    /// Records the end of an execution; does nothing if the log doesn't contain `number`.
    pub fn finish(&self, number: usize, finished_unix_ms: u64, aborted: bool) {
        if let Some(execution) = self.lock().executions.get_mut(number) {
            execution.finished_unix_ms = Some(finished_unix_ms);
            execution.aborted = aborted;
        }
    }

    /// Returns all executions from number `since` on.
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

//! The expectations of a script: conditions on the state of the world at one point of the script.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let at_most_two = script::Comparison { operator: script::Operator::AtMost, value: 2 };
//! assert!(at_most_two.holds(2));
//! ```

use core::fmt;

use damaskvane_core::ids;
use damaskvane_dispatch::refusal;

/// A comparison operator of the scenario language.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
}

/// A condition on a number: an operator and its right-hand side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Comparison {
    /// The operator between the measured number and `value`.
    pub operator: Operator,
    /// The right-hand side of the comparison.
    pub value: u64,
}

impl Comparison {
    /// Returns whether a measured number satisfies the comparison.
    #[must_use]
    pub const fn holds(self, measured: u64) -> bool {
        match self.operator {
            Operator::Equal => measured == self.value,
            Operator::AtMost => measured <= self.value,
            Operator::AtLeast => measured >= self.value,
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operator = match self.operator {
            Operator::Equal => "=",
            Operator::AtMost => "<=",
            Operator::AtLeast => ">=",
        };
        write!(f, "{operator} {}", self.value)
    }
}

/// The response that a client is expected to have received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedResponse {
    /// The complete response of a backend server.
    Completed,
    /// The outcome *not run*; `None` accepts any reason.
    NotRun(Option<refusal::RefusalReason>),
    /// The outcome *unknown*; `None` accepts any reason.
    Unknown(Option<refusal::RefusalReason>),
    /// No response: the request is waiting, its connection was lost, or its client disconnected.
    None,
}

/// A condition that the world must satisfy when the statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// One request received this response.
    Response {
        /// The label of the request.
        label: ids::RequestId,
        /// The expected response.
        expected: ExpectedResponse,
    },
    /// A number of requests of a series received this response.
    Responses {
        /// The label of the series, without the number of a single request.
        label: ids::RequestId,
        /// The expected response.
        expected: ExpectedResponse,
        /// The expected number of requests.
        count: Comparison,
    },
    /// Backend servers ran the requests of an idempotency key a number of times.
    Runs {
        /// The idempotency key.
        key: ids::IdempotencyKey,
        /// The expected number of runs.
        count: Comparison,
    },
    /// The highest number of requests that a backend server ran at the same time.
    Peak {
        /// The id of the backend server.
        server: ids::BackendServerId,
        /// The expected number of requests.
        count: Comparison,
    },
    /// The number of requests that a backend server started.
    Started {
        /// The id of the backend server.
        server: ids::BackendServerId,
        /// The expected number of requests.
        count: Comparison,
    },
    /// The number of requests that were cancelled while a backend server ran them.
    Cancelled {
        /// The id of the backend server.
        server: ids::BackendServerId,
        /// The expected number of requests.
        count: Comparison,
    },
    /// The time from the sending of a request to its response.
    Waited {
        /// The label of the request.
        label: ids::RequestId,
        /// The expected time, in milliseconds.
        wait_ms: Comparison,
    },
    /// The retry delay that a response *not run* gives the client.
    RetryAfter {
        /// The label of the request.
        label: ids::RequestId,
        /// The expected time, in milliseconds.
        wait_ms: Comparison,
    },
    /// The home that a lookup returns for an instance has this incarnation.
    Incarnation {
        /// The entry instance.
        instance: ids::InstanceId,
        /// The expected incarnation number.
        number: Comparison,
    },
    /// No request was started on a draining backend server later than two seconds after the drain order.
    NoNewWork(ids::BackendServerId),
    /// The planned stop of the entry instance completed, with all clients of the instance served.
    Stopped(ids::InstanceId),
    /// At least one entry instance rejects requests of this path because they crash backend servers.
    Quarantined(String),
}

//! What a scenario expects to have happened.
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

/// How a number is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
}

/// A number to compare with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Comparison {
    /// How.
    pub operator: Operator,
    /// With what.
    pub value: u64,
}

impl Comparison {
    /// Whether a measured number is as expected.
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

/// The answer a client is expected to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// The backend server's whole answer.
    Completed,
    /// *Not run*, for this reason where one is given.
    NotRun(Option<refusal::RefusalReason>),
    /// *Outcome unknown*, for this reason where one is given.
    Unknown(Option<refusal::RefusalReason>),
    /// No answer (yet).
    None,
}

/// What a scenario expects to have happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// One request has this answer.
    Answer {
        /// The request.
        label: ids::RequestId,
        /// The answer.
        expected: ExpectedAnswer,
    },
    /// So many requests of a series have this answer.
    Answers {
        /// The label of the series.
        label: ids::RequestId,
        /// The answer.
        expected: ExpectedAnswer,
        /// How many.
        count: Comparison,
    },
    /// A key was run so often.
    Runs {
        /// The key.
        key: ids::IdempotencyKey,
        /// How often.
        count: Comparison,
    },
    /// So many requests ran on a backend server at a time, at most.
    Peak {
        /// The backend server.
        server: ids::BackendServerId,
        /// How many.
        count: Comparison,
    },
    /// So many requests were started on a backend server.
    Started {
        /// The backend server.
        server: ids::BackendServerId,
        /// How many.
        count: Comparison,
    },
    /// So many requests on a backend server were cancelled while they ran.
    Cancelled {
        /// The backend server.
        server: ids::BackendServerId,
        /// How many.
        count: Comparison,
    },
    /// A client waited so many milliseconds for its answer.
    Waited {
        /// The request.
        label: ids::RequestId,
        /// How long, in milliseconds.
        wait_ms: Comparison,
    },
    /// An answer *not run* names so many milliseconds until the client should come back.
    RetryAfter {
        /// The request.
        label: ids::RequestId,
        /// How long, in milliseconds.
        wait_ms: Comparison,
    },
    /// The home of an instance's keys has this incarnation.
    Incarnation {
        /// The instance.
        instance: ids::InstanceId,
        /// The incarnation.
        number: Comparison,
    },
    /// A draining backend server got no work later than two seconds after the order.
    NoNewWork(ids::BackendServerId),
    /// A planned stop ended by itself, with nobody cut off.
    Stopped(ids::InstanceId),
    /// Requests for a path are refused because they crash backend servers.
    Quarantined(String),
}

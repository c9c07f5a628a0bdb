//! What a request was answered, with every try.
//!
//! ```
//! use damaskvane_bench::client;
//!
//! assert_eq!("not-run".parse(), Ok(client::Outcome::NotRun));
//! ```

use core::str;

use damaskvane_standins::backend;
use serde::{Deserialize, Serialize};

/// What the client knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server's whole answer.
    Completed,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl str::FromStr for Outcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "completed" => Ok(Self::Completed),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(()),
        }
    }
}

/// What is wrong with an answer that was passed as whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// The header echoes another request.
    CrossedHeader,
    /// The body answers another request.
    CrossedBody,
    /// The body is cut or changed.
    NotWhole,
}

/// One try of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Try {
    /// The id of the try.
    pub request_id: String,
    /// The entry instance asked.
    pub instance: String,
    /// What it answered; unknown where no answer came after something was sent.
    pub outcome: Outcome,
    /// The refusal reason, or what the client saw.
    pub reason: String,
    /// When the answer was there, in milliseconds since the Unix epoch.
    pub answered_unix_ms: u64,
}

/// A request's end as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Given {
    /// The service.
    pub service: String,
    /// The name of the request.
    pub name: String,
    /// The idempotency key, or empty.
    pub idempotency_key: String,
    /// What the client knows in the end.
    pub outcome: Outcome,
    /// The last reason, or empty.
    pub reason: String,
    /// The backend server's status where it answered.
    pub status: u16,
    /// The backend server that answered.
    pub server: String,
    /// Every try in order.
    pub tries: Vec<Try>,
    /// What is wrong with the answer, if anything.
    pub fault: Option<AnswerFault>,
    /// When it was due, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// From when it was due to its end, in microseconds.
    pub latency_us: u64,
    /// The length of the answer's body in bytes.
    pub body_bytes: usize,
}

/// Checks a whole answer of the stand-in against the request that it is for.
#[must_use]
pub(crate) fn check(body: &[u8], tries: &[Try], key: &str) -> (String, Option<AnswerFault>) {
    let Ok(answer) = serde_json::from_slice::<backend::ResponseBody>(body) else {
        return (String::new(), Some(AnswerFault::NotWhole));
    };
    let own = tries.iter().any(|own| own.request_id == answer.request_id);
    let fault = if !answer.is_intact() {
        Some(AnswerFault::NotWhole)
    } else if !own || answer.idempotency_key != key {
        Some(AnswerFault::CrossedBody)
    } else {
        None
    };
    (answer.server, fault)
}

//! Name, slots and service time of a backend server, as given on the command line or in a file.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let spec: backend::ServerSpec = "rider-desk-sask-a-1:6".parse()?;
//! assert_eq!((spec.slots, spec.service_ms), (6, 20));
//! # Ok::<(), backend::ParseServerSpecError>(())
//! ```

use core::str::FromStr;

use serde::Deserialize;

/// The mean service time if the specification gives none, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 20;

/// The specification of one backend server, in text `NAME:SLOTS` or `NAME:SLOTS:SERVICE_MS`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// The name, unique within the process.
    pub name: String,
    /// The number of requests that the server can run at once.
    pub slots: u32,
    /// The mean service time of a request, in milliseconds; each request varies by up to half.
    #[serde(default = "default_service_ms")]
    pub service_ms: u64,
}

const fn default_service_ms() -> u64 {
    DEFAULT_SERVICE_MS
}

/// An error in the specification of a server.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseServerSpecError {
    /// {0:?} is not a server specification; write NAME:SLOTS or NAME:SLOTS:SERVICE_MS
    Form(String),
    /// {0:?} is not a number in range; write slots and service time as whole numbers
    Number(String),
}

impl FromStr for ServerSpec {
    type Err = ParseServerSpecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        let (name, slots, service_ms) = match parts[..] {
            [name, slots] if !name.is_empty() => (name, slots, None),
            [name, slots, service_ms] if !name.is_empty() => (name, slots, Some(service_ms)),
            _ => return Err(ParseServerSpecError::Form(text.to_owned())),
        };
        Ok(Self {
            name: name.to_owned(),
            slots: number(slots)?,
            service_ms: service_ms.map_or(Ok(DEFAULT_SERVICE_MS), number)?,
        })
    }
}

fn number<N: FromStr>(text: &str) -> Result<N, ParseServerSpecError> {
    text.parse()
        .map_err(|_| ParseServerSpecError::Number(text.to_owned()))
}

//! What one backend server of the stand-in is.
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

/// How long a request runs where nothing else is said, in milliseconds.
const SERVICE_MS: u64 = 20;

/// The name, slots and service time of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// The name, unique within the process.
    pub name: String,
    /// How many requests it can run at once.
    pub slots: u32,
    /// How long a request runs in the middle, in milliseconds; each varies by half around it.
    #[serde(default = "default_service_ms")]
    pub service_ms: u64,
}

const fn default_service_ms() -> u64 {
    SERVICE_MS
}

/// Why a text is no server.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseServerSpecError {
    /// {0:?} is no server; write NAME:SLOTS or NAME:SLOTS:SERVICE_MS
    Form(String),
    /// {0:?} is no number; write slots and service time as whole numbers
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
            service_ms: service_ms.map_or(Ok(SERVICE_MS), number)?,
        })
    }
}

fn number<N: FromStr>(text: &str) -> Result<N, ParseServerSpecError> {
    text.parse()
        .map_err(|_| ParseServerSpecError::Number(text.to_owned()))
}

//! What load to make.
//!
//! ```
//! use damaskvane_bench::load;
//!
//! assert_eq!(load::LoadSettings::default().write_percent, 30);
//! ```

use std::net;

/// What load to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSettings {
    /// Entry instances for the first look-ups; client N starts with the Nth.
    pub entries: Vec<net::SocketAddr>,
    /// The services, taken in turn.
    pub services: Vec<String>,
    /// Requests a second.
    pub rate: u64,
    /// How long.
    pub seconds: u64,
    /// How many requests of a hundred are non-repeatable.
    pub write_percent: u32,
    /// How many clients, each with its own cache of look-ups.
    pub clients: usize,
    /// Beginnings of the client blocks' names, taken in turn; client N is `{prefix}-{N}`.
    pub client_prefixes: Vec<String>,
    /// The time for a request with all its tries, in milliseconds.
    pub deadline_ms: u64,
    /// How long a request runs, in milliseconds; the stand-in's own time where none.
    pub service_ms: Option<u64>,
    /// How many bytes of padding an answer has.
    pub answer_bytes: u64,
    /// The seed of the mix.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            services: vec!["rider-desk".to_owned()],
            rate: 200,
            seconds: 10,
            write_percent: 30,
            clients: 20,
            client_prefixes: vec!["client".to_owned()],
            deadline_ms: 2_000,
            service_ms: None,
            answer_bytes: 0,
            seed: 1,
        }
    }
}

impl LoadSettings {
    /// How many requests that makes.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.rate * self.seconds
    }

    /// The client block of client `number`.
    #[must_use]
    pub fn client(&self, number: usize) -> String {
        let prefixes = &self.client_prefixes;
        let prefix = prefixes.get(number % prefixes.len().max(1));
        format!("{}-{number}", prefix.map_or("client", String::as_str))
    }

    /// Path and query of each request.
    #[must_use]
    pub fn path(&self) -> String {
        let bytes = self.answer_bytes;
        match self.service_ms {
            Some(ms) => format!("/work?bytes={bytes}&ms={ms}"),
            None => format!("/work?bytes={bytes}"),
        }
    }
}

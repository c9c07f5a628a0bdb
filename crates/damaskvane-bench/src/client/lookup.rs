//! Look-up answers and their cache.
//!
//! ```
//! use damaskvane_bench::client;
//!
//! let cache = client::LookupCache::default();
//! assert!(cache.get("rider-desk", std::time::Instant::now()).is_none());
//! ```

use std::collections::HashMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;

/// An entry instance out of a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Where to send requests.
    pub address: net::SocketAddr,
    /// Its name.
    pub instance: String,
    /// Which life of it.
    pub incarnation: u64,
}

impl Entry {
    /// The home that a first try to it has.
    #[must_use]
    pub fn home(&self) -> String {
        format!("{}/{}", self.instance, self.incarnation)
    }
}

/// A look-up's answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LookupAnswer {
    /// The entry instances in order of preference.
    pub entries: Vec<Entry>,
    /// How long it may be used, in milliseconds.
    pub ttl_ms: u64,
    /// The configuration that it comes from.
    pub config_version: u64,
}

/// Answers by service, kept for their time to live and no longer.
#[derive(Debug, Default)]
pub struct LookupCache {
    answers: Mutex<HashMap<String, (Instant, Arc<LookupAnswer>)>>,
}

impl LookupCache {
    /// The cached answer, unless it is too old.
    #[must_use]
    pub fn get(&self, service: &str, now: Instant) -> Option<Arc<LookupAnswer>> {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let (until, answer) = answers.get(service)?;
        (now < *until).then(|| Arc::clone(answer))
    }

    /// Keeps an answer that was asked for at `asked`.
    pub fn put(&self, service: &str, asked: Instant, answer: Arc<LookupAnswer>) {
        let until = asked + Duration::from_millis(answer.ttl_ms);
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(service.to_owned(), (until, answer));
    }

    /// Forgets an answer that turned out wrong.
    pub fn forget(&self, service: &str) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.remove(service);
    }
}

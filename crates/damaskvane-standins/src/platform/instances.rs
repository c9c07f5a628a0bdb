//! The platform's lagging list of instances.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use damaskvane_standins::platform;
//!
//! let mut list = platform::InstanceList::new(Duration::from_secs(2));
//! let start = Instant::now();
//! list.note("sask-a-1", Some(serde_json::json!({"leaving": false})), start);
//! assert!(list.at(start).is_empty());
//! assert_eq!(list.at(start + Duration::from_secs(2)).len(), 1);
//! ```

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

/// What instances announced, shown with a delay.
#[derive(Debug)]
pub struct InstanceList {
    lag: Duration,
    announced: BTreeMap<String, Vec<(Instant, Option<Value>)>>,
}

impl InstanceList {
    /// A list that lags by so much.
    #[must_use]
    pub const fn new(lag: Duration) -> Self {
        Self {
            lag,
            announced: BTreeMap::new(),
        }
    }

    /// Notes what an instance announced, or that it is gone.
    pub fn note(&mut self, instance: &str, value: Option<Value>, now: Instant) {
        let lag = self.lag;
        let history = self.announced.entry(instance.to_owned()).or_default();
        let shown = history.partition_point(|(at, _)| *at + lag <= now);
        history.drain(..shown.saturating_sub(1));
        history.push((now, value));
    }

    /// The list as it is shown at a time.
    #[must_use]
    pub fn at(&self, now: Instant) -> Vec<Value> {
        self.announced
            .values()
            .filter_map(|history| self.shown(history, now))
            .collect()
    }

    fn shown(&self, history: &[(Instant, Option<Value>)], now: Instant) -> Option<Value> {
        history
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now)
            .and_then(|(_, value)| value.clone())
    }
}

//! The platform's list of instances, which shows announcements after a lag.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use damaskvane_standins::platform;
//!
//! let mut list = platform::InstanceList::new(Duration::from_secs(2));
//! let start = Instant::now();
//! list.record("sask-a-1", Some(serde_json::json!({"leaving": false})), start);
//! assert!(list.visible_at(start).is_empty());
//! assert_eq!(list.visible_at(start + Duration::from_secs(2)).len(), 1);
//! ```

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

/// The announcements of instances, each visible after the configured lag.
#[derive(Debug)]
pub struct InstanceList {
    lag: Duration,
    announced: BTreeMap<String, Vec<(Instant, Option<Value>)>>,
}

impl InstanceList {
    /// Creates an empty list; announcements and removals become visible after `lag`.
    #[must_use]
    pub const fn new(lag: Duration) -> Self {
        Self {
            lag,
            announced: BTreeMap::new(),
        }
    }

    /// Records the announcement of an instance, or its removal if `value` is `None`.
    pub fn record(&mut self, instance: &str, value: Option<Value>, now: Instant) {
        let lag = self.lag;
        let history = self.announced.entry(instance.to_owned()).or_default();
        let visible_count = history.partition_point(|(recorded_at, _)| *recorded_at + lag <= now);
        history.drain(..visible_count.saturating_sub(1));
        history.push((now, value));
    }

    /// Returns the announcements that are visible at `now`, ordered by the instance's name.
    #[must_use]
    pub fn visible_at(&self, now: Instant) -> Vec<Value> {
        self.announced
            .values()
            .filter_map(|history| self.visible_value(history, now))
            .collect()
    }

    fn visible_value(&self, history: &[(Instant, Option<Value>)], now: Instant) -> Option<Value> {
        history
            .iter()
            .rev()
            .find(|(recorded_at, _)| *recorded_at + self.lag <= now)
            .and_then(|(_, value)| value.clone())
    }
}

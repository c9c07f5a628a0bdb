//! The declaration of a set of client blocks.
//!
//! A client block is a named group of clients.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! let range = declaration::BlockRange { prefix: "sask-".into(), first: 0, last: 39, digits: 3 };
//! assert!(range.contains("sask-017"));
//! assert!(!range.contains("sask-040"));
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

use crate::declaration::block_names::BlockNames;

/// Client blocks whose names differ only in a number, from `first` to `last` inclusive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRange {
    /// The text before the number, equal in all names.
    pub prefix: String,
    /// The lowest number.
    pub first: u32,
    /// The highest number.
    pub last: u32,
    /// The minimum number of digits, padded with zeros on the left; 0 pads nothing.
    #[serde(default)]
    pub digits: u8,
}

impl BlockRange {
    /// Returns whether the range contains a name.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        let Some(digits) = name.strip_prefix(self.prefix.as_str()) else {
            return false;
        };
        let Ok(number) = digits.parse::<u32>() else {
            return false;
        };
        let width = usize::from(self.digits);
        (self.first..=self.last).contains(&number) && format!("{number:0width$}") == digits
    }

    /// Returns the names in the range, ordered by number.
    pub fn names(&self) -> impl Iterator<Item = String> + '_ {
        let width = usize::from(self.digits);
        (self.first..=self.last).map(move |number| format!("{}{number:0width$}", self.prefix))
    }
}

/// Client blocks with the same delays to the availability zones, stored as one object in one chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientBlocks {
    /// The zone nearest to these clients.
    pub near: ids::AvailabilityZoneId,
    /// The blocks that are declared by name.
    #[serde(default)]
    pub names: BlockNames,
    /// The blocks that are declared as ranges of numbers.
    #[serde(default)]
    pub ranges: Vec<BlockRange>,
    /// One-way delay from the clients to each zone, in milliseconds; unknown delays are absent.
    #[serde(default)]
    pub latency_ms: BTreeMap<ids::AvailabilityZoneId, time::SpanMs>,
}

impl ClientBlocks {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &["near", "names", "ranges", "latency_ms"];

    /// Returns whether the set contains a client block.
    #[must_use]
    pub fn contains(&self, block: &ids::ClientBlock) -> bool {
        self.names.contains(block.as_str())
            || self
                .ranges
                .iter()
                .any(|range| range.contains(block.as_str()))
    }
}

//! Sets of client blocks.
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

/// Client blocks whose names differ by a number only, from `first` to `last` inclusive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRange {
    /// The text before the number.
    pub prefix: String,
    /// The first number.
    pub first: u32,
    /// The last number.
    pub last: u32,
    /// The number's digits, filled with zeros from the left; 0 fills nothing.
    #[serde(default)]
    pub digits: u8,
}

impl BlockRange {
    /// Whether a name lies in the range.
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

    /// The names of the range, in order of their numbers.
    pub fn names(&self) -> impl Iterator<Item = String> + '_ {
        let width = usize::from(self.digits);
        (self.first..=self.last).map(move |number| format!("{}{number:0width$}", self.prefix))
    }
}

/// Client blocks with the same distances to the availability zones; one object is one chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientBlocks {
    /// The zone nearest to these clients.
    pub near: ids::AvailabilityZoneId,
    /// Blocks by name.
    #[serde(default)]
    pub names: BlockNames,
    /// Blocks by number.
    #[serde(default)]
    pub ranges: Vec<BlockRange>,
    /// Delay one way from the clients to zones, where it is known.
    #[serde(default)]
    pub latency_ms: BTreeMap<ids::AvailabilityZoneId, time::SpanMs>,
}

impl ClientBlocks {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &["near", "names", "ranges", "latency_ms"];

    /// Whether a client block belongs to the set.
    #[must_use]
    pub fn contains(&self, block: &ids::ClientBlock) -> bool {
        self.names.contains(block.as_str())
            || self
                .ranges
                .iter()
                .any(|range| range.contains(block.as_str()))
    }
}

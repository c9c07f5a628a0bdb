//! A compact set of client block names.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! let names: declaration::BlockNames = ["b-7", "a-1"].into_iter().collect();
//! assert!(names.contains("a-1"));
//! assert_eq!(names.iter().collect::<Vec<_>>(), ["a-1", "b-7"]);
//! ```

use core::fmt;
use std::sync::Arc;

use damaskvane_core::ids;
use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A sorted set of names, stored in one text.
///
/// A list of strings would need about 40 bytes per name in addition to the name; this set needs 4.
/// Clones share the memory, so that two versions of the configuration store the names once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockNames {
    text: Arc<str>,
    /// The end of each name, as a byte offset in the text.
    ends: Arc<[u32]>,
}

impl Default for BlockNames {
    fn default() -> Self {
        Self {
            text: "".into(),
            ends: [].into(),
        }
    }
}

impl BlockNames {
    /// Returns the number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether the set has no names.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the names in sorted order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).map(|index| self.name(index))
    }

    /// Returns whether the set contains a name.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        let (mut low, mut high) = (0, self.len());
        while low < high {
            let middle = usize::midpoint(low, high);
            match self.name(middle).cmp(name) {
                core::cmp::Ordering::Less => low = middle + 1,
                core::cmp::Ordering::Equal => return true,
                core::cmp::Ordering::Greater => high = middle,
            }
        }
        false
    }

    fn name(&self, index: usize) -> &str {
        let end = |index: usize| self.ends.get(index).map_or(0, |end| *end as usize);
        let start = index.checked_sub(1).map_or(0, end);
        self.text.get(start..end(index)).unwrap_or_default()
    }
}

impl<'a> FromIterator<&'a str> for BlockNames {
    fn from_iter<I: IntoIterator<Item = &'a str>>(names: I) -> Self {
        let mut names: Vec<&str> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        let mut text = String::new();
        let mut ends = Vec::with_capacity(names.len());
        for name in names {
            // One object has at most a megabyte, so its offsets always fit into 32 bits.
            let Ok(end) = u32::try_from(text.len() + name.len()) else {
                break;
            };
            text.push_str(name);
            ends.push(end);
        }
        Self {
            text: text.into(),
            ends: ends.into(),
        }
    }
}

impl Serialize for BlockNames {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for BlockNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(NamesVisitor)
    }
}

struct NamesVisitor;

impl<'de> Visitor<'de> for NamesVisitor {
    type Value = BlockNames;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of client blocks")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut names = Vec::new();
        while let Some(name) = seq.next_element::<String>()? {
            let valid = name.parse::<ids::ClientBlock>();
            valid.map_err(de::Error::custom)?;
            names.push(name);
        }
        Ok(names.iter().map(String::as_str).collect())
    }
}

//! Maps each client block to its nearest zone, in a compact table for millions of blocks.
//!
//! A client block is a group of clients that the configuration declares with their nearest zone.
//!
//! ```
//! use std::sync::Arc;
//!
//! use damaskvane_config::state;
//! use damaskvane_entry::serving;
//!
//! let none = serving::ClientZones::default();
//! let zones = none.with_config(&Arc::new(state::ConfigState::default()));
//! assert!(zones.nearest_zone(&"c-1".parse()?).is_none());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use damaskvane_config::{declaration, object, state};
use damaskvane_core::ids;
use damaskvane_steering::blocks;

type Change = (blocks::BlockKey, Option<blocks::Class>);

/// Nearest zone of each declared client block.
#[derive(Debug, Default)]
pub struct ClientZones {
    table: blocks::BlockTable,
    zones: Vec<ids::AvailabilityZoneId>,
    config: Arc<state::ConfigState>,
}

impl ClientZones {
    /// Returns the zone nearest to a client block, or none if the block is not declared.
    #[must_use]
    pub fn nearest_zone(&self, client: &ids::ClientBlock) -> Option<&ids::AvailabilityZoneId> {
        let class = self.table.class(blocks::BlockKey::name(client))?;
        self.zones.get(usize::from(class.get()))
    }

    /// Returns the number of declared blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no block is declared.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the table for a later configuration.
    ///
    /// Only changed sets of blocks are processed; the configuration declares blocks in sets. Unchanged
    /// parts of the table are shared with this table, which lookups use in the meantime.
    #[must_use]
    pub fn with_config(&self, config: &Arc<state::ConfigState>) -> Self {
        let mut zones = self.zones.clone();
        let mut removed: Vec<Change> = Vec::new();
        let mut added: Vec<Change> = Vec::new();
        for name in block_set_names(&self.config, config) {
            let old = self.config.client_blocks().get(name);
            let new = config.client_blocks().get(name);
            if old == new {
                continue;
            }
            removed.extend(old.into_iter().flat_map(block_keys).map(|key| (key, None)));
            if let Some(new) = new {
                let class = class_for_zone(&mut zones, &new.near);
                added.extend(block_keys(new).map(|key| (key, Some(class))));
            }
        }
        // A block may move from one set to another, so additions come last and override removals.
        removed.extend(added);
        Self {
            table: self.table.with_changes(removed),
            zones,
            config: Arc::clone(config),
        }
    }
}

fn block_set_names<'a>(
    old: &'a state::ConfigState,
    new: &'a state::ConfigState,
) -> BTreeSet<&'a object::ObjectName> {
    old.client_blocks()
        .keys()
        .chain(new.client_blocks().keys())
        .collect()
}

fn block_keys(blocks: &declaration::ClientBlocks) -> impl Iterator<Item = blocks::BlockKey> + '_ {
    let named = blocks.names.iter().map(ToOwned::to_owned);
    let ranged = blocks
        .ranges
        .iter()
        .flat_map(declaration::BlockRange::names);
    named
        .chain(ranged)
        .filter_map(|name| name.parse().ok())
        .map(|block| blocks::BlockKey::name(&block))
}

/// Returns the class of a zone, which is its index in `zones`, and appends the zone if it is new. Classes
/// are never reassigned: a zone keeps its class through all configurations of a process.
fn class_for_zone(
    zones: &mut Vec<ids::AvailabilityZoneId>,
    zone: &ids::AvailabilityZoneId,
) -> blocks::Class {
    let known = zones.iter().position(|known| known == zone);
    let index = known.unwrap_or_else(|| {
        zones.push(zone.clone());
        zones.len() - 1
    });
    blocks::Class::new(u8::try_from(index).unwrap_or(u8::MAX))
}

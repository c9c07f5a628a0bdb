//! The seeds: peers that send the list of instances to an instance that starts during an outage of the platform.
//!
//! ```
//! use damaskvane_entry::peers;
//!
//! let seeds = peers::Seeds::parse("sask-a-1@127.0.0.1:7101, mb-a-1@127.0.0.1:7102")?;
//! assert_eq!(seeds.book().instances().count(), 2);
//! assert!(peers::Seeds::parse("127.0.0.1:7101").is_err());
//! # Ok::<(), peers::ParseSeedError>(())
//! ```

use damaskvane_core::ids;
use damaskvane_peer::address;

use crate::peers::address_book::AddressBook;

/// {0:?} is not a valid seed; write instance@address, with commas between several seeds
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseSeedError(String);

/// Seeds with their peer addresses, in the order of the setting.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seeds(Vec<(ids::InstanceId, address::PeerAddress)>);

impl Seeds {
    /// Parses the value of the settings key `seed_peers`. An empty text gives no seeds.
    ///
    /// # Errors
    ///
    /// Fails on an entry that is not `instance@address`; the error names the first such entry.
    pub fn parse(text: &str) -> Result<Self, ParseSeedError> {
        text.split(',')
            .map(str::trim)
            .filter(|entry| !entry.is_empty())
            .map(parse_entry)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// Returns the seeds as an address book.
    #[must_use]
    pub fn book(&self) -> AddressBook {
        let mut book = AddressBook::default();
        for (instance, address) in &self.0 {
            book.insert(instance.clone(), *address);
        }
        book
    }
}

fn parse_entry(entry: &str) -> Result<(ids::InstanceId, address::PeerAddress), ParseSeedError> {
    let error = || ParseSeedError(entry.to_owned());
    let (instance, address) = entry.split_once('@').ok_or_else(error)?;
    let instance = instance.parse().map_err(|_| error())?;
    let address = address.parse().map_err(|_| error())?;
    Ok((instance, address))
}

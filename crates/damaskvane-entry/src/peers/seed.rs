//! Instances that a starting one asks while the platform is down.
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

/// {0:?} is no seed; write instance@address, several with commas between them
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseSeedError(String);

/// Instances that a starting one asks for the list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seeds(Vec<(ids::InstanceId, address::PeerAddress)>);

impl Seeds {
    /// Reads the settings key `seed_peers`; an empty text names none.
    ///
    /// # Errors
    ///
    /// Names the entry that can't be read.
    pub fn parse(text: &str) -> Result<Self, ParseSeedError> {
        text.split(',')
            .map(str::trim)
            .filter(|entry| !entry.is_empty())
            .map(parse_one)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    /// The seeds as an address book.
    #[must_use]
    pub fn book(&self) -> AddressBook {
        let mut book = AddressBook::default();
        for (instance, address) in &self.0 {
            book.insert(instance.clone(), *address);
        }
        book
    }
}

fn parse_one(entry: &str) -> Result<(ids::InstanceId, address::PeerAddress), ParseSeedError> {
    let error = || ParseSeedError(entry.to_owned());
    let (instance, address) = entry.split_once('@').ok_or_else(error)?;
    let instance = instance.parse().map_err(|_| error())?;
    let address = address.parse().map_err(|_| error())?;
    Ok((instance, address))
}

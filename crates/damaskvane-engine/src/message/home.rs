//! The one instance that may dispatch a non-repeatable request.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! assert!("sask-a-1".parse::<message::Home>().is_err());
//! ```

use core::fmt;
use core::str;

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

/// An instance in one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Home {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
}

/// a home reads instance/incarnation, as a look-up answers it; {0:?} does not
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseHomeError(String);

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

impl str::FromStr for Home {
    type Err = ParseHomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseHomeError(text.to_owned());
        let (instance, incarnation) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            instance: instance.parse().map_err(|_| error())?,
            incarnation: incarnation.parse().map_err(|_| error())?,
        })
    }
}

//! The name of a home: an entry instance and its incarnation, that is, one start or renewal of the instance.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! let home: home::Home = "sask-a-1/3".parse()?;
//! assert_eq!(home.to_string(), "sask-a-1/3");
//! # Ok::<(), home::ParseHomeError>(())
//! ```

use core::fmt;
use core::str;

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

/// The instance and incarnation that alone may dispatch an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Home {
    /// The entry instance.
    pub instance: ids::InstanceId,
    /// The incarnation, which changes with each restart or renewal of the instance.
    pub incarnation: ids::Incarnation,
}

/// {text:?} is no home; write instance/incarnation as the look-up answered them
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseHomeError {
    text: String,
}

impl Home {
    /// Returns the home of an instance's incarnation.
    #[must_use]
    pub const fn new(instance: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self {
            instance,
            incarnation,
        }
    }
}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

impl str::FromStr for Home {
    type Err = ParseHomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseHomeError {
            text: text.to_owned(),
        };
        let (instance, incarnation) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            instance: instance.parse().map_err(|_| error())?,
            incarnation: incarnation.parse().map_err(|_| error())?,
        })
    }
}

//! Identifiers that are short texts.
//!
//! ```
//! use damaskvane_core::ids;
//!
//! let id: ids::InstanceId = "sask-a-1".parse()?;
//! assert_eq!(id.as_str(), "sask-a-1");
//! # Ok::<(), ids::ParseIdError>(())
//! ```

use core::fmt;
use core::str;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::error::ParseIdError;

const MAX_LENGTH: usize = 64;

const fn is_allowed(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '-' | '_' | '.')
}

fn check(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() || text.len() > MAX_LENGTH {
        return Err(ParseIdError::Length {
            kind,
            length: text.len(),
        });
    }
    match text.chars().find(|character| !is_allowed(*character)) {
        Some(character) => Err(ParseIdError::Character { kind, character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The text of the identifier.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.as_str().to_owned()
            }
        }
    };
}

text_id!(
    /// An availability zone, for instance `sask-a`.
    AvailabilityZoneId,
    "availability zone"
);
text_id!(
    /// A backend server, for instance `rider-desk-sask-a-1`.
    BackendServerId,
    "backend server"
);
text_id!(
    /// A block of clients that are steered alike.
    ClientBlock,
    "client block"
);
text_id!(
    /// The client's own name for one non-repeatable request, equal on every try.
    IdempotencyKey,
    "idempotency key"
);
text_id!(
    /// An entry instance, for instance `sask-a-1`.
    InstanceId,
    "instance"
);
text_id!(
    /// A region, for instance `sask`.
    RegionId,
    "region"
);
text_id!(
    /// One try of one request, for logs and for matching an answer to its request.
    RequestId,
    "request"
);
text_id!(
    /// A service, for instance `rider-desk`.
    ServiceId,
    "service"
);
text_id!(
    /// A site that look-ups steer to: the entry instances of one availability zone.
    SiteId,
    "site"
);

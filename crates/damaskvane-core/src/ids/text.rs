//! Text identifiers.
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

fn validate(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
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
            /// Returns the identifier as text.
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
                validate($kind, text)?;
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
    /// Identifies an availability zone, for instance `sask-a`.
    AvailabilityZoneId,
    "availability zone"
);
text_id!(
    /// Identifies a backend server, for instance `rider-desk-sask-a-1`.
    BackendServerId,
    "backend server"
);
text_id!(
    /// Identifies a block of clients whose traffic is steered in the same way.
    ClientBlock,
    "client block"
);
text_id!(
    /// Identifies a non-idempotent request; chosen by the client and the same on every try.
    IdempotencyKey,
    "idempotency key"
);
text_id!(
    /// Identifies an entry instance, for instance `sask-a-1`.
    InstanceId,
    "instance"
);
text_id!(
    /// Identifies a region, for instance `sask`.
    RegionId,
    "region"
);
text_id!(
    /// Identifies one try of a request in logs and when a response is matched to its request.
    RequestId,
    "request"
);
text_id!(
    /// Identifies a service, for instance `rider-desk`.
    ServiceId,
    "service"
);
text_id!(
    /// Identifies a site that lookups direct clients to: the entry instances of one availability
    /// zone.
    SiteId,
    "site"
);

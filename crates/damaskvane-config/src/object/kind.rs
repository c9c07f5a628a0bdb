//! Kinds of configuration objects.
//!
//! ```
//! use damaskvane_config::object;
//!
//! assert_eq!("link".parse(), Ok(object::ObjectKind::Link));
//! ```

use core::fmt;
use core::str;

use crate::object::error::ParseObjectError;

/// The kind of thing that an object declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectKind {
    /// A region.
    Region,
    /// An availability zone of a region.
    AvailabilityZone,
    /// A service with its timeouts and limits.
    Service,
    /// A backend server of a service.
    BackendServer,
    /// The link from one region to another.
    Link,
    /// A set of client blocks with the same delays to the availability zones.
    ClientBlocks,
    /// A site that lookups direct clients to.
    Site,
    /// A planned move of traffic between two availability zones.
    Shift,
}

impl ObjectKind {
    /// Every kind, in the order in which they are listed to operators.
    pub const ALL: [Self; 8] = [
        Self::Region,
        Self::AvailabilityZone,
        Self::Service,
        Self::BackendServer,
        Self::Link,
        Self::ClientBlocks,
        Self::Site,
        Self::Shift,
    ];

    /// Returns the label of the kind in TOML and in object names.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::AvailabilityZone => "availability_zone",
            Self::Service => "service",
            Self::BackendServer => "backend_server",
            Self::Link => "link",
            Self::ClientBlocks => "client_blocks",
            Self::Site => "site",
            Self::Shift => "shift",
        }
    }
}

/// All kinds as a list for error messages.
const KNOWN: &str =
    "region, availability_zone, service, backend_server, link, client_blocks, site, shift";

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl str::FromStr for ObjectKind {
    type Err = ParseObjectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ParseObjectError::Kind(text.to_owned(), KNOWN))
    }
}

//! The state of an object of any kind.
//!
//! ```
//! use damaskvane_config::{declaration, object};
//!
//! let region = declaration::Declaration::Region(declaration::Region::default());
//! assert_eq!(region.kind(), object::ObjectKind::Region);
//! ```

use serde::{Deserialize, Serialize};

use crate::declaration::{
    AvailabilityZone, BackendServer, ClientBlocks, Link, Region, Service, Shift, Site,
};
use crate::object::ObjectKind;

/// The complete state of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Declaration {
    /// A region.
    Region(Region),
    /// An availability zone.
    AvailabilityZone(AvailabilityZone),
    /// A service.
    Service(Service),
    /// A backend server.
    BackendServer(BackendServer),
    /// A link between regions.
    Link(Link),
    /// A set of client blocks, which are named groups of clients.
    ClientBlocks(ClientBlocks),
    /// A site.
    Site(Site),
    /// A planned move of a service's traffic from one availability zone to another.
    Shift(Shift),
}

impl Declaration {
    /// Returns the kind of the object.
    #[must_use]
    pub const fn kind(&self) -> ObjectKind {
        match self {
            Self::Region(_) => ObjectKind::Region,
            Self::AvailabilityZone(_) => ObjectKind::AvailabilityZone,
            Self::Service(_) => ObjectKind::Service,
            Self::BackendServer(_) => ObjectKind::BackendServer,
            Self::Link(_) => ObjectKind::Link,
            Self::ClientBlocks(_) => ObjectKind::ClientBlocks,
            Self::Site(_) => ObjectKind::Site,
            Self::Shift(_) => ObjectKind::Shift,
        }
    }

    /// Returns the keys that are valid in TOML for a kind.
    #[must_use]
    pub const fn keys(kind: ObjectKind) -> &'static [&'static str] {
        match kind {
            ObjectKind::Region => Region::KEYS,
            ObjectKind::AvailabilityZone => AvailabilityZone::KEYS,
            ObjectKind::Service => Service::KEYS,
            ObjectKind::BackendServer => BackendServer::KEYS,
            ObjectKind::Link => Link::KEYS,
            ObjectKind::ClientBlocks => ClientBlocks::KEYS,
            ObjectKind::Site => Site::KEYS,
            ObjectKind::Shift => Shift::KEYS,
        }
    }

    /// Returns the keys that are required in TOML for a kind.
    #[must_use]
    pub const fn required_keys(kind: ObjectKind) -> &'static [&'static str] {
        match kind {
            ObjectKind::Region | ObjectKind::Service => &[],
            ObjectKind::AvailabilityZone => &["region"],
            ObjectKind::BackendServer => BackendServer::REQUIRED_KEYS,
            ObjectKind::Link => Link::KEYS,
            ObjectKind::ClientBlocks => &["near"],
            ObjectKind::Site => Site::KEYS,
            ObjectKind::Shift => Shift::REQUIRED_KEYS,
        }
    }
}

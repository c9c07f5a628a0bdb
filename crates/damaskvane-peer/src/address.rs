//! The address at which an instance listens for its peers: an IP address and a TCP port.
//!
//! ```
//! use damaskvane_peer::address;
//!
//! let address: address::PeerAddress = "127.0.0.1:7101".parse()?;
//! assert_eq!(address.to_string(), "127.0.0.1:7101");
//! # Ok::<(), address::ParseAddressError>(())
//! ```

use core::fmt;
use core::str;
use std::net;

use serde::{Deserialize, Serialize};

/// The IP address and TCP port at which an instance listens for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PeerAddress(net::SocketAddr);

/// {text:?} is not a peer address; write an IP address and a port, for instance 10.0.0.7:7101
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseAddressError {
    /// The text that could not be parsed.
    pub text: String,
}

impl PeerAddress {
    /// Creates a peer address from a socket address.
    #[must_use]
    pub const fn new(address: net::SocketAddr) -> Self {
        Self(address)
    }

    /// Returns the socket address.
    #[must_use]
    pub const fn get(self) -> net::SocketAddr {
        self.0
    }

    pub(crate) fn to_url(self) -> String {
        format!("tcp://{}", self.0)
    }
}

impl fmt::Display for PeerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for PeerAddress {
    type Err = ParseAddressError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseAddressError {
            text: text.to_owned(),
        })
    }
}

impl TryFrom<String> for PeerAddress {
    type Error = ParseAddressError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<PeerAddress> for String {
    fn from(address: PeerAddress) -> Self {
        address.to_string()
    }
}

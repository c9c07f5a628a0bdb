//! Why no tunnel could be opened.

use damaskvane_core::time::SpanMs;
use damaskvane_routing::reachability::TunnelRefusal;

/// Why no tunnel to a backend server could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelError {
    /// No other instance may carry the tunnel.
    NoPeer,
    /// The instance that was asked did not respond, or speaks another version of the protocol.
    PeerSilent,
    /// The instance that was asked did not carry the tunnel.
    Refused(TunnelRefusal),
}

impl TunnelError {
    /// Returns the label for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPeer => "no_peer",
            Self::PeerSilent => "peer_silent",
            Self::Refused(refusal) => refusal.as_str(),
        }
    }

    /// Returns whether the instance that was asked found that the server refuses connections.
    #[must_use]
    pub const fn is_server_refusal(self) -> bool {
        matches!(self, Self::Refused(TunnelRefusal::ServerRefused))
    }

    /// Returns the time for which the server wants no request from the instance that was asked, or `None` if it takes them.
    #[must_use]
    pub const fn rest(self) -> Option<SpanMs> {
        match self {
            Self::Refused(TunnelRefusal::Resting(remaining)) => Some(remaining),
            _ => None,
        }
    }

    /// Returns whether another instance may be able to carry the tunnel.
    #[must_use]
    pub const fn is_of_peer(self) -> bool {
        match self {
            Self::NoPeer => false,
            Self::PeerSilent => true,
            Self::Refused(refusal) => refusal.is_of_peer(),
        }
    }
}

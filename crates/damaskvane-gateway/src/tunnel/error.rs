//! Why no tunnel could be opened.

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

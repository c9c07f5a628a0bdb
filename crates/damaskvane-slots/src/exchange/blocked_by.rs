//! The reasons for which an instance grants no slots of a backend server.
//!
//! A slot is the right to run one request on the server. The server's owner, one of the zone's instances,
//! grants its slots, each for the time of a lease, and only while it has authority, the right to act as an
//! owner. A fence at the platform ends the authority of an instance.

/// The reason for which an instance grants no slots of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum BlockedBy {
    /// the platform's list does not name this instance yet
    NotListed,
    /// instances have not confirmed a heartbeat of this instance, and so may not know it
    Unacknowledged,
    /// no instance may own the backend server: none is known, or all stop as planned
    NoCandidate,
    /// another instance is to grant the slots, and refused the latest request for them
    OwnerRefuses,
    /// instances have not consented to the claim of this instance
    MissingConsent,
    /// neither the platform nor every neighbour confirms this instance, so that its authority has ended
    NoAuthority,
    /// this instance lost contact to an instance that may have fenced it, and must not take servers over
    LostNeighbour,
    /// leases granted by earlier owners may still be in use
    EarlierLeases,
    /// an instance that was fenced or left the platform's list may still act, and its leases be in use
    StoppingInstance,
    /// another instance reported one that may still act, and whose leases may be in use
    ReportedStop,
    /// an instance fenced before the start of this one may still act, and no instance can report it
    UnknownFences,
}

impl BlockedBy {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 11] = [
        Self::NotListed,
        Self::Unacknowledged,
        Self::NoCandidate,
        Self::OwnerRefuses,
        Self::MissingConsent,
        Self::NoAuthority,
        Self::LostNeighbour,
        Self::EarlierLeases,
        Self::StoppingInstance,
        Self::ReportedStop,
        Self::UnknownFences,
    ];

    /// Returns the word for counters, log lines and the status page.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotListed => "not_listed",
            Self::Unacknowledged => "unacknowledged",
            Self::NoCandidate => "no_candidate",
            Self::OwnerRefuses => "owner_refuses",
            Self::MissingConsent => "missing_consent",
            Self::NoAuthority => "no_authority",
            Self::LostNeighbour => "lost_neighbour",
            Self::EarlierLeases => "earlier_leases",
            Self::StoppingInstance => "stopping_instance",
            Self::ReportedStop => "reported_stop",
            Self::UnknownFences => "unknown_fences",
        }
    }

    /// Returns whether the reason holds an instance that is to grant the slots: the one to which the hash
    /// assigns the backend server, its claimant or its owner. The time of these reasons is counted.
    #[must_use]
    pub const fn is_of_owner(self) -> bool {
        !matches!(self, Self::NoCandidate | Self::OwnerRefuses)
    }
}

//! Messages between the instances of a zone about the slots of its backend servers.
//!
//! A slot is the right to run one request on a backend server. The server's owner, one of the instances,
//! grants slots to holders for a limited time, the lease, and records the grants in its ledger. An instance
//! that is to become the owner sends a claim to the others. An incarnation is one start of an instance's
//! process.
//!
//! Any message may be lost, and a grant or a return may be on its way while a claim changes the owner. Safety
//! depends on no message: a lease that is not renewed expires.
//!
//! ```
//! use damaskvane_core::units;
//! use damaskvane_slots::message;
//!
//! let acquire = message::SlotMessage::Acquire {
//!     server: "rider-desk-1".parse()?,
//!     number: message::GrantNumber::new(1),
//!     slots: units::Slots::new(2),
//! };
//! assert_eq!(acquire.kind(), "slot_acquire");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time, units};
use serde::{Deserialize, Serialize};

/// The number of an acquire request, and of the grant that responds to it.
///
/// The number is unique within one incarnation of the holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantNumber(u64);

impl GrantNumber {
    /// Creates a grant number from an integer.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies a grant among all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// The instance that holds the granted slots.
    #[serde(rename = "h")]
    pub holder: ids::InstanceId,
    /// The incarnation of the holder that sent the acquire request.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The number of the acquire request.
    #[serde(rename = "n")]
    pub number: GrantNumber,
}

/// A grant as its holder reports it to an instance that claims the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The number of the grant.
    #[serde(rename = "n")]
    pub number: GrantNumber,
    /// The number of slots of the grant, without returned ones.
    #[serde(rename = "s")]
    pub slots: units::Slots,
    /// Time until the lease expires on the holder's clock.
    #[serde(rename = "l")]
    pub remaining_ms: time::SpanMs,
}

/// A grant in the ledger that an owner sends to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The holder and the number of the grant.
    #[serde(rename = "k")]
    pub key: GrantKey,
    /// The number of slots of the grant, without returned ones.
    #[serde(rename = "s")]
    pub slots: units::Slots,
    /// Time until the grant expires on the clock of the owner that sends the ledger.
    #[serde(rename = "l")]
    pub remaining_ms: time::SpanMs,
}

/// An incarnation that may not know of its replacement, as an instance reports it to a claimant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReport {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: ids::InstanceId,
    /// The incarnation that was fenced or dropped from the platform's list, or that has ended.
    #[serde(rename = "n")]
    pub incarnation: ids::Incarnation,
    /// Time until the incarnation has certainly stopped; zero if it has.
    #[serde(rename = "w")]
    pub wait_ms: time::SpanMs,
}

/// What the next owner of a backend server has to wait for, as far as the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// Time for which grants and requests that the sender does not report may be in use.
    #[serde(rename = "w")]
    pub wait_ms: time::SpanMs,
    /// Incarnations whose grants and requests expire only after they have stopped.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<StopReport>,
}

/// The ledger of an owner, which it sends to the next owner in its consent to the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The grants that have not expired.
    pub entries: Vec<LedgerEntry>,
    /// How long grants of an earlier owner that are not in the ledger may be in use; zero if there are none.
    ///
    /// Not zero if the sender still waits. Such a ledger is incomplete, and the sender has not had all others'
    /// consent to grant slots, so that another instance may be an owner as well.
    pub wait_ms: time::SpanMs,
    /// The parts of that wait, which proofs can shorten; `None` from a sender that knows only its length.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<WaitReport>,
}

/// Why an instance refuses to grant or renew slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The instance does not own the backend server.
    NotOwner,
    /// The instance is claiming the server, or waits for an earlier owner's grants to expire.
    Waiting,
    /// The authority of the instance (its right to act as an owner) has expired, so another instance may have
    /// replaced it.
    NoAuthority,
    /// The grant to renew is not in the ledger, or exceeds the server's slots after their number was lowered.
    UnknownGrant,
}

impl RefusalReason {
    /// Returns the label for metrics and the status page.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Waiting => "owner-waiting",
            Self::NoAuthority => "no-authority",
            Self::UnknownGrant => "unknown-grant",
        }
    }
}

/// One message about one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Requests slots from the owner, which grants them once slots are free, or refuses.
    Acquire {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the request.
        number: GrantNumber,
        /// The maximum number of slots to grant.
        slots: units::Slots,
    },
    /// Grants slots to the recipient; the lease begins when the recipient sent its acquire request.
    Granted {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the acquire request.
        number: GrantNumber,
        /// The number of granted slots.
        slots: units::Slots,
        /// The length of the lease.
        lease_ms: time::SpanMs,
    },
    /// Refuses to grant slots or to renew a grant.
    Refused {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the acquire request, or of the grant to renew.
        number: GrantNumber,
        /// The reason of the refusal.
        reason: RefusalReason,
        /// The time after which the recipient may request slots again.
        retry_after_ms: time::SpanMs,
    },
    /// Requests that the owner extend the lease of a grant.
    Renew {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the grant.
        number: GrantNumber,
        /// Distinguishes this renewal request from earlier ones for the same grant.
        attempt: u32,
    },
    /// Renews a grant; the new lease begins when the recipient sent its renewal request.
    Renewed {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the grant.
        number: GrantNumber,
        /// The attempt of the renewal request that this message responds to.
        attempt: u32,
        /// The length of the lease.
        lease_ms: time::SpanMs,
    },
    /// Returns slots of a grant to the owner.
    Return {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the grant.
        number: GrantNumber,
        /// The number of the grant's slots that the sender keeps.
        remaining: units::Slots,
    },
    /// Requests the return of held slots on which no request runs, and limits the recipient's slots for a
    /// while.
    ///
    /// The owner sends this message while acquire requests wait for slots.
    Recall {
        /// The backend server.
        server: ids::BackendServerId,
        /// The maximum number of slots that the recipient may keep.
        keep: units::Slots,
    },
    /// Requests consent to the sender's ownership of the backend server.
    Claim {
        /// The backend server.
        server: ids::BackendServerId,
        /// Distinguishes this claim from earlier ones of the sender.
        claim: u64,
    },
    /// Consents to a claim: the sender isn't the owner any more, and accepts grants from the claimant only.
    Consent {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the claim.
        claim: u64,
        /// The leases that the sender holds.
        leases: Vec<HeldLease>,
        /// The ledger, if the sender was the owner and its authority had not expired.
        ledger: Option<LedgerHandover>,
        /// How long instances that may not know of their replacement may still grant or use slots.
        ///
        /// These are instances that, as far as the sender knows, were fenced (another instance revoked their
        /// authority) or dropped from the platform's list.
        #[serde(default)]
        wait_ms: time::SpanMs,
        /// The parts of that wait; `None` from a sender that knows only its length.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait: Option<WaitReport>,
    },
    /// Declines a claim, because by the sender's list of instances another one than the claimant is to own
    /// the server.
    Decline {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the claim.
        claim: u64,
    },
}

/// A message for one incarnation of an instance.
///
/// A message can be delayed while its recipient restarts. The next incarnation numbers its acquire requests
/// and claims from the start, and would take an old response for a new one. It therefore drops messages for
/// other incarnations of its instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressedMessage {
    /// The incarnation of the recipient.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The message.
    #[serde(rename = "m")]
    pub message: SlotMessage,
}

impl SlotMessage {
    /// Returns the label under which messages of this kind are counted.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Acquire { .. } => "slot_acquire",
            Self::Granted { .. } => "slot_granted",
            Self::Refused { .. } => "slot_refused",
            Self::Renew { .. } => "slot_renew",
            Self::Renewed { .. } => "slot_renewed",
            Self::Return { .. } => "slot_return",
            Self::Recall { .. } => "slot_recall",
            Self::Claim { .. } => "slot_claim",
            Self::Consent { .. } => "slot_consent",
            Self::Decline { .. } => "slot_decline",
        }
    }

    /// Returns the backend server whose slots the message concerns.
    #[must_use]
    pub const fn server(&self) -> &ids::BackendServerId {
        match self {
            Self::Acquire { server, .. }
            | Self::Granted { server, .. }
            | Self::Refused { server, .. }
            | Self::Renew { server, .. }
            | Self::Renewed { server, .. }
            | Self::Return { server, .. }
            | Self::Recall { server, .. }
            | Self::Claim { server, .. }
            | Self::Consent { server, .. }
            | Self::Decline { server, .. } => server,
        }
    }
}

//! What instances say to each other about slots.
//!
//! Any of these may be lost, and a grant or a return may cross a claim. No message is needed for safety:
//! what is not answered lapses.
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

/// Numbers the asks of one start of an instance; a grant has the number of its ask.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantNumber(u64);

impl GrantNumber {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Names a grant for all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// Who borrowed.
    #[serde(rename = "h")]
    pub holder: ids::InstanceId,
    /// Which start of the holder it was.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The number of the ask.
    #[serde(rename = "n")]
    pub number: GrantNumber,
}

/// A grant as its holder reports it to a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// Its number.
    #[serde(rename = "n")]
    pub number: GrantNumber,
    /// How many slots.
    #[serde(rename = "s")]
    pub slots: units::Slots,
    /// How long the holder goes on using it.
    #[serde(rename = "l")]
    pub remaining_ms: time::SpanMs,
}

/// A grant in a ledger that changes hands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The grant.
    #[serde(rename = "k")]
    pub key: GrantKey,
    /// How many slots.
    #[serde(rename = "s")]
    pub slots: units::Slots,
    /// How long until the owner may count it as lapsed.
    #[serde(rename = "l")]
    pub remaining_ms: time::SpanMs,
}

/// All that an owner has lent, handed to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The grants.
    pub entries: Vec<LedgerEntry>,
    /// How long an earlier owner's unknown grants may still run.
    pub wait_ms: time::SpanMs,
}

/// Why an owner lends nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The instance that was asked does not own the backend server.
    NotOwner,
    /// The owner waits for an earlier owner's grants to lapse.
    Waiting,
    /// The owner can't tell whether it was replaced, so it lends nothing.
    NoAuthority,
    /// The grant that was to be renewed is not in the ledger.
    UnknownGrant,
}

impl RefusalReason {
    /// The word for metrics and status.
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
    /// Lend me slots; answered when some are free.
    Acquire {
        /// The backend server.
        server: ids::BackendServerId,
        /// The ask.
        number: GrantNumber,
        /// How many slots at most.
        slots: units::Slots,
    },
    /// These slots are yours for so long, counted from when you asked.
    Granted {
        /// The backend server.
        server: ids::BackendServerId,
        /// The ask.
        number: GrantNumber,
        /// How many slots.
        slots: units::Slots,
        /// The length of the lease.
        lease_ms: time::SpanMs,
    },
    /// I lend nothing.
    Refused {
        /// The backend server.
        server: ids::BackendServerId,
        /// The ask, or the grant that was to be renewed.
        number: GrantNumber,
        /// Why.
        reason: RefusalReason,
        /// When to ask again.
        retry_after_ms: time::SpanMs,
    },
    /// Let me keep a grant for longer.
    Renew {
        /// The backend server.
        server: ids::BackendServerId,
        /// The grant.
        number: GrantNumber,
        /// Tells this try from earlier ones.
        attempt: u32,
    },
    /// The grant lasts so long, counted from when you asked.
    Renewed {
        /// The backend server.
        server: ids::BackendServerId,
        /// The grant.
        number: GrantNumber,
        /// The try.
        attempt: u32,
        /// The length of the lease.
        lease_ms: time::SpanMs,
    },
    /// I need only so many slots of a grant.
    Return {
        /// The backend server.
        server: ids::BackendServerId,
        /// The grant.
        number: GrantNumber,
        /// How many slots remain lent.
        remaining: units::Slots,
    },
    /// Others wait: give back what is idle, and make do with so many slots for a while.
    Recall {
        /// The backend server.
        server: ids::BackendServerId,
        /// How many slots you may keep.
        keep: units::Slots,
    },
    /// I am to own the backend server.
    Claim {
        /// The backend server.
        server: ids::BackendServerId,
        /// Tells this claim from earlier ones.
        claim: u64,
    },
    /// You are; I do not own it, and take grants from nobody else.
    Consent {
        /// The backend server.
        server: ids::BackendServerId,
        /// The claim.
        claim: u64,
        /// What the sender has borrowed.
        leases: Vec<HeldLease>,
        /// The ledger, if the sender was the owner.
        ledger: Option<LedgerHandover>,
        /// How long one that the sender knows to be fenced may still act.
        #[serde(default)]
        wait_ms: time::SpanMs,
    },
    /// By my view another is to own it.
    Decline {
        /// The backend server.
        server: ids::BackendServerId,
        /// The claim.
        claim: u64,
    },
}

/// A message for one start of an instance.
///
/// A message can wait on its way while the instance is replaced. The next start of the instance counts
/// its asks and claims anew, and would take an old answer for a new one; it drops what is not for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressedMessage {
    /// The start of the recipient that is meant.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The message.
    #[serde(rename = "m")]
    pub message: SlotMessage,
}

impl SlotMessage {
    /// The word under which the message is counted.
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

    /// The backend server that it is about.
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

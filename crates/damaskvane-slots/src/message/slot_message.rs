//! A message about the slots of one backend server.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::{ids, time, units};
use serde::{Deserialize, Serialize};

use crate::message::serialize::is_false;
use crate::message::{
    ConsentedClaim, GrantNumber, HeldLease, LedgerHandover, LiveGrant, RefusalReason, WaitReport,
};

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
        /// The claims to which the sender has consented and which may not be over, if it requests a standing
        /// lease; `None` if it may not hold one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        standing: Option<Vec<ConsentedClaim>>,
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
        /// Whether the lease is a standing one from now on, which ends with its holder and not at a time.
        #[serde(default, skip_serializing_if = "is_false")]
        is_standing: bool,
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
    /// Requests a list of the recipient's grants, to remove standing leases from the ledger whose return was
    /// lost.
    Audit {
        /// The backend server.
        server: ids::BackendServerId,
    },
    /// Lists the grants of the sender; no grant with a number up to `last_number` that is missing here will
    /// ever be used by the sender again.
    Held {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the sender's latest acquire request.
        last_number: GrantNumber,
        /// The grants that the sender holds or may still receive.
        grants: Vec<LiveGrant>,
    },
    /// Requests consent to the sender's ownership of the backend server.
    Claim {
        /// The backend server.
        server: ids::BackendServerId,
        /// Distinguishes this claim from earlier ones of the sender.
        claim: u64,
        /// Whether the sender keeps standing leases, which a version of the program without them would take
        /// for expired.
        #[serde(default, skip_serializing_if = "is_false")]
        keeps_standing: bool,
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
        /// The number of the sender's latest claim; its claims of this server up to that one are over.
        #[serde(default)]
        last_claim: u64,
    },
    /// Tells that the sender's claims of the server up to a number are over, and it does not own the server.
    Release {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of the sender's latest claim.
        last_claim: u64,
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
            Self::Audit { .. } => "slot_audit",
            Self::Held { .. } => "slot_held",
            Self::Claim { .. } => "slot_claim",
            Self::Consent { .. } => "slot_consent",
            Self::Release { .. } => "slot_release",
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
            | Self::Audit { server, .. }
            | Self::Held { server, .. }
            | Self::Claim { server, .. }
            | Self::Consent { server, .. }
            | Self::Release { server, .. }
            | Self::Decline { server, .. } => server,
        }
    }
}

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

mod addressed_message;
mod consented_claim;
mod grant_key;
mod grant_number;
mod held_lease;
mod ledger_entry;
mod ledger_handover;
mod live_grant;
mod refusal_reason;
mod serialize;
mod slot_message;
mod wait_report;

pub use addressed_message::AddressedMessage;
pub use consented_claim::ConsentedClaim;
pub use grant_key::GrantKey;
pub use grant_number::GrantNumber;
pub use held_lease::HeldLease;
pub use ledger_entry::LedgerEntry;
pub use ledger_handover::LedgerHandover;
pub use live_grant::LiveGrant;
pub use refusal_reason::RefusalReason;
pub use slot_message::SlotMessage;
pub use wait_report::{StopReport, WaitReport};

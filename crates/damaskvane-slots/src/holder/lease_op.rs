//! Requests of a holder about its grants.
//!
//! A slot is the right to run one request on a backend server; its owner grants slots to holders under leases.

use damaskvane_core::units;

use crate::message::GrantNumber;

/// A request about a grant, which the holder has to send to the owner of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseOp {
    /// Renew the lease of a grant.
    Renew {
        /// The number of the grant.
        number: GrantNumber,
        /// The number of this renewal request among those for this grant, from 1.
        attempt: u32,
    },
    /// Return slots of a grant.
    Return {
        /// The number of the grant.
        number: GrantNumber,
        /// The number of the grant's slots that the holder keeps.
        remaining: units::Slots,
    },
}

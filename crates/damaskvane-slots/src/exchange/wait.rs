//! The wait of a new owner, with what sets its end.
//!
//! The owner of a backend server is the instance that grants the server's slots (rights to run one request on
//! it).

use damaskvane_core::{ids, time};

use crate::exchange::blocked_by::BlockedBy;

/// A time before which a new owner grants nothing, and the reason for it.
#[derive(Debug, Clone)]
pub(crate) struct Wait {
    pub(crate) by: BlockedBy,
    /// The instance that is waited for, or that reported or handed over the wait.
    pub(crate) instance: Option<ids::InstanceId>,
    pub(crate) until: time::TimeMs,
}

impl Wait {
    pub(crate) const fn new(
        by: BlockedBy,
        instance: Option<ids::InstanceId>,
        until: time::TimeMs,
    ) -> Self {
        Self {
            by,
            instance,
            until,
        }
    }

    /// Returns the wait that ends later; of two that end at the same time, `self`.
    pub(crate) fn max(self, other: Self) -> Self {
        if other.until > self.until {
            other
        } else {
            self
        }
    }
}

//! Each instance's fixed share of a backend server's connections.
//!
//! A backend server accepts far more connections than it has slots (330 to 6); a slot is the right to run one
//! request on it, which the zone's instances lease for a short time. Open connections are worth keeping, so
//! connections are not leased: each instance may open the same fixed share, however many instances run. The
//! share follows from the configuration alone, so instances that disagree on which instances run can't exceed
//! the server's connection limit together.
//!
//! ```
//! use damaskvane_slots::connections;
//!
//! let mut budget = connections::ConnectionBudget::new(330, 32);
//! assert_eq!(budget.share(), 10);
//! assert!(budget.open().is_ok());
//! budget.close();
//! assert_eq!(budget.in_use(), 0);
//! ```

/// all {share} connections of this instance's share are open; wait until one closes, or raise the backend server's connection limit
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ConnectionsExhausted {
    /// The number of connections that one instance may have open.
    pub share: u32,
}

/// Counts the open connections of this instance to one backend server.
#[derive(Debug, Clone)]
pub struct ConnectionBudget {
    share: u32,
    in_use: u32,
}

impl ConnectionBudget {
    /// Creates the budget of one instance: the server's connection `limit` divided by `max_instances`, the
    /// maximum number of instances in a zone.
    #[must_use]
    pub const fn new(limit: u32, max_instances: u32) -> Self {
        let share = match limit.checked_div(max_instances) {
            Some(share) => share,
            None => 0,
        };
        Self { share, in_use: 0 }
    }

    /// Returns how many connections this instance may have open.
    #[must_use]
    pub const fn share(&self) -> u32 {
        self.share
    }

    /// Returns how many connections this instance has open.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Counts a connection that is about to be opened.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionsExhausted`] if the whole share is open.
    pub const fn open(&mut self) -> Result<(), ConnectionsExhausted> {
        if self.in_use >= self.share {
            return Err(ConnectionsExhausted { share: self.share });
        }
        self.in_use += 1;
        Ok(())
    }

    /// Counts a connection that was closed.
    pub const fn close(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }
}

//! The fixed share of a backend server's connections.
//!
//! Connections are plentiful against slots (330 to 6) and are worth keeping open, so they are not lent:
//! each instance may open the same fixed share, whoever else lives. The share follows from the
//! configuration alone, so no disagreement on membership can exceed the limit.
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

/// all {share} connections of this instance's share are open; wait for one to close, or raise the backend server's connection limit
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ConnectionsExhausted {
    /// The share of one instance.
    pub share: u32,
}

/// The connections of this instance to one backend server.
#[derive(Debug, Clone)]
pub struct ConnectionBudget {
    share: u32,
    in_use: u32,
}

impl ConnectionBudget {
    /// The share of one instance where a zone has at most `max_instances` of them.
    #[must_use]
    pub const fn new(limit: u32, max_instances: u32) -> Self {
        let share = match limit.checked_div(max_instances) {
            Some(share) => share,
            None => 0,
        };
        Self { share, in_use: 0 }
    }

    /// How many connections this instance may have open.
    #[must_use]
    pub const fn share(&self) -> u32 {
        self.share
    }

    /// How many it has open.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Counts a connection that is about to be opened.
    ///
    /// # Errors
    ///
    /// [`ConnectionsExhausted`] if the share is open already.
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

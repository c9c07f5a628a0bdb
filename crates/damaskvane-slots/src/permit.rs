//! The life of one slot in use: ready, sending, running.
//!
//! The holder of a lease may be paused at any moment, and the lease may lapse meanwhile. So the clock is
//! compared before the request is written and again after it; a request that turns out to have been
//! written too late is cancelled at once.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_slots::permit;
//!
//! fn send(ready: permit::Permit<permit::Ready>, clock: impl Fn() -> time::TimeMs) {
//!     let Ok(sending) = ready.send(clock()) else { return };
//!     let _deadline = sending.deadline_ms();
//!     // ... write the request with this deadline ...
//!     let _ = sending.sent(clock());
//! }
//! ```

use damaskvane_core::{ids, time};

use crate::message::GrantNumber;

/// A slot is reserved.
#[derive(Debug)]
pub struct Ready;

/// The request is being written.
#[derive(Debug)]
pub struct Sending;

/// The request runs on the backend server.
#[derive(Debug)]
pub struct Running;

/// the slot lease lapsed before the request was sent; give the permit back and begin again
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct LeaseExpired(pub ReleasedPermit);

/// the slot lease lapsed while the request was being written; cancel it at the backend server at once
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct SentLate(pub ReleasedPermit);

/// What remains of a permit; it is handed to [`crate::exchange::SlotExchange::finish`].
#[derive(Debug)]
pub struct ReleasedPermit {
    pub(crate) server: ids::BackendServerId,
    pub(crate) number: GrantNumber,
    /// When the backend server has stopped the work, if it was ever sent.
    pub(crate) ends_by: time::TimeMs,
}

/// The right to run one request on one backend server until the lease lapses.
#[derive(Debug)]
#[must_use = "a permit that is dropped blocks its slot until the lease lapses"]
pub struct Permit<S> {
    returned: ReleasedPermit,
    expires_at: time::TimeMs,
    max_run_ms: time::SpanMs,
    deadline_ms: time::SpanMs,
    state: core::marker::PhantomData<S>,
}

impl<S> Permit<S> {
    /// The backend server.
    #[must_use]
    pub const fn server(&self) -> &ids::BackendServerId {
        &self.returned.server
    }

    /// What [`crate::exchange::SlotExchange::finish`] takes.
    #[must_use]
    pub fn into_released(self) -> ReleasedPermit {
        self.returned
    }

    fn into_state<T>(self) -> Permit<T> {
        Permit {
            returned: self.returned,
            expires_at: self.expires_at,
            max_run_ms: self.max_run_ms,
            deadline_ms: self.deadline_ms,
            state: core::marker::PhantomData,
        }
    }
}

impl Permit<Ready> {
    pub(crate) const fn new(
        server: ids::BackendServerId,
        number: GrantNumber,
        now: time::TimeMs,
        expires_at: time::TimeMs,
        max_run_ms: time::SpanMs,
    ) -> Self {
        let returned = ReleasedPermit {
            server,
            number,
            ends_by: now,
        };
        Self {
            returned,
            expires_at,
            max_run_ms,
            deadline_ms: time::SpanMs::ZERO,
            state: core::marker::PhantomData,
        }
    }

    /// Fixes the deadline, directly before the request is written.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] if the lease is over.
    pub fn send(mut self, now: time::TimeMs) -> Result<Permit<Sending>, LeaseExpired> {
        self.deadline_ms = self.expires_at.since(now).min(self.max_run_ms);
        if self.deadline_ms == time::SpanMs::ZERO {
            return Err(LeaseExpired(self.returned));
        }
        self.returned.ends_by = now + self.deadline_ms;
        Ok(self.into_state())
    }
}

impl Permit<Sending> {
    /// The deadline that the backend server is to be given, so that no work outlives the lease.
    #[must_use]
    pub const fn deadline_ms(&self) -> time::SpanMs {
        self.deadline_ms
    }

    /// Compares clocks again, directly after the request was written.
    ///
    /// A process that was paused between the two has sent a request under a lease that others may hold
    /// by now. One would notice a backend server above its slots; cancelling it at once bounds that.
    ///
    /// # Errors
    ///
    /// [`SentLate`] if the lease lapsed meanwhile.
    pub fn sent(self, now: time::TimeMs) -> Result<Permit<Running>, SentLate> {
        if now >= self.expires_at {
            return Err(SentLate(self.returned));
        }
        Ok(self.into_state())
    }
}

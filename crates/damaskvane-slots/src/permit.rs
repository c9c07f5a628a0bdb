//! A permit to run one request on one slot, with the states ready, sending and running.
//!
//! A slot is the right to run one request on a backend server. An instance holds slots under a lease, that is
//! for a limited time. Its process may be paused at any moment, and the lease may expire meanwhile. The clock
//! is therefore checked directly before and directly after the request is written. A request that was written
//! too late has to be cancelled at once.
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

/// State of a permit: the slot is reserved and the request is not written yet.
#[derive(Debug)]
pub struct Ready;

/// State of a permit: the request is being written.
#[derive(Debug)]
pub struct Sending;

/// State of a permit: the request was written in time and runs on the backend server.
#[derive(Debug)]
pub struct Running;

/// the slot lease expired before the request was sent; finish the permit and begin again with a new one
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct LeaseExpired(pub ReleasedPermit);

/// the slot lease expired while the request was being written; cancel the request at the backend server at once
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct SentLate(pub ReleasedPermit);

/// A permit that is no longer in use; [`crate::exchange::SlotExchange::finish`] takes it and frees the slot.
#[derive(Debug)]
pub struct ReleasedPermit {
    pub(crate) server: ids::BackendServerId,
    pub(crate) number: GrantNumber,
    /// The request's deadline at the backend server; the creation time of the permit if nothing was sent.
    pub(crate) ends_by: time::TimeMs,
}

/// The right to run one request on one backend server until the lease of the slot expires.
#[derive(Debug)]
#[must_use = "a permit that is dropped blocks its slot until the lease expires"]
pub struct Permit<S> {
    released: ReleasedPermit,
    expires_at: time::TimeMs,
    max_run_ms: time::SpanMs,
    deadline_ms: time::SpanMs,
    state: core::marker::PhantomData<S>,
}

impl<S> Permit<S> {
    /// Returns the backend server that the permit is for.
    #[must_use]
    pub const fn server(&self) -> &ids::BackendServerId {
        &self.released.server
    }

    /// Converts the permit for [`crate::exchange::SlotExchange::finish`], which frees the slot.
    #[must_use]
    pub fn into_released(self) -> ReleasedPermit {
        self.released
    }

    fn into_state<T>(self) -> Permit<T> {
        Permit {
            released: self.released,
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
        let released = ReleasedPermit {
            server,
            number,
            ends_by: now,
        };
        Self {
            released,
            expires_at,
            max_run_ms,
            deadline_ms: time::SpanMs::ZERO,
            state: core::marker::PhantomData,
        }
    }

    /// Sets the request's deadline; has to be called directly before the request is written.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseExpired`] if no time remains, because the lease expired or the permit's maximum run
    /// time is zero.
    pub fn send(mut self, now: time::TimeMs) -> Result<Permit<Sending>, LeaseExpired> {
        self.deadline_ms = self.expires_at.since(now).min(self.max_run_ms);
        if self.deadline_ms == time::SpanMs::ZERO {
            return Err(LeaseExpired(self.released));
        }
        self.released.ends_by = now + self.deadline_ms;
        Ok(self.into_state())
    }
}

impl Permit<Sending> {
    /// Returns the time that the backend server has for the request, counted from the call of `send`.
    ///
    /// The request has to carry this deadline, so that it doesn't run beyond the lease.
    #[must_use]
    pub const fn deadline_ms(&self) -> time::SpanMs {
        self.deadline_ms
    }

    /// Checks the clock again; has to be called directly after the request was written.
    ///
    /// A process that was paused between the two checks has sent the request on a slot that may be granted
    /// to another instance by now, so the backend server may run more requests than it has slots. Cancelling
    /// the request at once limits the time of this overload.
    ///
    /// # Errors
    ///
    /// Returns [`SentLate`] if the lease expired since the call of `send`.
    pub fn sent(self, now: time::TimeMs) -> Result<Permit<Running>, SentLate> {
        if now >= self.expires_at {
            return Err(SentLate(self.released));
        }
        Ok(self.into_state())
    }
}

//! A backend server whose life cycle state is part of its type.
//!
//! A cold server has recently started and gets few requests; a draining server gets no new requests.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::drain;
//!
//! let settings = drain::WarmUpSettings::default();
//! let server = drain::Server::<drain::Cold>::new(time::TimeMs::ZERO);
//! assert_eq!(server.share(time::TimeMs::new(15_000), &settings).get(), 550);
//! ```

use core::marker;

use damaskvane_core::{time, units};

use crate::drain::{settings, state};

const FULL_SHARE_PERMILLE: u32 = 1_000;

/// A backend server in state `S`; only a cold or active server receives new requests.
#[derive(Debug, Clone, Copy)]
pub struct Server<S> {
    since: time::TimeMs,
    state: marker::PhantomData<S>,
}

impl<S> Server<S> {
    const fn in_state(since: time::TimeMs) -> Self {
        Self {
            since,
            state: marker::PhantomData,
        }
    }

    /// Returns the time at which the server entered this state.
    #[must_use]
    pub const fn since(&self) -> time::TimeMs {
        self.since
    }
}

impl Server<state::Cold> {
    /// Returns a backend server that started at `now`.
    #[must_use]
    pub const fn new(now: time::TimeMs) -> Self {
        Self::in_state(now)
    }

    /// Returns the server's share of requests in thousandths of the full share; it grows linearly over the
    /// warm-up.
    #[must_use]
    pub fn share(&self, now: time::TimeMs, settings: &settings::WarmUpSettings) -> units::Permille {
        let first = settings.first_share_permille.min(FULL_SHARE_PERMILLE);
        let rise = u64::from(FULL_SHARE_PERMILLE - first);
        let elapsed_ms = now.since(self.since).get().min(settings.warm_up_ms);
        let grown = rise * elapsed_ms / settings.warm_up_ms.max(1);
        units::Permille::new(first + u32::try_from(grown).unwrap_or(FULL_SHARE_PERMILLE - first))
    }

    /// Returns the active server, once the warm-up is over.
    ///
    /// # Errors
    ///
    /// Returns the unchanged server while the warm-up lasts.
    pub fn warm(
        self,
        now: time::TimeMs,
        settings: &settings::WarmUpSettings,
    ) -> Result<Server<state::Active>, Self> {
        if now.since(self.since).get() >= settings.warm_up_ms {
            Ok(Server::in_state(now))
        } else {
            Err(self)
        }
    }

    /// Returns the server in its draining state, from `now` on.
    #[must_use]
    pub const fn drain(self, now: time::TimeMs) -> Server<state::Draining> {
        Server::in_state(now)
    }
}

impl Server<state::Active> {
    /// Returns a backend server that was running before this entry instance (the process that sends it requests)
    /// started, and that therefore counts as warm.
    #[must_use]
    pub const fn already_warm(now: time::TimeMs) -> Self {
        Self::in_state(now)
    }

    /// Returns the server in its draining state, from `now` on.
    #[must_use]
    pub const fn drain(self, now: time::TimeMs) -> Server<state::Draining> {
        Server::in_state(now)
    }
}

impl Server<state::Draining> {
    /// Returns the drained server, once no request runs on it.
    ///
    /// # Errors
    ///
    /// Returns the unchanged server while `running`, the number of requests on the server, is not zero.
    pub fn finished(
        self,
        now: time::TimeMs,
        running: usize,
    ) -> Result<Server<state::Drained>, Self> {
        if running == 0 {
            Ok(Server::in_state(now))
        } else {
            Err(self)
        }
    }
}

impl Server<state::Drained> {
    /// Returns the server in its cold state, after a restart.
    #[must_use]
    pub const fn restarted(self, now: time::TimeMs) -> Server<state::Cold> {
        Server::in_state(now)
    }
}

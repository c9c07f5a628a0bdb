//! A backend server in one state.
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

const WHOLE_SHARE: u32 = 1_000;

/// A backend server; only a cold or an active one has a share of the work.
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

    /// Since when it has been in this state.
    #[must_use]
    pub const fn since(&self) -> time::TimeMs {
        self.since
    }
}

impl Server<state::Cold> {
    /// A backend server that has just started.
    #[must_use]
    pub const fn new(now: time::TimeMs) -> Self {
        Self::in_state(now)
    }

    /// Its share of the work, which grows evenly over the warm-up.
    #[must_use]
    pub fn share(&self, now: time::TimeMs, settings: &settings::WarmUpSettings) -> units::Permille {
        let first = settings.first_share_permille.min(WHOLE_SHARE);
        let rise = u64::from(WHOLE_SHARE - first);
        let elapsed_ms = now.since(self.since).get().min(settings.warm_up_ms);
        let grown = rise * elapsed_ms / settings.warm_up_ms.max(1);
        units::Permille::new(first + u32::try_from(grown).unwrap_or(WHOLE_SHARE - first))
    }

    /// The warm-up is over.
    ///
    /// # Errors
    ///
    /// The unchanged server, while the warm-up lasts.
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

    /// The drain was adopted.
    #[must_use]
    pub const fn drain(self, now: time::TimeMs) -> Server<state::Draining> {
        Server::in_state(now)
    }
}

impl Server<state::Active> {
    /// A backend server that was running before this instance started.
    #[must_use]
    pub const fn already_warm(now: time::TimeMs) -> Self {
        Self::in_state(now)
    }

    /// The drain was adopted.
    #[must_use]
    pub const fn drain(self, now: time::TimeMs) -> Server<state::Draining> {
        Server::in_state(now)
    }
}

impl Server<state::Draining> {
    /// Drained, once nothing runs.
    ///
    /// # Errors
    ///
    /// The unchanged server, while something runs.
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
    /// The backend server was restarted and takes work again.
    #[must_use]
    pub const fn restarted(self, now: time::TimeMs) -> Server<state::Cold> {
        Server::in_state(now)
    }
}

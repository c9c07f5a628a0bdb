//! A backend server in whichever state it is, for tables of them.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::drain;
//!
//! let now = time::TimeMs::ZERO;
//! let settings = drain::WarmUpSettings::default();
//! let mut server = drain::Lifecycle::active(now);
//! server.drain(now);
//! assert!(server.share(now, &settings).is_none());
//! ```

use damaskvane_core::{time, units};

use crate::drain::{server, settings, state};

/// One backend server with its state.
#[derive(Debug, Clone, Copy)]
pub enum Lifecycle {
    /// Just started.
    Cold(server::Server<state::Cold>),
    /// Takes its whole share.
    Active(server::Server<state::Active>),
    /// Takes no new work.
    Draining(server::Server<state::Draining>),
    /// Nothing runs on it.
    Drained(server::Server<state::Drained>),
}

impl Lifecycle {
    /// A backend server that has just started.
    #[must_use]
    pub const fn cold(now: time::TimeMs) -> Self {
        Self::Cold(server::Server::new(now))
    }

    /// A backend server that was running before this instance started.
    #[must_use]
    pub const fn active(now: time::TimeMs) -> Self {
        Self::Active(server::Server::already_warm(now))
    }

    /// Its share of the work; none if it takes no new work.
    #[must_use]
    pub fn share(
        &self,
        now: time::TimeMs,
        settings: &settings::WarmUpSettings,
    ) -> Option<units::Permille> {
        match self {
            Self::Cold(server) => Some(server.share(now, settings)),
            Self::Active(_) => Some(units::Permille::new(1_000)),
            Self::Draining(_) | Self::Drained(_) => None,
        }
    }

    /// Adopts a drain; one that is adopted again changes nothing.
    pub fn drain(&mut self, now: time::TimeMs) {
        match *self {
            Self::Cold(server) => *self = Self::Draining(server.drain(now)),
            Self::Active(server) => *self = Self::Draining(server.drain(now)),
            Self::Draining(_) | Self::Drained(_) => {}
        }
    }

    /// Adopts the end of a drain, when the backend server was restarted.
    pub fn resume(&mut self, now: time::TimeMs) {
        if matches!(self, Self::Draining(_) | Self::Drained(_)) {
            *self = Self::cold(now);
        }
    }

    /// Moves on when the warm-up is over or nothing runs any more.
    pub fn advance(
        &mut self,
        now: time::TimeMs,
        running: usize,
        settings: &settings::WarmUpSettings,
    ) {
        match *self {
            Self::Cold(server) => {
                if let Ok(active) = server.warm(now, settings) {
                    *self = Self::Active(active);
                }
            }
            Self::Draining(server) => {
                if let Ok(drained) = server.finished(now, running) {
                    *self = Self::Drained(drained);
                }
            }
            Self::Active(_) | Self::Drained(_) => {}
        }
    }
}

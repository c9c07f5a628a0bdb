//! A backend server in any state of its life cycle, so that one collection can hold servers in all states.
//!
//! A drain stops new requests to a server and lets the running requests finish.
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

/// The life cycle state of one backend server.
#[derive(Debug, Clone, Copy)]
pub enum Lifecycle {
    /// The server has just started and warms up.
    Cold(server::Server<state::Cold>),
    /// The server receives its full share of requests.
    Active(server::Server<state::Active>),
    /// The server receives no new requests; running ones finish.
    Draining(server::Server<state::Draining>),
    /// No request runs on the server.
    Drained(server::Server<state::Drained>),
}

impl Lifecycle {
    /// Returns the state of a backend server that has just started.
    #[must_use]
    pub const fn cold(now: time::TimeMs) -> Self {
        Self::Cold(server::Server::new(now))
    }

    /// Returns the state of a backend server that was running before this instance started.
    #[must_use]
    pub const fn active(now: time::TimeMs) -> Self {
        Self::Active(server::Server::already_warm(now))
    }

    /// Returns the server's share of requests in thousandths of the full share, or `None` if the server
    /// receives no new requests.
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

    /// Starts a drain; has no effect if the server is draining or drained already.
    pub fn drain(&mut self, now: time::TimeMs) {
        match *self {
            Self::Cold(server) => *self = Self::Draining(server.drain(now)),
            Self::Active(server) => *self = Self::Draining(server.drain(now)),
            Self::Draining(_) | Self::Drained(_) => {}
        }
    }

    /// Ends a drain after the backend server was restarted; the server is cold again.
    pub fn resume(&mut self, now: time::TimeMs) {
        if matches!(self, Self::Draining(_) | Self::Drained(_)) {
            *self = Self::cold(now);
        }
    }

    /// Moves to the next state once the warm-up is over or, in a drain, once `running` is zero; `running` is
    /// the number of requests that run on the server.
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

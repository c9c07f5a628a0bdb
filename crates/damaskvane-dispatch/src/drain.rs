//! The life cycle of a backend server, as tracked by an entry instance.
//!
//! A cold backend server (one that has recently started) receives a small share of requests, which grows during
//! its warm-up. A draining server receives no new requests from the start of the drain, and is drained once no
//! request runs on it.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::drain;
//!
//! let settings = drain::WarmUpSettings::default();
//! let server = drain::Server::<drain::Cold>::new(time::TimeMs::ZERO);
//! let active = server.warm(time::TimeMs::new(30_000), &settings).expect("warm");
//! let draining = active.drain(time::TimeMs::new(40_000));
//! assert!(draining.finished(time::TimeMs::new(41_000), 0).is_ok());
//! ```

mod lifecycle;
mod server;
mod settings;
mod state;

pub use lifecycle::Lifecycle;
pub use server::Server;
pub use settings::WarmUpSettings;
pub use state::{Active, Cold, Drained, Draining};

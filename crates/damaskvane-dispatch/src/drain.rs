//! A backend server's life cycle as an entry instance sees it.
//!
//! A cold backend server starts slowly and warms up; a draining one takes no new work from the moment
//! the drain is adopted, and is drained once nothing runs on it.
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

//! Turns the configuration and the known instances into what each part of the program works with.
//!
//! ```
//! use damaskvane_config::state;
//! use damaskvane_entry::translate;
//!
//! let topology = translate::topology(&state::ConfigState::default());
//! assert!(topology.zones.is_empty());
//! ```

mod directory;
mod topology;

pub use directory::directory;
pub use topology::topology;

//! Translation of the configuration and the known instances into the inputs of the engine and of steering.
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

//! All declarations of one version, assembled and validated.
//!
//! ```
//! use damaskvane_config::{manifest, state};
//!
//! let empty = state::assemble(&manifest::Head::default(), &Default::default());
//! assert!(empty.expect("valid").services().is_empty());
//! ```

mod assemble;
mod config_state;
mod validate;

pub use assemble::{Chunks, PreviousState, assemble, assemble_after};
pub use config_state::ConfigState;

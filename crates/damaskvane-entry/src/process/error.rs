//! Why an entry instance does not start.
//!
//! ```
//! use damaskvane_entry::process;
//!
//! let error = process::StartError::Token { path: "token".into(), error: "gone".into() };
//! assert!(error.to_string().contains("token_file"));
//! ```

use std::io;

use crate::peers;

/// Why an entry instance does not start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// {key} = {address:?} can't be used ({error}); choose a free address of this machine
    Listen {
        /// The settings key.
        key: &'static str,
        /// Its value.
        address: String,
        /// What the system said.
        error: String,
    },
    /// token_file = {path:?} can't be used ({error}); name a file that holds the credential
    Token {
        /// The file.
        path: String,
        /// What is wrong with it.
        error: String,
    },
    /// seed_peers: {0}
    Seeds(peers::ParseSeedError),
    /// the system refuses a thread or a socket ({0}); raise the limits of this process
    Thread(io::Error),
}

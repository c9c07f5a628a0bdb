//! Errors that prevent the start of an entry instance.
//!
//! ```
//! use damaskvane_entry::process;
//!
//! let error = process::StartError::Token { path: "token".into(), error: "gone".into() };
//! assert!(error.to_string().contains("token_file"));
//! ```

use std::io;

use crate::peers;

/// Error that prevents the start of an entry instance.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// {key} = {address:?} can't be used ({error}); choose a free address of this machine
    Listen {
        /// Settings key of the address.
        key: &'static str,
        /// Value of the key.
        address: String,
        /// Cause: an invalid address, or an error of the operating system.
        error: String,
    },
    /// token_file = {path:?} can't be used ({error}); name a file that holds the credential
    Token {
        /// Value of the settings key `token_file`.
        path: String,
        /// Cause: the file can't be read, or its text is not a credential.
        error: String,
    },
    /// seed_peers: {0}
    Seeds(peers::ParseSeedError),
    /// the operating system refused a thread or a socket ({0}); raise the resource limits of this process
    Thread(io::Error),
}

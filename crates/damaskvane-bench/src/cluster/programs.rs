//! Where the programs are.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! let programs = cluster::Programs::beside_this_one()?;
//! assert!(programs.path("damaskvane-entry").ends_with("damaskvane-entry"));
//! # Ok::<(), std::io::Error>(())
//! ```

use std::env;
use std::io;
use std::path::PathBuf;
use std::process::Command;

/// The directory of the programs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Programs {
    directory: PathBuf,
}

impl Programs {
    /// The programs built beside the running one, tests included.
    pub fn beside_this_one() -> io::Result<Self> {
        let mut directory = env::current_exe()?;
        directory.pop();
        if directory.ends_with("deps") {
            directory.pop();
        }
        Ok(Self { directory })
    }

    /// The path of a program.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// A command that runs a program.
    #[must_use]
    pub fn command(&self, name: &str) -> Command {
        Command::new(self.path(name))
    }
}

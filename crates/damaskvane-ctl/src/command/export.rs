//! `export`: accepted tickets as files for version control.

use core::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use damaskvane_core::ids;
use damaskvane_objects::api::ObjectApi;
use serde::Serialize;

use crate::error::CtlError;
use crate::{history, store};

/// What was written.
#[derive(Debug, Clone, Serialize)]
pub struct ExportReport {
    /// The directory.
    pub directory: PathBuf,
    /// How many tickets were written; those already there are left as they are.
    pub written: u64,
    /// How many were there already and equal.
    pub present: u64,
}

impl fmt::Display for ExportReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let directory = self.directory.display();
        write!(f, "{directory}: {} tickets written, ", self.written)?;
        write!(f, "{} were there already", self.present)
    }
}

/// Writes each accepted ticket, as accepted, to `DIRECTORY/{number}.json`, and its declarations to
/// `DIRECTORY/{number}.toml`.
///
/// # Errors
///
/// When the platform can't be read, a file can't be written, or a file that is there differs from
/// what was accepted.
pub fn export(api: &impl ObjectApi, directory: &Path) -> Result<ExportReport, CtlError> {
    let head = store::read_head(api)?;
    fs::create_dir_all(directory).map_err(|error| file_error(directory, error))?;
    let mut report = ExportReport {
        directory: directory.to_owned(),
        written: 0,
        present: 0,
    };
    for accepted in history::back_to(api, &head, ids::TicketNumber::new(1))? {
        let stem = format!("{:08}", accepted.ticket.number.get());
        let path = directory.join(format!("{stem}.json"));
        match fs::read(&path) {
            Ok(bytes) if bytes == accepted.bytes => report.present += 1,
            Ok(_) => {
                let text = format!("{} differs from the accepted ticket", path.display());
                return Err(CtlError::Broken(text));
            }
            Err(_) => {
                write(
                    &directory.join(format!("{stem}.toml")),
                    accepted.ticket.text.as_bytes(),
                )?;
                write(&path, &accepted.bytes)?;
                report.written += 1;
            }
        }
    }
    Ok(report)
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), CtlError> {
    fs::write(path, bytes).map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: io::Error) -> CtlError {
    CtlError::File {
        path: path.display().to_string(),
        error,
    }
}

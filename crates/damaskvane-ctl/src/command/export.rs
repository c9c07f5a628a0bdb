//! `export`: writes accepted tickets to files for version control.

use core::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use damaskvane_core::ids;
use damaskvane_objects::api::ObjectApi;
use serde::Serialize;

use crate::error::CtlError;
use crate::{history, store};

/// Result of an export.
#[derive(Debug, Clone, Serialize)]
pub struct ExportReport {
    /// Directory that the tickets are written to.
    pub directory: PathBuf,
    /// Number of tickets written; existing files are not overwritten.
    pub written: u64,
    /// Number of tickets whose JSON file already existed with equal content.
    pub present: u64,
}

impl fmt::Display for ExportReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let directory = self.directory.display();
        write!(f, "{directory}: {} tickets written, ", self.written)?;
        write!(f, "{} were there already", self.present)
    }
}

/// Writes each accepted ticket, as stored, to `DIRECTORY/{number}.json` and its declarations to
/// `DIRECTORY/{number}.toml`.
///
/// # Errors
///
/// Fails if the platform can't be read, a file can't be written, or an existing JSON file differs from the accepted
/// ticket.
pub fn export(api: &impl ObjectApi, directory: &Path) -> Result<ExportReport, CtlError> {
    let head = store::read_head(api)?;
    fs::create_dir_all(directory).map_err(|error| file_error(directory, error))?;
    let mut report = ExportReport {
        directory: directory.to_owned(),
        written: 0,
        present: 0,
    };
    for accepted in history::read_back_to(api, &head, ids::TicketNumber::new(1))? {
        let stem = format!("{:08}", accepted.ticket.number.get());
        let path = directory.join(format!("{stem}.json"));
        match fs::read(&path) {
            Ok(bytes) if bytes == accepted.bytes => report.present += 1,
            Ok(_) => {
                let text = format!(
                    "{} differs from the accepted ticket; move the file away and export again",
                    path.display()
                );
                return Err(CtlError::InvalidData(text));
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

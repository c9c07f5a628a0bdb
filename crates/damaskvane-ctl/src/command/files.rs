//! Reads declaration files.

use std::fs;
use std::path::PathBuf;

use damaskvane_config::document::Document;

use crate::error::CtlError;

/// Reads declaration files as one document.
///
/// # Errors
///
/// Fails if no file is given, a file can't be read or the declarations are malformed.
pub fn read_document(paths: &[PathBuf]) -> Result<Document, CtlError> {
    if paths.is_empty() {
        return Err(CtlError::Usage(
            "missing declaration file; see --help".into(),
        ));
    }
    let mut files = Vec::new();
    for path in paths {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|error| CtlError::File {
            path: name.clone(),
            error,
        })?;
        files.push((name, text));
    }
    let files = files
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    Document::parse_all(files).map_err(CtlError::Invalid)
}

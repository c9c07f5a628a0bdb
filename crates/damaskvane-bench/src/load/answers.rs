//! Answers written down, one JSON line each, for the checker and for later questions.

use std::fs;
use std::io::{self, Write};
use std::path::Path;

use crate::client;
use crate::error::BenchError;

/// Writes each answer as a JSON line.
pub fn write_answers(file: &Path, given: &[client::Given]) -> Result<(), BenchError> {
    let name = file.display().to_string();
    write(file, given).map_err(|cause| BenchError::file(&name, &cause))
}

fn write(file: &Path, given: &[client::Given]) -> io::Result<()> {
    let mut output = io::BufWriter::new(fs::File::create(file)?);
    for one in given {
        writeln!(output, "{}", serde_json::json!(one))?;
    }
    output.flush()
}

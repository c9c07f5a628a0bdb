//! Losses over time, a stack of causes for each window.

use std::path::Path;

use crate::losses::table::Table;
use crate::plot::{self, PlotError, Stacks};

/// Draws the table's losses over time into an SVG file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn draw(file: impl AsRef<Path>, table: &Table) -> Result<(), PlotError> {
    let mut stacks = Stacks::default();
    for (from_s, causes) in table.windows() {
        let named = causes
            .into_iter()
            .map(|(cause, requests)| (cause.to_string(), requests));
        stacks.insert(from_s, named.collect());
    }
    plot::draw(
        file.as_ref(),
        "requests late or not served, by cause",
        "requests in two seconds",
        &stacks,
    )
}

//! A plot of losses over time, with one bar per window and one segment per cause.

use std::path::Path;

use crate::losses::table::Table;
use crate::plot::{self, PlotError, Stacks};

/// Draws the table's losses over time into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
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

//! A plot of store calls over time, with one bar per window and one segment per cause.

use std::path::Path;

use crate::costs::table::{Table, kind};
use crate::losses::PlotError;
use crate::plot::{self, Stacks};

/// Draws the table's store calls over time into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(file: impl AsRef<Path>, table: &Table) -> Result<(), PlotError> {
    let mut stacks = Stacks::default();
    for row in table.rows().filter(|row| kind(&row.cause) == "calls") {
        let stack = stacks.entry(row.from_s).or_default();
        *stack.entry(row.cause).or_default() += row.count;
    }
    plot::draw(
        file.as_ref(),
        "calls on the store, by cause",
        "calls in five seconds",
        &stacks,
    )
}

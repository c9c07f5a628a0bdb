//! The measured table of docs/CAPACITY.md.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! let page = format!("before\n{}\nold\n{}\nafter\n", capacity::PAGE_BEGIN, capacity::PAGE_END);
//! let page = capacity::rewrite(&page, "new\n").expect("both markers");
//! assert!(page.contains("new") && !page.contains("old"));
//! ```

use crate::capacity::{QUANTITIES, Slope};

/// The line before the measured part.
pub const PAGE_BEGIN: &str = "<!-- measured by `damaskvane-bench capacity --page`: begin -->";
/// The line after the measured part.
pub const PAGE_END: &str = "<!-- measured by `damaskvane-bench capacity --page`: end -->";
/// The head of the table.
pub const TABLE_HEAD: &str = "| quantity | grows with | points (size: value) | slope | at none | residual | at target | budget | verdict |";

/// The table of every quantity; one that was not measured says so.
#[must_use]
pub fn table(slopes: &[Slope]) -> String {
    let mut text = format!("{TABLE_HEAD}\n|---|---|---|---|---|---|---|---|---|\n");
    for quantity in QUANTITIES {
        let found = slopes
            .iter()
            .find(|slope| slope.quantity.key == quantity.key);
        let title = format!("{} ({})", quantity.title, quantity.unit);
        match found.and_then(|slope| Some((slope, slope.line?))) {
            Some((slope, line)) => {
                let points: Vec<String> = slope
                    .points
                    .iter()
                    .map(|(x, y)| format!("{x}: {}", short(*y)))
                    .collect();
                text.push_str(&format!(
                    "| {title} | {} | {} | {} | {} | {:.0}% | {} at {} | {} | {} |\n",
                    quantity.size.name,
                    points.join(", "),
                    short(line.slope),
                    short(line.intercept),
                    line.residual * 100.0,
                    short(line.at(quantity.size.target)),
                    short(quantity.size.target),
                    quantity.budget.map_or("none".to_owned(), short),
                    verdict(slope),
                ));
            }
            None => text.push_str(&format!(
                "| {title} | {} | not measured | | | | | {} | not measured |\n",
                quantity.size.name,
                quantity.budget.map_or("none".to_owned(), short),
            )),
        }
    }
    text
}

fn verdict(slope: &Slope) -> &'static str {
    match slope.within_budget() {
        Some(true) => "within",
        Some(false) => "**over**",
        None => "no budget",
    }
}

/// Three significant digits.
fn short(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 || value == 0.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else if magnitude >= 0.01 {
        format!("{value:.3}")
    } else {
        format!("{value:.2e}")
    }
}

/// The page with its measured part replaced; none where a marker is missing.
#[must_use]
pub fn rewrite(page: &str, measured: &str) -> Option<String> {
    let (before, rest) = page.split_once(PAGE_BEGIN)?;
    let (_, after) = rest.split_once(PAGE_END)?;
    Some(format!(
        "{before}{PAGE_BEGIN}\n\n{measured}\n{PAGE_END}{after}"
    ))
}

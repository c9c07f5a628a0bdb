//! The measured table of docs/CAPACITY.md.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! let page = format!("before\n{}\nold\n{}\nafter\n", capacity::PAGE_BEGIN, capacity::PAGE_END);
//! let page = capacity::rewrite(&page, "new\n").expect("both markers");
//! assert!(page.contains("new") && !page.contains("old"));
//! ```

use crate::capacity::{QUANTITIES, Quantity, Slope};

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
        let slope = slopes
            .iter()
            .find(|slope| slope.quantity.key == quantity.key);
        text.push_str(&row(*quantity, slope));
    }
    text
}

fn row(quantity: Quantity, slope: Option<&Slope>) -> String {
    let head = format!(
        "| {} ({}) | {} |",
        quantity.title,
        quantity.unit,
        quantity.size.names.join(", ")
    );
    let budget = quantity.budget.map_or("none".to_owned(), short);
    let Some(slope) = slope else {
        return format!("{head} not measured | | | | | {budget} | not measured |\n");
    };
    let points: Vec<String> = slope
        .points
        .iter()
        .map(|(sizes, value)| format!("{}: {}", joined(sizes), short(*value)))
        .collect();
    let points = points.join(", ");
    let Some(model) = &slope.model else {
        return format!("{head} {points} | too few sizes | | | | {budget} | not known |\n");
    };
    format!(
        "{head} {points} | {} | {} | {:.0}% | {} at {} | {budget} | {} |\n",
        joined(&model.slopes),
        short(model.intercept),
        model.residual * 100.0,
        short(model.at(quantity.size.targets)),
        joined(quantity.size.targets),
        verdict(slope),
    )
}

/// Values of several variables.
fn joined(values: &[f64]) -> String {
    let texts: Vec<String> = values.iter().copied().map(short).collect();
    texts.join(" / ")
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
    if magnitude >= 100.0 || value.fract() == 0.0 {
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

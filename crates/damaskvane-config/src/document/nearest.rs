//! The nearest valid name for a misspelt one.
//!
//! ```
//! use damaskvane_config::document;
//!
//! assert_eq!(document::nearest("slts", ["slots", "service"]), Some("slots"));
//! assert_eq!(document::nearest("zzzz", ["slots", "service"]), None);
//! ```

/// Below this likeness a name is no help.
const LEAST_LIKENESS: f64 = 0.7;

/// The most alike of some valid names, if any is alike enough to be meant.
#[must_use]
pub fn nearest<'a>(name: &str, valid: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    valid
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(likeness, _)| *likeness >= LEAST_LIKENESS)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

//! Suggests the nearest valid name for a misspelt one.
//!
//! ```
//! use damaskvane_config::document;
//!
//! assert_eq!(document::nearest("slts", ["slots", "service"]), Some("slots"));
//! assert_eq!(document::nearest("zzzz", ["slots", "service"]), None);
//! ```

/// The minimum Jaro-Winkler similarity of a name to be suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the valid name that is most similar to `name`, or `None` if none is similar enough.
#[must_use]
pub fn nearest<'a>(name: &str, valid: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    valid
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

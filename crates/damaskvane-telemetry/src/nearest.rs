//! Finds the valid name that is most similar to a mistyped one.
//!
//! ```
//! use damaskvane_telemetry::nearest;
//!
//! assert_eq!(nearest::closest("--hepl", &["--help", "--check"]), Some("--help"));
//! assert_eq!(nearest::closest("zzz", &["--help", "--check"]), None);
//! ```

/// Minimum similarity of a suggested name, from 0 (nothing in common) to 1 (equal).
const MIN_SIMILARITY: f64 = 0.5;

/// Returns the candidate that is most similar to `name`.
///
/// Returns `None` if no candidate has a similarity of at least 0.5, on a scale from 0 to 1.
#[must_use]
pub fn closest<'a>(name: &str, candidates: &[&'a str]) -> Option<&'a str> {
    candidates
        .iter()
        .map(|candidate| {
            (
                strsim::normalized_damerau_levenshtein(name, candidate),
                *candidate,
            )
        })
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

/// Returns a hint to append to an error message, for instance `; did you mean '--help'?`.
///
/// The hint lists all candidates if none is similar to `mistyped`.
#[must_use]
pub fn hint(mistyped: &str, candidates: &[&str]) -> String {
    match closest(mistyped, candidates) {
        Some(candidate) => format!("; did you mean '{candidate}'?"),
        None => format!("; use one of: {}", candidates.join(", ")),
    }
}

//! The valid word that is closest to a mistyped one.
//!
//! ```
//! use damaskvane_telemetry::nearest;
//!
//! assert_eq!(nearest::word("--hepl", &["--help", "--check"]), Some("--help"));
//! assert_eq!(nearest::word("zzz", &["--help", "--check"]), None);
//! ```

const LEAST_SIMILARITY: f64 = 0.5;

/// Finds the candidate that is most like `word`; none if nothing is even remotely like it.
#[must_use]
pub fn word<'a>(word: &str, candidates: &[&'a str]) -> Option<&'a str> {
    candidates
        .iter()
        .map(|candidate| {
            (
                strsim::normalized_damerau_levenshtein(word, candidate),
                *candidate,
            )
        })
        .filter(|(similarity, _)| *similarity >= LEAST_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

/// The same as a half sentence to append to an error, for instance `; did you mean "--help"?`.
#[must_use]
pub fn hint(mistyped: &str, candidates: &[&str]) -> String {
    match word(mistyped, candidates) {
        Some(candidate) => format!("; did you mean \"{candidate}\"?"),
        None => format!("; valid are {}", candidates.join(", ")),
    }
}

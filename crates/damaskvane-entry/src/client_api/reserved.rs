//! Paths that backend servers offer to entry instances only; clients' requests for these paths are refused.
//!
//! ```
//! use damaskvane_entry::client_api::reserved;
//!
//! assert!(reserved::is_reserved("/cancel/r-9"));
//! assert!(reserved::is_reserved("/riders/../cancel/r-9"));
//! assert!(!reserved::is_reserved("/riders/7?full=1"));
//! ```

/// First segments of reserved paths.
const RESERVED_SEGMENTS: [&str; 3] = ["cancel", "health", "load"];

/// Returns whether a path with its query is reserved, or could resolve to a reserved path.
///
/// Segments `.` and `..` are resolved before the request reaches the backend server, also if they are
/// percent-encoded, and the backend server may decode the rest of the path. Therefore every path with such
/// a segment counts as reserved, and segments are compared in decoded form.
#[must_use]
pub fn is_reserved(path_and_query: &str) -> bool {
    let path = path_and_query
        .split_once(['?', '#'])
        .map_or(path_and_query, |(path, _)| path);
    let path = percent_decoded(path);
    let mut segments = path.split(['/', '\\']).filter(|part| !part.is_empty());
    let first = segments.clone().next().unwrap_or_default();
    RESERVED_SEGMENTS.contains(&first.to_ascii_lowercase().as_str())
        || segments.any(|segment| matches!(segment, "." | ".."))
}

/// Decodes the percent-encoded bytes of a path.
fn percent_decoded(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let encoded = (bytes[index] == b'%')
            .then(|| path.get(index + 1..index + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(encoded.unwrap_or(bytes[index]));
        index += if encoded.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

//! Paths that backend servers offer to entry instances, and that no client may reach through one.
//!
//! ```
//! use damaskvane_entry::client_api::reserved;
//!
//! assert!(reserved::is_reserved("/cancel/r-9"));
//! assert!(reserved::is_reserved("/riders/../cancel/r-9"));
//! assert!(!reserved::is_reserved("/riders/7?full=1"));
//! ```

/// What the first segment of a reserved path is.
const OWN: [&str; 3] = ["cancel", "health", "load"];

/// Whether a path, with its query, leads or could lead to a reserved one.
///
/// Segments `.` and `..` are taken out on the way to the backend server, however they are written, and the
/// backend server may decode what is left: so any of them makes a path reserved, and names are compared decoded.
#[must_use]
pub fn is_reserved(path_and_query: &str) -> bool {
    let path = path_and_query
        .split_once(['?', '#'])
        .map_or(path_and_query, |(path, _)| path);
    let path = decoded(path);
    let mut segments = path.split(['/', '\\']).filter(|part| !part.is_empty());
    let first = segments.clone().next().unwrap_or_default();
    OWN.contains(&first.to_ascii_lowercase().as_str())
        || segments.any(|segment| matches!(segment, "." | ".."))
}

/// A path with its percent-encoded bytes decoded.
fn decoded(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let encoded = (bytes[at] == b'%')
            .then(|| path.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(encoded.unwrap_or(bytes[at]));
        at += if encoded.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

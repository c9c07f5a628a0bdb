//! Headers that apply to a single connection, and not to the message that it carries.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and framing headers that this instance
/// writes itself.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Returns the headers that are listed in `Connection`.
pub(super) fn listed_in_connection(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
}

/// Removes the headers that apply to a single connection, including those listed in `Connection`.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = listed_in_connection(headers).collect();
    for name in listed.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

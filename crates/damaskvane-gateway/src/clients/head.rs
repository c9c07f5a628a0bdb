//! Reading of headers, host and object from the head of a client's request.
//!
//! The object is what the request is about, such as a record; its id is the value of a cookie.

use hyper::header::{self, HeaderMap};

/// Returns a header's value; `None` if the header is missing or its value holds other than visible ASCII
/// characters.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a whole number, without its fraction; `None` if the header is missing or its
/// value is not a number or is negative.
pub(super) fn number(headers: &HeaderMap, name: &header::HeaderName) -> Option<u64> {
    let value: f64 = text(headers, name)?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// Returns the host of a request in lower case, without the port.
pub(super) fn host_of(headers: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = uri.host().or_else(|| text(headers, &header::HOST));
    let host = host.unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    without_port.to_ascii_lowercase()
}

/// Returns the id of the request's object, which is the value of the cookie named `cookie`.
pub(super) fn object_of(headers: &HeaderMap, cookie: &str) -> Option<String> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| *name == cookie)
        .map(|(_, value)| value.to_owned())
}

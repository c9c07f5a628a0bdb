//! What the head of a client's request says.

use hyper::header::{self, HeaderMap};

/// A header as text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header as a whole number; fractions are cut off.
pub(super) fn number(headers: &HeaderMap, name: &header::HeaderName) -> Option<u64> {
    let value: f64 = text(headers, name)?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// The host of a request, in lower case and without a port.
pub(super) fn host_of(headers: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = uri.host().or_else(|| text(headers, &header::HOST));
    let host = host.unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    without_port.to_ascii_lowercase()
}

/// The object that a request's cookie names.
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

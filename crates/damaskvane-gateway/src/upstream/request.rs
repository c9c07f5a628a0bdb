//! A client's request, as it goes on to a backend server.

use std::io::Write;
use std::net;

use bytes::{Bytes, BytesMut};
use damaskvane_core::ids;
use damaskvane_dispatch::fingerprint::Fingerprint;
use hyper::header::{self, HeaderMap, HeaderName};

use crate::adapter::HeaderNames;

/// Headers that concern one connection, by RFC 9110, 7.6.1, and the framing that is written anew.
const ONE_CONNECTION: [HeaderName; 8] = [
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

/// Drops the headers that concern one connection, those that `Connection` names included.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&ONE_CONNECTION) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// A request with its body, ready to be sent any number of times.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: hyper::Method,
    /// Path and query.
    pub target: String,
    /// The client's headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// The body; `None` where the client announced none.
    pub body: Option<Bytes>,
    /// The client's name for this try.
    pub request_id: Option<String>,
    /// Where the client connected from.
    pub caller: net::IpAddr,
}

impl OutgoingRequest {
    /// What makes it the same request when its caller sends it again, under whatever name.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.caller.to_string();
        let host = self.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let fields = [&caller, host, self.method.as_str(), &self.target];
        Fingerprint::of_fields(fields, self.body.as_deref().unwrap_or_default())
    }

    /// The bytes of the request for one server, with the time left.
    #[must_use]
    pub fn to_bytes(
        &self,
        names: &HeaderNames,
        server: &ids::BackendServerId,
        left_ms: u64,
    ) -> Bytes {
        let body_length = self.body.as_ref().map_or(0, Bytes::len);
        let mut bytes = Vec::with_capacity(512 + body_length);
        put(
            &mut bytes,
            format_args!("{} {} HTTP/1.1\r\n", self.method, self.target),
        );
        for (name, value) in &self.headers {
            if *name == names.deadline_ms || *name == names.expected_server {
                continue;
            }
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        put(
            &mut bytes,
            format_args!("{}: {left_ms}\r\n", names.deadline_ms),
        );
        put(
            &mut bytes,
            format_args!("{}: {server}\r\n", names.expected_server),
        );
        if let Some(body) = &self.body {
            put(
                &mut bytes,
                format_args!("content-length: {}\r\n", body.len()),
            );
        }
        bytes.extend_from_slice(b"\r\n");
        if let Some(body) = &self.body {
            bytes.extend_from_slice(body);
        }
        BytesMut::from(&bytes[..]).freeze()
    }
}

fn put(bytes: &mut Vec<u8>, text: core::fmt::Arguments<'_>) {
    // Writing to memory doesn't fail.
    let _ = bytes.write_fmt(text);
}

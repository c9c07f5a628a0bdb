//! The request that is forwarded from a client to a backend server.

use std::io::Write;
use std::net;

use bytes::{Bytes, BytesMut};
use damaskvane_core::ids;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::RequestIdentity;
use damaskvane_routing::teams::TeamName;
use hyper::header::{self, HeaderMap};

use crate::adapter::HeaderNames;

/// A client's request with its complete body; it can be sent to several servers in turn.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: hyper::Method,
    /// The request target: path and query.
    pub target: String,
    /// The client's headers, without those that apply only to the client's connection.
    pub headers: HeaderMap,
    /// The body; `None` if the client announced no body.
    pub body: Option<Bytes>,
    /// The client's identifier for this attempt, if the request has one; servers repeat it in the response.
    pub request_id: Option<String>,
    /// The team that sends the request; servers receive its name, and never the client's key.
    pub team: Option<TeamName>,
    /// The IP address from which the client connected.
    pub client_address: net::IpAddr,
}

impl OutgoingRequest {
    /// Returns the fingerprints by which a request is recognized when it is sent again with another request ID.
    ///
    /// The caller is the client's address. A request's team is part of both fingerprints, so that a team can't get
    /// another team's requests refused.
    #[must_use]
    pub fn identity(&self) -> RequestIdentity {
        let team = self.team.as_ref().map(ToString::to_string);
        let fields = [
            team.as_deref().unwrap_or_default(),
            self.host(),
            self.method.as_str(),
            &self.target,
        ];
        let body = self.body.as_deref().unwrap_or_default();
        let request = Fingerprint::of_fields(fields, body);
        RequestIdentity::new(request, &self.client_address.to_string())
    }

    /// Returns the value of the `Host` header; empty if it is missing or not text.
    #[must_use]
    pub fn host(&self) -> &str {
        let host = self.headers.get(header::HOST);
        host.and_then(|host| host.to_str().ok()).unwrap_or_default()
    }

    /// Returns the path of the target, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// Returns the query of the target, if it has one.
    #[must_use]
    pub fn query(&self) -> Option<&str> {
        self.target.split_once('?').map(|(_, query)| query)
    }

    /// Serializes the request for `server`, with `remaining_ms` as the deadline header.
    #[must_use]
    pub fn to_bytes(
        &self,
        names: &HeaderNames,
        server: &ids::BackendServerId,
        remaining_ms: u64,
    ) -> Bytes {
        let body_length = self.body.as_ref().map_or(0, Bytes::len);
        let mut bytes = Vec::with_capacity(512 + body_length);
        append(
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
        append(
            &mut bytes,
            format_args!("{}: {remaining_ms}\r\n", names.deadline_ms),
        );
        append(
            &mut bytes,
            format_args!("{}: {server}\r\n", names.expected_server),
        );
        if let Some(team) = &self.team {
            append(&mut bytes, format_args!("{}: {team}\r\n", names.team));
        }
        if let Some(body) = &self.body {
            append(
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

fn append(bytes: &mut Vec<u8>, text: core::fmt::Arguments<'_>) {
    // Writing to a vector doesn't fail.
    let _ = bytes.write_fmt(text);
}

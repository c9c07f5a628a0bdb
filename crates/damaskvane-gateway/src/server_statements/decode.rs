//! Decodes what a response says of its server.

use damaskvane_core::ids;
use damaskvane_routing::pool::{
    LimitStatement, LoadReport, RestStatement, ServerReport, TimeFactor,
};
use hyper::StatusCode;
use hyper::header::{self, HeaderName};

use crate::adapter::HeaderNames;
use crate::http::ResponseHead;

/// Status of a rejection by which a server may ask for rest.
const REST_STATUS: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Value by which a server says that it leaves.
const LEAVING: &[u8] = b"1";

/// Decodes all that a response says of `server`, to which its request was sent.
#[must_use]
pub fn decode(
    names: &HeaderNames,
    server: &ids::BackendServerId,
    head: &ResponseHead,
) -> ServerReport {
    let fields = Fields { head };
    let named = fields.text(&names.server_id);
    let is_named_otherwise = named.is_some_and(|named| named != server.as_str());
    let warmup_left_ms = fields.text(&names.warmup_remaining_ms);
    let warmup_left_ms = warmup_left_ms.and_then(|text| text.trim().parse::<f64>().ok());
    let load = fields.text(&names.load).and_then(parse_load);
    let (load, time_factor) = load.unzip();
    ServerReport {
        load,
        time_factor: time_factor.flatten(),
        limit: fields.limit(&names.rate_limit),
        rest: fields.rest(),
        is_leaving: fields.is_leaving(&names.leaving),
        is_other_server: head.status == StatusCode::MISDIRECTED_REQUEST || is_named_otherwise,
        warmup_left_ms: warmup_left_ms.map(|left_ms| left_ms.max(0.0) as u64),
        is_signed: head.has_end_to_end(&names.signature),
        is_not_run: head.headers.contains_key(&names.not_run),
        is_able: !head.status.is_server_error(),
    }
}

/// The header fields of a response.
struct Fields<'a> {
    head: &'a ResponseHead,
}

impl Fields<'_> {
    fn text(&self, name: &HeaderName) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a field, `None` if there is none, and an empty text, which is no value, if there are several.
    fn single(&self, name: &HeaderName) -> Option<&str> {
        let mut values = self.head.headers.get_all(name).iter();
        let first = values.next()?;
        let is_single = values.next().is_none();
        Some(
            first
                .to_str()
                .ok()
                .filter(|_| is_single)
                .unwrap_or_default(),
        )
    }

    fn limit(&self, name: &HeaderName) -> LimitStatement {
        let Some(text) = self.single(name) else {
            return LimitStatement::Unlimited;
        };
        text.parse()
            .map_or(LimitStatement::Unreadable, LimitStatement::Limited)
    }

    fn rest(&self) -> RestStatement {
        let text = self.single(&header::RETRY_AFTER);
        let Some(text) = text.filter(|_| self.head.status == REST_STATUS) else {
            return RestStatement::Nothing;
        };
        text.parse()
            .map_or(RestStatement::Unreadable, RestStatement::Rest)
    }

    fn is_leaving(&self, name: &HeaderName) -> bool {
        let mut values = self.head.headers.get_all(name).iter();
        values.any(|value| value.as_bytes() == LEAVING)
    }
}

/// Reads the running and waiting requests, the slots and the time factor; an unreadable factor is none.
fn parse_load(text: &str) -> Option<(LoadReport, Option<TimeFactor>)> {
    let mut fields = text.split(',').map(str::trim);
    let load = LoadReport {
        running: fields.next()?.parse().ok()?,
        waiting: fields.next()?.parse().ok()?,
        slots: fields.next()?.parse().ok()?,
    };
    let time_factor = fields.next().and_then(|field| field.parse().ok());
    Some((load, time_factor))
}

//! Decodes what a response says of its server.

use damaskvane_core::ids;
use damaskvane_routing::pool::{LimitStatement, LoadReport, RestStatement, ServerReport};
use hyper::header::{self, HeaderName};

use crate::adapter::HeaderNames;
use crate::http::ResponseHead;

/// Status of a response from a server that the request was not meant for.
const MISDIRECTED: u16 = 421;
/// Status of a rejection by which a server may ask for rest.
const UNAVAILABLE: u16 = 503;
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
    ServerReport {
        load: fields.text(&names.load).and_then(parse_load),
        reports_speed: fields.text(&names.load).is_some_and(has_speed),
        limit: fields.limit(&names.rate_limit),
        rest: fields.rest(),
        is_leaving: fields.is_leaving(&names.leaving),
        is_other_server: head.status == MISDIRECTED || is_named_otherwise,
        warmup_left_ms: warmup_left_ms.map(|left_ms| left_ms.max(0.0) as u64),
        is_signed: head.headers.contains_key(&names.signature),
        is_not_run: head.headers.contains_key(&names.not_run),
        is_able: head.status < 500,
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
        let Some(text) = text.filter(|_| self.head.status == UNAVAILABLE) else {
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

fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

/// Returns whether the load has a fourth figure that tells the speed of the machine; 0 says that it is unknown.
fn has_speed(text: &str) -> bool {
    let figure = text.split(',').nth(3);
    let percent = figure.and_then(|figure| figure.trim().parse::<f64>().ok());
    percent.is_some_and(|percent| percent.is_finite() && percent > 0.0)
}

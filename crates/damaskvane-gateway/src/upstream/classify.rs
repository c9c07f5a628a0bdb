//! Reading of responses' headers, and the ends of exchanges that follow from errors.

use std::io;

use damaskvane_routing::pool::ExchangeEnd;
use hyper::header;

use crate::http::{ReadError, ResponseHead};

pub(super) fn retry_after_ms(head: &ResponseHead) -> Option<u64> {
    let text = head.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0) as u64)
}

pub(super) fn classify_io_error(error: &io::Error) -> ExchangeEnd {
    if error.kind() == io::ErrorKind::TimedOut {
        ExchangeEnd::Silent
    } else {
        ExchangeEnd::Broken
    }
}

pub(super) fn classify_read_error(error: &ReadError) -> ExchangeEnd {
    match error {
        ReadError::Io(error) => classify_io_error(error),
        ReadError::Malformed => ExchangeEnd::Malformed,
    }
}

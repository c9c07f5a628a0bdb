//! The ends of exchanges that follow from responses' heads and from errors, and what a rejection says.

use std::io;

use damaskvane_routing::pool::{ExchangeEnd, ServerReport};
use hyper::{StatusCode, header};

use crate::http::ResponseHead;
use crate::upstream::fault::ResponseFault;

/// Returns how an exchange ends if the body that follows the head is complete.
///
/// # Errors
///
/// Returns the fault of a success that isn't the server's unchanged response.
pub(super) fn classify_response(
    head: &ResponseHead,
    report: &ServerReport,
) -> Result<ExchangeEnd, ResponseFault> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        Ok(ExchangeEnd::Misdirected)
    } else if report.is_not_run {
        Ok(ExchangeEnd::Shed)
    } else if head.status.is_success() {
        check_success(head, report).map(|()| ExchangeEnd::Answered)
    } else if report.is_able {
        Ok(ExchangeEnd::Answered)
    } else {
        Ok(ExchangeEnd::Failed)
    }
}

fn check_success(head: &ResponseHead, report: &ServerReport) -> Result<(), ResponseFault> {
    if !report.is_signed {
        Err(ResponseFault::Unsigned)
    } else if head.headers.contains_key(header::CONTENT_ENCODING) {
        Err(ResponseFault::Encoded)
    } else {
        Ok(())
    }
}

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

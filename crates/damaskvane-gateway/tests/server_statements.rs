//! Tests of what is decoded from a response about its server: each field of the protocol.

use bytes::BytesMut;
use damaskvane_core::time::SpanMs;
use damaskvane_gateway::adapter::HeaderNames;
use damaskvane_gateway::http::ResponseHead;
use damaskvane_gateway::server_statements;
use damaskvane_routing::pool::{
    LimitStatement, LoadReport, RestStatement, ServerReport, StatementSource,
};
use hyper::header::HeaderName;

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("request-id"),
        deadline_ms: HeaderName::from_static("deadline"),
        expected_server: HeaderName::from_static("expected"),
        not_run: HeaderName::from_static("not-run"),
        signature: HeaderName::from_static("signature"),
        load: HeaderName::from_static("load"),
        rate_limit: HeaderName::from_static("limit"),
        leaving: HeaderName::from_static("leaving"),
        server_id: HeaderName::from_static("server"),
        warmup_remaining_ms: HeaderName::from_static("warmup"),
        team: HeaderName::from_static("team"),
        key_scheme: "Key".to_owned(),
        object_cookie: "object".to_owned(),
    }
}

fn decode(status: u16, headers: &str) -> ServerReport {
    let head = format!("HTTP/1.1 {status} Any\r\n{headers}content-length: 0\r\n\r\n");
    let head = ResponseHead::take(&mut BytesMut::from(head.as_bytes()));
    let head = head.expect("a valid head").expect("a complete head");
    server_statements::decode(&names(), &"s-1".parse().expect("a name"), &head)
}

/// Guards against a rejection whose wish for rest is read by nobody, and against one that is read from another response.
#[test]
fn a_rest_is_named_by_a_rejection_alone() {
    let rest = |status| decode(status, "retry-after: 2.5\r\n").rest;
    let RestStatement::Rest(named) = rest(503) else {
        panic!("{:?}", rest(503));
    };
    assert_eq!(named.span(), SpanMs::new(2_500));
    for status in [200, 301, 408, 421, 429, 500, 504] {
        assert_eq!(rest(status), RestStatement::Nothing, "{status}");
    }
    assert_eq!(decode(503, "").rest, RestStatement::Nothing);
}

/// Guards against a rest of a length that the server did not name.
#[test]
fn a_rest_that_is_no_single_number_is_unreadable() {
    for text in [
        "abc",
        "",
        "-1",
        "5, 5",
        "1e3",
        "Fri, 04 Dec 2026 10:00:00 GMT",
    ] {
        let report = decode(503, &format!("retry-after: {text}\r\n"));
        assert_eq!(report.rest, RestStatement::Unreadable, "{text}");
    }
    let twice = decode(503, "retry-after: 5\r\nretry-after: 6\r\n");
    assert_eq!(twice.rest, RestStatement::Unreadable);
    let bytes = decode(503, "retry-after: \u{fffd}\r\n");
    assert_eq!(bytes.rest, RestStatement::Unreadable);
}

/// Guards against a server that says it leaves, in any response, to an instance that does not read it.
#[test]
fn leaving_is_named_by_any_response() {
    for status in [200, 404, 500, 503] {
        assert!(decode(status, "leaving: 1\r\n").is_leaving, "{status}");
        assert!(!decode(status, "").is_leaving, "{status}");
    }
    for text in ["0", "", "true", "11"] {
        let report = decode(200, &format!("leaving: {text}\r\n"));
        assert!(!report.is_leaving, "{text}");
    }
    assert!(decode(200, "leaving: 0\r\nleaving: 1\r\n").is_leaving);
}

/// Guards against what one server says being kept for another.
#[test]
fn another_server_is_told_by_its_status_or_its_name() {
    assert!(decode(421, "").is_other_server);
    assert!(decode(200, "server: s-2\r\n").is_other_server);
    assert!(!decode(200, "server: s-1\r\n").is_other_server);
    assert!(!decode(503, "").is_other_server);
}

/// Guards against a limit that is not read, and one that a failure, a rejection or a probe ends.
#[test]
fn a_limit_is_named_and_ends_by_a_success_to_a_request() {
    let limited = decode(200, "signature: x\r\nlimit: 3\r\n");
    assert!(matches!(limited.limit, LimitStatement::Limited(rate) if rate.per_s() > 2.9));
    let success = decode(200, "signature: x\r\n");
    assert_eq!(
        success.limit_by(StatementSource::Response),
        LimitStatement::Unlimited
    );
    assert_eq!(
        success.limit_by(StatementSource::Probe),
        LimitStatement::Nothing
    );
    let others = [
        decode(200, ""),
        decode(500, "signature: x\r\n"),
        decode(503, "signature: x\r\nnot-run: 1\r\n"),
        decode(404, "signature: x\r\nnot-run: 1\r\n"),
    ];
    for report in others {
        assert_eq!(
            report.limit_by(StatementSource::Response),
            LimitStatement::Nothing
        );
    }
    let unreadable = decode(200, "limit: 5\r\nlimit: 6\r\n");
    assert_eq!(unreadable.limit, LimitStatement::Unreadable);
}

/// Guards against a load, a warm-up or a rejection that is read by nobody.
#[test]
fn load_warmup_and_rejection_are_read() {
    let report = decode(503, "load: 3, 2,4\r\nwarmup: 1200.5\r\nnot-run: 1\r\n");
    let load = LoadReport {
        running: 3,
        waiting: 2,
        slots: 4,
    };
    assert_eq!(report.load, Some(load));
    assert_eq!(report.warmup_left_ms, Some(1_200));
    assert!(report.is_not_run && !report.is_signed && !report.is_able);
    let bad = decode(200, "load: 3,x\r\nwarmup: soon\r\nsignature: x\r\n");
    assert_eq!((bad.load, bad.warmup_left_ms), (None, None));
    assert!(bad.is_signed && bad.is_able);
    assert_eq!(decode(200, "warmup: -5\r\n").warmup_left_ms, Some(0));
}

/// Guards against second copies of requests to servers that don't report their speed, and against none to those that do.
#[test]
fn a_fourth_figure_of_the_load_reports_the_speed() {
    for (text, reports_speed) in [
        ("3,2,4", false),
        ("3,2,4,100", true),
        ("3, 2, 4, 250", true),
        ("3,2,4,0", false),
        ("3,2,4,-5", false),
        ("3,2,4,NaN", false),
        ("3,2,4,fast", false),
        ("3,2,4,", false),
    ] {
        let report = decode(200, &format!("load: {text}\r\n"));
        assert_eq!(report.reports_speed, reports_speed, "{text}");
        assert!(report.load.is_some(), "{text}");
    }
}

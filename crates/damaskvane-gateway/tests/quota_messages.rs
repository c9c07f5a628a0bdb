//! Tests of the datagrams on teams' quotas.

use damaskvane_gateway::peers::Message;
use damaskvane_gateway::quota::{QuotaMessage, QuotaRequest, TokenUse};
use damaskvane_routing::teams::TeamKey;

fn request(priority: u32) -> QuotaRequest {
    QuotaRequest {
        id: 7,
        team: TeamKey(9),
        millitokens: 1_000,
        token_use: TokenUse::Request,
        priority,
    }
}

fn encoded(priority: u32) -> Vec<u8> {
    let message = Message::Quota(QuotaMessage::Request(request(priority)));
    message.encode().expect("an encoded message")
}

/// Guards against a priority that gets lost on its way to the holder of a pool.
#[test]
fn a_request_for_tokens_keeps_its_priority() {
    for priority in [0, 1, 2, u32::MAX] {
        let decoded = Message::decode(&encoded(priority));
        let Some(Message::Quota(QuotaMessage::Request(decoded))) = decoded else {
            panic!("no request of priority {priority}");
        };
        assert_eq!(decoded, request(priority));
    }
}

/// Guards against a form of the most urgent requests that an older process can't read.
#[test]
fn the_most_urgent_requests_have_the_form_of_older_processes() {
    let bytes = encoded(0);
    assert_eq!(bytes[bytes.len() - 6..], [0, 7, 9, 232, 7, 0]);
}

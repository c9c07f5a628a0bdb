//! Checks the expectations of a script against the state of the world.
//!
//! ```text
//! expectation + world -> Ok, or Err with the value found
//! ```

use damaskvane_core::ids;
use damaskvane_dispatch::{fingerprint, outcome};

use crate::script::{Comparison, Expectation, ExpectedResponse};
use crate::world::{ClientState, Server, World};

type CheckResult = Result<(), String>;

pub(super) fn check(world: &World, expectation: &Expectation) -> CheckResult {
    match expectation {
        Expectation::Response { label, expected } => check_response(world, label, *expected),
        Expectation::Responses {
            label,
            expected,
            count,
        } => check_responses(world, label, *expected, *count),
        Expectation::Runs { key, count } => compare(world.runs(key), *count),
        Expectation::Peak { server, count } => {
            compare(find_server(world, server)?.peak as u64, *count)
        }
        Expectation::Started { server, count } => {
            compare(find_server(world, server)?.log.len() as u64, *count)
        }
        Expectation::Cancelled { server, count } => {
            compare(find_server(world, server)?.cancelled, *count)
        }
        Expectation::Waited { label, wait_ms } => check_wait(world, label, *wait_ms),
        Expectation::RetryAfter { label, wait_ms } => check_retry_after(world, label, *wait_ms),
        Expectation::Incarnation { instance, number } => {
            check_incarnation(world, instance, *number)
        }
        Expectation::NoNewWork(server) => check_no_new_work(world, server),
        Expectation::Stopped(instance) => check_stopped(world, instance),
        Expectation::Quarantined(path) => check_quarantined(world, path),
    }
}

fn compare(measured: u64, expected: Comparison) -> CheckResult {
    if expected.holds(measured) {
        Ok(())
    } else {
        Err(format!("found {measured}"))
    }
}

fn find_server<'a>(world: &'a World, server: &ids::BackendServerId) -> Result<&'a Server, String> {
    world
        .servers
        .get(server)
        .ok_or_else(|| format!("there is no backend server {server}"))
}

fn client_state<'a>(world: &'a World, label: &ids::RequestId) -> Result<&'a ClientState, String> {
    world
        .requests
        .get(label)
        .map(|sent| &sent.state)
        .ok_or_else(|| format!("nobody sent {label}"))
}

fn check_response(
    world: &World,
    label: &ids::RequestId,
    expected: ExpectedResponse,
) -> CheckResult {
    let state = client_state(world, label)?;
    if matches_expected(state, expected) {
        Ok(())
    } else {
        Err(format!("found {}", describe(state)))
    }
}

fn check_responses(
    world: &World,
    label: &ids::RequestId,
    expected: ExpectedResponse,
    count: Comparison,
) -> CheckResult {
    let prefix = format!("{label}.");
    let responses: Vec<&ClientState> = world
        .requests
        .iter()
        .filter(|(label, _)| label.as_str().starts_with(&prefix))
        .map(|(_, sent)| &sent.state)
        .collect();
    let matching = responses
        .iter()
        .filter(|state| matches_expected(state, expected));
    compare(matching.count() as u64, count).map_err(|found| {
        let descriptions: Vec<String> = responses.iter().map(|state| describe(state)).collect();
        format!("{found} of {}", descriptions.join(", "))
    })
}

fn matches_expected(state: &ClientState, expected: ExpectedResponse) -> bool {
    let ClientState::Answered { outcome, .. } = state else {
        return expected == ExpectedResponse::None;
    };
    match (outcome, expected) {
        (outcome::Outcome::Completed(_), ExpectedResponse::Completed) => true,
        (outcome::Outcome::NotRun(found), ExpectedResponse::NotRun(reason)) => {
            reason.is_none_or(|reason| reason == found.reason())
        }
        (outcome::Outcome::Unknown(found), ExpectedResponse::Unknown(reason)) => {
            reason.is_none_or(|reason| reason == found.reason())
        }
        _ => false,
    }
}

fn describe(state: &ClientState) -> String {
    match state {
        ClientState::Waiting => "none".to_owned(),
        ClientState::ConnectionLost => "none (connection lost)".to_owned(),
        ClientState::Disconnected => "none (client gone)".to_owned(),
        ClientState::Answered { outcome, .. } => {
            let reason = outcome.reason().map(|reason| format!(" {reason}"));
            format!("{}{}", outcome.as_str(), reason.unwrap_or_default())
        }
    }
}

fn check_wait(world: &World, label: &ids::RequestId, expected: Comparison) -> CheckResult {
    let Some(sent) = world.requests.get(label) else {
        return Err(format!("nobody sent {label}"));
    };
    match &sent.state {
        ClientState::Answered { at, .. } => compare(at.since(sent.sent_at).get(), expected),
        other => Err(format!("found {}", describe(other))),
    }
}

fn check_retry_after(world: &World, label: &ids::RequestId, expected: Comparison) -> CheckResult {
    match client_state(world, label)? {
        ClientState::Answered {
            outcome: outcome::Outcome::NotRun(refused),
            ..
        } => compare(refused.retry_after().get(), expected),
        other => Err(format!("found {}", describe(other))),
    }
}

/// Compares the absolute incarnation number; the first incarnation of each instance is 1000.
fn check_incarnation(
    world: &World,
    instance: &ids::InstanceId,
    expected: Comparison,
) -> CheckResult {
    match world.home(instance) {
        Some(home) => compare(home.incarnation.get(), expected),
        None => Err(format!("there is no entry instance {instance}")),
    }
}

fn check_no_new_work(world: &World, server: &ids::BackendServerId) -> CheckResult {
    match find_server(world, server)?.late_requests {
        0 => Ok(()),
        late => Err(format!(
            "found {late} requests started later than 2 s after the order"
        )),
    }
}

fn check_stopped(world: &World, instance: &ids::InstanceId) -> CheckResult {
    match world.entries.get(instance) {
        Some(entry) if entry.has_stopped => Ok(()),
        Some(entry) => Err(format!("found it {:?}", entry.process_state)),
        None => Err(format!("there is no entry instance {instance}")),
    }
}

/// Checks that at least one entry instance rejects a request that was sent with this path.
fn check_quarantined(world: &World, path: &str) -> CheckResult {
    let fingerprints: Vec<fingerprint::Fingerprint> = world
        .requests
        .values()
        .filter(|sent| sent.request.path == path)
        .map(|sent| sent.request.fingerprint())
        .collect();
    let is_refused = world.entries.values().any(|entry| {
        let listed = entry.quarantined(world.now);
        listed
            .iter()
            .any(|listed| listed.is_refused && fingerprints.contains(&listed.fingerprint))
    });
    if is_refused {
        Ok(())
    } else {
        Err("no instance refuses it".to_owned())
    }
}

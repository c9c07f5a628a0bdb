//! Compares an expectation with the world.
//!
//! ```text
//! expectation + world -> fulfilled, or what was found
//! ```

use damaskvane_core::ids;
use damaskvane_dispatch::{fingerprint, outcome};

use crate::script::{Comparison, Expectation, ExpectedAnswer};
use crate::world::{ClientState, Server, World};

type Checked = Result<(), String>;

pub(super) fn check(world: &World, expectation: &Expectation) -> Checked {
    match expectation {
        Expectation::Answer { label, expected } => answer(world, label, *expected),
        Expectation::Answers {
            label,
            expected,
            count,
        } => answers(world, label, *expected, *count),
        Expectation::Runs { key, count } => number(world.runs(key), *count),
        Expectation::Peak { server, count } => {
            number(server_of(world, server)?.peak as u64, *count)
        }
        Expectation::Started { server, count } => {
            number(server_of(world, server)?.log.len() as u64, *count)
        }
        Expectation::Cancelled { server, count } => {
            number(server_of(world, server)?.cancelled, *count)
        }
        Expectation::Waited { label, wait_ms } => waited(world, label, *wait_ms),
        Expectation::RetryAfter { label, wait_ms } => retry_after(world, label, *wait_ms),
        Expectation::Incarnation { instance, number } => incarnation(world, instance, *number),
        Expectation::NoNewWork(server) => no_new_work(world, server),
        Expectation::Stopped(instance) => stopped(world, instance),
        Expectation::Quarantined(path) => quarantined(world, path),
    }
}

fn number(measured: u64, wanted: Comparison) -> Checked {
    if wanted.holds(measured) {
        Ok(())
    } else {
        Err(format!("found {measured}"))
    }
}

fn server_of<'a>(world: &'a World, server: &ids::BackendServerId) -> Result<&'a Server, String> {
    world
        .servers
        .get(server)
        .ok_or_else(|| format!("there is no backend server {server}"))
}

fn state<'a>(world: &'a World, label: &ids::RequestId) -> Result<&'a ClientState, String> {
    world
        .requests
        .get(label)
        .map(|sent| &sent.state)
        .ok_or_else(|| format!("nobody sent {label}"))
}

fn answer(world: &World, label: &ids::RequestId, expected: ExpectedAnswer) -> Checked {
    let state = state(world, label)?;
    if is_as_expected(state, expected) {
        Ok(())
    } else {
        Err(format!("found {}", described(state)))
    }
}

fn answers(
    world: &World,
    label: &ids::RequestId,
    expected: ExpectedAnswer,
    count: Comparison,
) -> Checked {
    let prefix = format!("{label}.");
    let series: Vec<&ClientState> = world
        .requests
        .iter()
        .filter(|(label, _)| label.as_str().starts_with(&prefix))
        .map(|(_, sent)| &sent.state)
        .collect();
    let fitting = series
        .iter()
        .filter(|state| is_as_expected(state, expected));
    number(fitting.count() as u64, count).map_err(|found| {
        let all: Vec<String> = series.iter().map(|state| described(state)).collect();
        format!("{found} of {}", all.join(", "))
    })
}

fn is_as_expected(state: &ClientState, expected: ExpectedAnswer) -> bool {
    let ClientState::Answered { outcome, .. } = state else {
        return expected == ExpectedAnswer::None;
    };
    match (outcome, expected) {
        (outcome::Outcome::Completed(_), ExpectedAnswer::Completed) => true,
        (outcome::Outcome::NotRun(found), ExpectedAnswer::NotRun(wanted)) => {
            wanted.is_none_or(|wanted| wanted == found.reason())
        }
        (outcome::Outcome::Unknown(found), ExpectedAnswer::Unknown(wanted)) => {
            wanted.is_none_or(|wanted| wanted == found.reason())
        }
        _ => false,
    }
}

fn described(state: &ClientState) -> String {
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

fn waited(world: &World, label: &ids::RequestId, wanted: Comparison) -> Checked {
    let Some(sent) = world.requests.get(label) else {
        return Err(format!("nobody sent {label}"));
    };
    match &sent.state {
        ClientState::Answered { at, .. } => number(at.since(sent.sent_at).get(), wanted),
        other => Err(format!("found {}", described(other))),
    }
}

fn retry_after(world: &World, label: &ids::RequestId, wanted: Comparison) -> Checked {
    match state(world, label)? {
        ClientState::Answered {
            outcome: outcome::Outcome::NotRun(refused),
            ..
        } => number(refused.retry_after().get(), wanted),
        other => Err(format!("found {}", described(other))),
    }
}

/// Incarnations count from the number that the instance's first start had.
fn incarnation(world: &World, instance: &ids::InstanceId, wanted: Comparison) -> Checked {
    match world.home(instance) {
        Some(home) => number(home.incarnation.get(), wanted),
        None => Err(format!("there is no entry instance {instance}")),
    }
}

fn no_new_work(world: &World, server: &ids::BackendServerId) -> Checked {
    match server_of(world, server)?.late_requests {
        0 => Ok(()),
        late => Err(format!(
            "found {late} requests started later than 2 s after the order"
        )),
    }
}

fn stopped(world: &World, instance: &ids::InstanceId) -> Checked {
    match world.entries.get(instance) {
        Some(entry) if entry.has_stopped => Ok(()),
        Some(entry) => Err(format!("found it {:?}", entry.process_state)),
        None => Err(format!("there is no entry instance {instance}")),
    }
}

/// Refused for the path on every running instance that knows of it.
fn quarantined(world: &World, path: &str) -> Checked {
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

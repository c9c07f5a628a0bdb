//! Identification of a client's team by the API key of its request.

use std::rc::Rc;

use damaskvane_routing::configuration::{Configuration, Route};
use damaskvane_routing::teams::{KeyDigest, Team};
use hyper::header::{self, HeaderMap, HeaderValue};

use crate::adapter::HeaderNames;

/// The team that sends a request, with the key by which the request names it.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) team: Rc<Team>,
    pub(crate) key: KeyDigest,
}

/// Whether a request's key permits it to run.
#[derive(Debug, Clone)]
pub(super) enum Identity {
    /// The configuration has no teams: keys mean nothing to this instance.
    WithoutTeams,
    /// The route needs no key, and the request has none that a team holds.
    Open,
    /// A team holds the key.
    Known(Caller),
    /// The route needs a key, and the request has none that a team holds.
    Unknown,
}

/// Identifies the team of a request, and removes the headers that no backend server may get from a client: the key, and
/// the team's name, which only this instance sets.
pub(super) fn identify(
    configuration: &Configuration,
    route: &Route,
    names: &HeaderNames,
    headers: &mut HeaderMap,
) -> Identity {
    let Some(teams) = configuration.teams() else {
        return Identity::WithoutTeams;
    };
    let key = key_digest(headers, &names.key_scheme);
    headers.remove(header::AUTHORIZATION);
    headers.remove(&names.team);
    let holder = key.and_then(|key| Some((teams.holder(key)?, key)));
    match holder {
        Some((team, key)) => Identity::Known(Caller {
            team: Rc::clone(team),
            key,
        }),
        None if route.is_open => Identity::Open,
        None => Identity::Unknown,
    }
}

/// Returns the digest of the request's key, or `None` if the request has no key or several.
fn key_digest(headers: &HeaderMap, scheme: &str) -> Option<KeyDigest> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (first, second) = (values.next()?, values.next());
    if second.is_some() {
        return None;
    }
    key_of(first, scheme).map(KeyDigest::of_key)
}

fn key_of<'a>(value: &'a HeaderValue, scheme: &str) -> Option<&'a [u8]> {
    let bytes = value.as_bytes();
    let (given, rest) = bytes.split_at_checked(scheme.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    let is_key = !key.is_empty() && key.iter().all(u8::is_ascii_graphic);
    (given.eq_ignore_ascii_case(scheme.as_bytes()) && is_key).then_some(key)
}

//! Decides by its key and its regions whether a request may run, before its body is read.

use std::rc::Rc;

use damaskvane_routing::configuration::Route;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::clients::caller::{Caller, Identity};
use crate::clients::{reply, send_right};
use crate::node::Node;
use crate::upstream::ResponseBody;

/// Reason why a request is refused before its body is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Unauthorized {
    /// No team holds the request's key, or the request has none.
    UnknownKey {
        /// Authorization scheme by which requests carry their keys.
        scheme: HeaderValue,
    },
    /// This instance can't exclude that the key was revoked, since its configuration may be outdated.
    ConfigurationOutdated,
    /// No region is allowed both to the route and to the team.
    NoCommonRegion,
}

impl Unauthorized {
    /// Returns the label of the reason in logs and counters.
    pub(super) const fn as_str(&self) -> &'static str {
        match self {
            Self::UnknownKey { .. } => "unknown_key",
            Self::ConfigurationOutdated => "stale_configuration",
            Self::NoCommonRegion => "no_common_region",
        }
    }

    /// Returns the response to the client.
    pub(super) fn response(self) -> Response<ResponseBody> {
        match self {
            Self::UnknownKey { scheme } => {
                let text = "the request has no key that a team holds\n";
                let mut response = reply::from_instance(StatusCode::UNAUTHORIZED, text);
                let headers = response.headers_mut();
                headers.insert(header::WWW_AUTHENTICATE, scheme);
                response
            }
            Self::ConfigurationOutdated => reply::configuration_outdated(),
            Self::NoCommonRegion => reply::not_run(
                "the route and the team have no region in common\n",
                NO_REGION_RETRY_AFTER_MS,
            ),
        }
    }
}

/// Retry delay sent to clients whose requests no region may serve: a new configuration may allow one.
const NO_REGION_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the caller of a request that may run, or `None` if the request needs no key and has none.
pub(super) fn authorize(
    node: &Rc<Node>,
    route: &Route,
    identity: Identity,
) -> Result<Option<Caller>, Unauthorized> {
    let caller = match identity {
        Identity::WithoutTeams | Identity::Open => return Ok(None),
        Identity::Known(caller) => caller,
        Identity::Unknown if !send_right::is_configuration_current(node) => {
            return Err(Unauthorized::ConfigurationOutdated);
        }
        Identity::Unknown => {
            let scheme = HeaderValue::from_str(&node.adapter.headers().key_scheme);
            // The scheme's name is a valid header value.
            let scheme = scheme.unwrap_or(HeaderValue::from_static("Bearer"));
            return Err(Unauthorized::UnknownKey { scheme });
        }
    };
    if !send_right::is_configuration_current(node) {
        // The team of an open route is only a courtesy.
        return if route.is_open {
            Ok(None)
        } else {
            Err(Unauthorized::ConfigurationOutdated)
        };
    }
    let regions = route.regions().intersection(caller.team.regions());
    if regions.is_empty() {
        return Err(Unauthorized::NoCommonRegion);
    }
    Ok(Some(caller))
}

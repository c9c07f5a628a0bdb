//! Maps request paths to the parts of the clients' interface.
//!
//! ```
//! use damaskvane_entry::client_api::route;
//!
//! let route = route::Route::parse("/v1/services/rider-desk/riders/7?full=1");
//! assert_eq!(route, route::Route::Service { service: "rider-desk", path: "/riders/7?full=1" });
//! ```

const LOOKUP_PATH: &str = "/v1/lookup";
const SERVICES_PREFIX: &str = "/v1/services/";

/// Part of the clients' interface that a path selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// Lookup of the entry instances that a client should use.
    Lookup,
    /// Request for a service.
    Service {
        /// Name of the service from the path, not validated.
        service: &'a str,
        /// Path and query for the backend server, starting with a slash.
        path: &'a str,
    },
    /// Path that selects no part of the interface.
    Unknown,
}

impl<'a> Route<'a> {
    /// Parses the path and query of a request line.
    #[must_use]
    pub fn parse(path_and_query: &'a str) -> Self {
        let path = path_and_query
            .split_once('?')
            .map_or(path_and_query, |(path, _)| path);
        if path == LOOKUP_PATH {
            return Self::Lookup;
        }
        let Some(rest) = path_and_query.strip_prefix(SERVICES_PREFIX) else {
            return Self::Unknown;
        };
        match rest.find('/') {
            Some(slash) => Self::Service {
                service: &rest[..slash],
                path: &rest[slash..],
            },
            None => Self::Unknown,
        }
    }
}

/// Returns the value of a query parameter without decoding, since values are identifiers, which need no
/// escaping. Returns `None` if the parameter is absent.
#[must_use]
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

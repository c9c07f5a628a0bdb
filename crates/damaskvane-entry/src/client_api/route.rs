//! Which part of the clients' interface a path names.
//!
//! ```
//! use damaskvane_entry::client_api::route;
//!
//! let route = route::Route::parse("/v1/services/rider-desk/riders/7?full=1");
//! assert_eq!(route, route::Route::Service { service: "rider-desk", path: "/riders/7?full=1" });
//! ```

const LOOKUP_PATH: &str = "/v1/lookup";
const SERVICES_PREFIX: &str = "/v1/services/";

/// A part of the clients' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// Which entry instances to use.
    Lookup,
    /// A request for a service.
    Service {
        /// The service's name as it stands in the path.
        service: &'a str,
        /// Path and query for the backend server, from the slash on.
        path: &'a str,
    },
    /// Nothing that exists.
    Unknown,
}

impl<'a> Route<'a> {
    /// Reads the path and query of a request line.
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

/// The value of a query parameter; values are identifiers, which need no escaping.
#[must_use]
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

//! The complete configuration, with a lookup of routes by host and path.

use std::collections::HashMap;
use std::rc::Rc;

use damaskvane_core::ids;

use crate::configuration::{Limits, Route, Service};
use crate::teams::Teams;

/// One version of the configuration. A new version replaces the whole value.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    version: ids::ConfigVersion,
    /// Routes by host; within a host the longest path prefix comes first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ids::ServiceId, Service>,
    limits: Limits,
    teams: Option<Teams>,
}

impl Configuration {
    /// Builds a configuration, with the routes of each host ordered by descending prefix length.
    pub fn new(
        version: ids::ConfigVersion,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.id.clone(), service))
                .collect(),
            limits,
            teams: None,
        }
    }

    /// Returns the configuration with teams: requests on routes that aren't open then need a key.
    #[must_use]
    pub fn with_teams(self, teams: Teams) -> Self {
        Self {
            teams: Some(teams),
            ..self
        }
    }

    /// Returns the teams, or `None` if requests need no key.
    #[must_use]
    pub const fn teams(&self) -> Option<&Teams> {
        self.teams.as_ref()
    }

    /// Returns the version of this configuration.
    #[must_use]
    pub const fn version(&self) -> ids::ConfigVersion {
        self.version
    }

    /// Returns the limits on clients' requests.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route of the host with the longest prefix of the path, or `None` if no route matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the routes of a host, the longest prefix first.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.get(host).into_iter().flatten()
    }

    /// Returns the routes of all hosts, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the service with the given name, or `None` if the configuration has no such service.
    #[must_use]
    pub fn service(&self, id: &ids::ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

//! The whole configuration, with a table that finds a request's route.

use std::collections::HashMap;
use std::rc::Rc;

use damaskvane_core::ids;

use crate::configuration::{Limits, Route, Service};

/// A complete configuration; it is replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    version: ids::ConfigVersion,
    /// Routes of each host, the longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ids::ServiceId, Service>,
    limits: Limits,
}

impl Configuration {
    /// Builds the table of a version.
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
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.id.clone(), service))
                .collect(),
            limits,
        }
    }

    /// The version.
    #[must_use]
    pub const fn version(&self) -> ids::ConfigVersion {
        self.version
    }

    /// The bounds on clients' requests.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// The route whose prefix is the longest that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let of_host = self.routes.get(host)?;
        of_host
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The routes of a host, the longest prefix first.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.get(host).into_iter().flatten()
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, id: &ids::ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

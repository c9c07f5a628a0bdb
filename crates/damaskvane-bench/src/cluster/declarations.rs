//! The TOML declarations of a deployment.
//!
//! ```
//! use std::collections::BTreeMap;
//! use damaskvane_bench::cluster;
//!
//! let deployment = cluster::Deployment::grid(2, 1, 1);
//! let text = cluster::Declarations::new(&deployment, &BTreeMap::new()).whole();
//! assert!(text.contains("[availability_zone.region1-z1]"));
//! ```

use std::collections::BTreeMap;

use crate::cluster::{Deployment, Placement, Service};

/// How many client blocks are declared near each zone.
const BLOCKS_PER_ZONE: u32 = 2_000;

/// Writes declarations; addresses are by backend server.
#[derive(Debug, Clone, Copy)]
pub struct Declarations<'a> {
    deployment: &'a Deployment,
    addresses: &'a BTreeMap<String, String>,
}

impl<'a> Declarations<'a> {
    /// The declarations of a deployment whose backend servers listen there.
    #[must_use]
    pub const fn new(deployment: &'a Deployment, addresses: &'a BTreeMap<String, String>) -> Self {
        Self {
            deployment,
            addresses,
        }
    }

    /// Everything.
    #[must_use]
    pub fn whole(&self) -> String {
        let mut text = String::new();
        for region in self.deployment.regions() {
            text.push_str(&format!("[region.{region}]\n\n"));
        }
        for zone in self.deployment.zones() {
            let (name, region) = (&zone.name, &zone.region);
            text.push_str(&format!(
                "[availability_zone.{name}]\nregion = \"{region}\"\n\n"
            ));
            text.push_str(&format!(
                "[site.{name}]\navailability_zone = \"{name}\"\n\n"
            ));
            text.push_str(&client_blocks(name, 0, BLOCKS_PER_ZONE - 1));
        }
        for service in &self.deployment.services {
            text.push_str(&self.service(service));
            for placement in self.deployment.placements(service) {
                text.push_str(&self.backend_server(service, &placement, false));
            }
        }
        text.push_str(&self.links());
        text
    }

    /// One backend server, draining or not.
    #[must_use]
    pub fn backend_server(
        &self,
        service: &Service,
        placement: &Placement,
        draining: bool,
    ) -> String {
        let address = self
            .addresses
            .get(&placement.server)
            .map_or("127.0.0.1:1", String::as_str);
        format!(
            "[backend_server.{}]\nservice = \"{}\"\navailability_zone = \"{}\"\naddress = \"{address}\"\nslots = {}\nconnections = {}\ndraining = {draining}\n\n",
            placement.server, service.name, placement.zone, service.slots, service.connections,
        )
    }

    fn service(&self, service: &Service) -> String {
        format!(
            "[service.{}]\nrequest_timeout_ms = 2000\nlookup_ttl_ms = {}\nqueue_limit = 64\nretry_budget_permille = 100\nidempotency_window_ms = 600000\npolicy = \"{}\"\ntypical_request_ms = {}\n\n",
            service.name, self.deployment.lookup_ttl_ms, service.policy, service.service_ms,
        )
    }

    fn links(&self) -> String {
        let regions = self.deployment.regions();
        let mut text = String::new();
        for from in &regions {
            for to in regions.iter().filter(|to| *to != from) {
                text.push_str(&format!(
                    "[link.{from}--{to}]\nfrom = \"{from}\"\nto = \"{to}\"\ncapacity_mbps = {}\n\n",
                    self.deployment.link_mbps,
                ));
            }
        }
        text
    }
}

/// A set of client blocks near a zone.
#[must_use]
fn client_blocks(zone: &str, first: u32, last: u32) -> String {
    format!(
        "[client_blocks.{zone}]\nnear = \"{zone}\"\nranges = [{{ prefix = \"{zone}-\", first = {first}, last = {last} }}]\n\n"
    )
}

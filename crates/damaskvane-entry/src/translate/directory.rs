//! The directory: the part of the configuration and the membership that the engine uses.
//!
//! ```
//! use damaskvane_config::state;
//! use damaskvane_entry::translate;
//!
//! let zone = "sask-a".parse()?;
//! let directory = translate::directory(&state::ConfigState::default(), &zone, Default::default());
//! assert!(directory.backend_servers.is_empty());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::BTreeMap;

use damaskvane_config::{declaration, state};
use damaskvane_core::ids;
use damaskvane_engine::directory;

/// Returns the directory of an entry instance in `zone`, with the backend servers of that zone only.
#[must_use]
pub fn directory(
    config: &state::ConfigState,
    zone: &ids::AvailabilityZoneId,
    instances: BTreeMap<ids::InstanceId, directory::PeerInstance>,
) -> directory::Directory {
    let backend_servers = config
        .backend_servers()
        .iter()
        .filter(|(_, server)| server.availability_zone == *zone)
        .map(|(id, server)| (id.clone(), backend_server(server)))
        .collect();
    directory::Directory {
        version: config.version(),
        own_zone: Some(zone.clone()),
        own_region: config
            .availability_zones()
            .get(zone)
            .map(|zone| zone.region.clone()),
        lookup_ttl: config
            .services()
            .values()
            .map(|service| service.lookup_ttl_ms)
            .max()
            .unwrap_or_default(),
        services: config
            .services()
            .iter()
            .map(|(id, service)| (id.clone(), engine_service(service)))
            .collect(),
        backend_servers,
        instances,
    }
}

fn backend_server(server: &declaration::BackendServer) -> directory::BackendServer {
    directory::BackendServer {
        service: server.service.clone(),
        address: server.address,
        slots: server.slots,
        connections: server.connections,
        draining: server.draining,
    }
}

fn engine_service(service: &declaration::Service) -> directory::Service {
    directory::Service {
        request_timeout: service.request_timeout_ms,
        typical_duration: service.typical_request_ms,
        queue_limit: service.queue_limit,
        retry_budget: service.retry_budget_permille,
    }
}

//! Set-up of the world, distribution of its configuration and orders of operators.
//!
//! ```text
//! declared -> each instance receives the configuration within 200 ms -> its directory
//! ```

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_engine::{directory, event};
use damaskvane_membership::{record, state, view};

use crate::script::{Control, SetUp};
use crate::world::delivery::Input;
use crate::world::entry::ProcessState;
use crate::world::{World, server};

const FIRST_PORT: u16 = 9_000;
const CONNECTIONS: u32 = 330;
const LOOKUP_TTL: time::SpanMs = time::SpanMs::new(2_000);
/// Minimum and maximum delay of a new configuration to an entry instance, in milliseconds.
const CONFIG_DELAY_MS: (u64, u64) = (20, 200);

/// A version of the declared services and backend servers.
#[derive(Debug, Clone, Default)]
pub(super) struct Config {
    version: ids::ConfigVersion,
    services: BTreeMap<ids::ServiceId, directory::Service>,
    servers: BTreeMap<ids::BackendServerId, (ids::AvailabilityZoneId, directory::BackendServer)>,
}

impl World {
    /// Applies a set-up statement of a script.
    pub fn set_up(&mut self, set_up: SetUp) {
        match set_up {
            SetUp::Seed(seed) => self.reseed(seed),
            SetUp::Network {
                delay,
                jitter,
                loss_permille,
            } => {
                self.settings.delay = delay;
                self.settings.jitter = jitter;
                self.settings.loss_permille = loss_permille;
            }
            SetUp::Keys { max_keys, window } => {
                self.settings.max_keys = Some(max_keys);
                self.settings.key_window = Some(window);
            }
            SetUp::Zone(_) => {}
            SetUp::Service {
                service,
                timeout,
                queue,
                time,
            } => {
                let declared = directory::Service {
                    request_timeout: timeout,
                    typical_duration: time,
                    queue_limit: queue,
                    ..directory::Service::default()
                };
                self.config.services.insert(service, declared);
            }
            SetUp::Server {
                server,
                zone,
                service,
                slots,
            } => self.add_server(server, zone, service, slots),
            SetUp::Entry { instance, zone } => self.add_entry(instance, zone),
        }
        if self.config.version == ids::ConfigVersion::default() {
            self.config.version = ids::ConfigVersion::new(1);
        }
    }

    fn add_server(
        &mut self,
        id: ids::BackendServerId,
        zone: ids::AvailabilityZoneId,
        service: ids::ServiceId,
        slots: damaskvane_core::units::Slots,
    ) {
        let port = FIRST_PORT + self.servers.len() as u16;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port));
        let run_time = self
            .config
            .services
            .get(&service)
            .map_or(time::SpanMs::new(50), |service| service.typical_duration);
        let declared = directory::BackendServer {
            slots,
            connections: CONNECTIONS,
            ..directory::BackendServer::new(service, address)
        };
        self.config.servers.insert(id.clone(), (zone, declared));
        let server = server::Server::new(id.clone(), address, slots, run_time);
        self.servers.insert(id, server);
    }

    fn add_entry(&mut self, instance: ids::InstanceId, zone: ids::AvailabilityZoneId) {
        let region = region_of(&zone);
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
        self.start_process(record::InstanceRecord {
            instance,
            zone,
            region,
            incarnation: ids::Incarnation::new(1_000),
            client_address: address,
            peer_address: address,
            operator_address: address,
            leaving: false,
            fenced: false,
            goes_on_alone: false,
        });
    }

    /// Drains or undrains a backend server, or begins a planned stop of an entry instance.
    pub fn apply_control(&mut self, control: &Control) {
        match control {
            Control::Drain(server) => self.set_draining(server, true),
            Control::Undrain(server) => self.set_draining(server, false),
            Control::Stop(instance) => self.stop(instance),
        }
    }

    fn set_draining(&mut self, id: &ids::BackendServerId, draining: bool) {
        let now = self.now;
        if let Some((_, declared)) = self.config.servers.get_mut(id) {
            declared.draining = draining;
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.drained_since = draining.then_some(now);
        }
        self.config.version = self.config.version.next();
        let entries: Vec<ids::InstanceId> = self.entries.keys().cloned().collect();
        for entry in entries {
            let delay = self.random_ms(CONFIG_DELAY_MS.0, CONFIG_DELAY_MS.1);
            self.send_to_entry(&entry, delay, Input::Configure);
        }
    }

    fn stop(&mut self, instance: &ids::InstanceId) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if entry.process_state == ProcessState::Ended || entry.record.leaving {
            return;
        }
        entry.record.leaving = true;
        let record = entry.record.clone();
        self.platform.register(record);
        let leave = Input::Membership(Box::new(view::Event::Leave));
        self.send_to_entry(instance, time::SpanMs::ZERO, leave);
        let leave = Input::Engine(Box::new(event::Event::Leave));
        self.send_to_entry(instance, time::SpanMs::ZERO, leave);
    }

    pub(super) fn configure(&mut self, instance: &ids::InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.config = self.config.clone();
        }
        self.publish_directory(instance);
    }

    pub(super) fn publish_directory(&mut self, instance: &ids::InstanceId) {
        let Some(entry) = self.entries.get(instance) else {
            return;
        };
        if entry.config.version == ids::ConfigVersion::default() {
            return;
        }
        let zone = entry.record.zone.clone();
        let backend_servers = entry
            .config
            .servers
            .iter()
            .filter(|(_, (server_zone, _))| *server_zone == zone)
            .map(|(id, (_, server))| (id.clone(), server.clone()))
            .collect();
        let directory = directory::Directory {
            version: entry.config.version,
            own_region: Some(region_of(&zone)),
            own_zone: Some(zone),
            lookup_ttl: LOOKUP_TTL,
            services: entry.config.services.clone(),
            backend_servers,
            instances: entry
                .membership
                .instances()
                .map(|view| peer(&view))
                .collect(),
        };
        self.pass_to_engine(instance, event::Event::Directory(Arc::new(directory)));
    }
}

fn region_of(zone: &ids::AvailabilityZoneId) -> ids::RegionId {
    let text = zone.as_str();
    let region = text.rsplit_once('-').map_or(text, |(region, _)| region);
    region
        .parse()
        .unwrap_or_else(|_| unreachable!("a prefix of a valid zone name is a valid region name"))
}

fn peer(view: &view::InstanceView<'_>) -> (ids::InstanceId, directory::PeerInstance) {
    let reachability = match view.state {
        state::InstanceState::Live | state::InstanceState::Suspect => directory::Reachability::Live,
        state::InstanceState::Leaving => directory::Reachability::Leaving,
        state::InstanceState::Dead | state::InstanceState::Gone => directory::Reachability::Dead,
    };
    let peer = directory::PeerInstance {
        incarnation: view.incarnation,
        availability_zone: view.record.zone.clone(),
        region: view.record.region.clone(),
        reachability,
    };
    (view.record.instance.clone(), peer)
}

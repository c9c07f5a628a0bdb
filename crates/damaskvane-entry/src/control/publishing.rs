//! Publishes what the control thread derives from the active configuration and the membership (the known instances and
//! their states): the plan and serving state for lookups, the directory for the engine, and the status for operators.
//!
//! A lookup is a client's query for the instances to which to send its requests; the engine is the state machine
//! that selects a backend server for each request.
//!
//! ```text
//! active configuration + membership -> serving state, directory, status
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_config::state;
use damaskvane_core::ids;
use damaskvane_engine::{directory, event};
use damaskvane_membership::{ownership, state as membership_state, view};
use damaskvane_steering::plan;
use serde_json::json;

use crate::control::Control;
use crate::health_reports;
use crate::inbox;
use crate::serving;
use crate::translate;

impl Control {
    /// Sends the list of backend servers to the polling thread and a new directory (services, backend
    /// servers of the zone, and known instances) to the engine, and replaces the plan and the serving state
    /// for lookups. Does nothing while no configuration is active.
    pub(super) fn publish(&mut self) {
        let Some(active) = self.relay.applier().active_config().cloned() else {
            return;
        };
        let config = active.state();
        let _ = self.health.send(self.polled_servers(&config));
        let directory = translate::directory(
            &config,
            &self.record.availability_zone,
            self.peer_instances(),
        );
        let _ = self
            .engine
            .send(inbox::Input::Event(event::Event::Directory(Arc::new(
                directory,
            ))));
        self.update_plan();
    }

    pub(super) fn publish_serving(
        &self,
        config: Arc<state::ConfigState>,
        clients: Arc<serving::ClientZones>,
        plan: plan::Plan,
    ) {
        let services = config
            .services()
            .iter()
            .map(|(id, service)| {
                let ttl = service.lookup_ttl_ms;
                (id.clone(), serving::LookupService { ttl })
            })
            .collect();
        self.serving.replace(serving::ServingState {
            version: config.version(),
            clients,
            own_zone: Some(self.record.availability_zone.clone()),
            services,
            plan,
            entries: self.entry_points(),
            config: Some(config),
        });
    }

    fn entry_points(&self) -> BTreeMap<ids::AvailabilityZoneId, Vec<serving::EntryEndpoint>> {
        let mut points: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for instance in self.membership.instances() {
            if instance.state.takes_new_work() {
                points
                    .entry(instance.record.zone.clone())
                    .or_default()
                    .push(serving::EntryEndpoint {
                        instance: instance.record.instance.clone(),
                        incarnation: self
                            .serving
                            .homes
                            .latest(&instance.record.instance, instance.incarnation),
                        client_address: instance.record.client_address.to_string(),
                    });
            }
        }
        if !self.record.leaving && !self.membership.is_fenced() {
            points
                .entry(self.record.availability_zone.clone())
                .or_default()
                .push(serving::EntryEndpoint {
                    instance: self.record.instance.clone(),
                    incarnation: self
                        .serving
                        .homes
                        .latest(&self.record.instance, self.record.incarnation),
                    client_address: self.record.client_address.to_string(),
                });
        }
        points
    }

    /// Returns the backend servers that this instance owns, that is, whose slots it grants. Only the owner
    /// polls a server for its health.
    fn polled_servers(&self, config: &state::ConfigState) -> Vec<health_reports::PolledServer> {
        let roster = self.membership.roster();
        let owners: Vec<&ids::InstanceId> = roster
            .members
            .iter()
            .filter(|member| !member.leaving && member.gone.is_none())
            .map(|member| &member.instance)
            .collect();
        config
            .backend_servers()
            .iter()
            .filter(|(_, server)| server.availability_zone == self.record.availability_zone)
            .filter(|(id, _)| {
                let owner = ownership::owner(id.as_str(), owners.iter().copied());
                owner.as_ref() == Some(&self.record.instance)
            })
            .map(|(id, server)| health_reports::PolledServer {
                backend_server: id.clone(),
                address: server.address,
            })
            .collect()
    }

    fn peer_instances(&self) -> BTreeMap<ids::InstanceId, directory::PeerInstance> {
        self.membership
            .instances()
            .map(|instance| {
                let peer = directory::PeerInstance {
                    incarnation: instance.incarnation,
                    availability_zone: instance.record.zone.clone(),
                    region: instance.record.region.clone(),
                    reachability: reachability(instance.state),
                };
                (instance.record.instance.clone(), peer)
            })
            .collect()
    }

    pub(super) fn publish_status(&self) {
        let instances: Vec<_> = self
            .membership
            .instances()
            .map(|instance| describe_instance(&instance))
            .collect();
        self.status.publish("instances", json!(instances));
        self.status
            .publish("relay", json!(self.relay.is_watching()));
        let state_hash = self
            .relay
            .applier()
            .active_config()
            .map(|active| active.state_hash().to_string());
        self.status.publish("state_hash", json!(state_hash));
    }
}

const fn reachability(state: membership_state::InstanceState) -> directory::Reachability {
    match state {
        membership_state::InstanceState::Live | membership_state::InstanceState::Suspect => {
            directory::Reachability::Live
        }
        membership_state::InstanceState::Leaving => directory::Reachability::Leaving,
        membership_state::InstanceState::Dead | membership_state::InstanceState::Gone => {
            directory::Reachability::Dead
        }
    }
}

fn describe_instance(instance: &view::InstanceView<'_>) -> serde_json::Value {
    json!({
        "instance": instance.record.instance,
        "availability_zone": instance.record.zone,
        "incarnation": instance.incarnation,
        "state": instance.state.as_str(),
        "silent_ms": instance.heartbeat_age,
        "config_version": instance.config_version,
    })
}

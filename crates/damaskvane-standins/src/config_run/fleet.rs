//! The simulated instances, with their incarnations and pauses, and the partitioned zones.

use std::collections::BTreeMap;

use damaskvane_config::relay::{Member, Relay, RelaySettings, View};
use damaskvane_core::{ids, time};

/// One simulated instance.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) member: Member,
    pub(super) relay: Relay,
    pub(super) incarnation: u64,
    pub(super) paused_until: time::TimeMs,
    pub(super) max_version: ids::ConfigVersion,
}

/// All simulated instances, and the zones cut off from the others.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) instances: BTreeMap<ids::InstanceId, Instance>,
    partitioned_until: BTreeMap<ids::AvailabilityZoneId, time::TimeMs>,
    next_seed: u64,
}

impl Fleet {
    pub(super) fn new(zones: usize, instances_per_zone: usize, seed: u64) -> Self {
        let mut fleet = Self {
            instances: BTreeMap::new(),
            partitioned_until: BTreeMap::new(),
            next_seed: seed,
        };
        for zone in 0..zones {
            for number in 0..instances_per_zone {
                let zone_name = format!("z{zone}");
                let ids = (format!("{zone_name}-{number}").parse(), zone_name.parse());
                if let (Ok(instance), Ok(availability_zone)) = ids {
                    fleet.boot(Member {
                        instance,
                        availability_zone,
                    });
                }
            }
        }
        fleet
    }

    /// Starts an instance without an active configuration; replaces an instance of the same name.
    pub(super) fn boot(&mut self, member: Member) {
        self.next_seed += 1;
        let incarnation = self.next_seed;
        let settings = RelaySettings::default();
        let relay = Relay::new(member.clone(), settings, incarnation);
        let instance = Instance {
            member: member.clone(),
            relay,
            incarnation,
            paused_until: time::TimeMs::ZERO,
            max_version: ids::ConfigVersion::new(0),
        };
        self.instances.insert(member.instance, instance);
    }

    /// Returns the membership view of one instance: all other instances.
    pub(super) fn view_of(&self, me: &ids::InstanceId) -> View {
        let others = self.instances.values().map(|instance| &instance.member);
        View {
            members: others
                .filter(|member| member.instance != *me)
                .cloned()
                .collect(),
        }
    }

    pub(super) fn zone_of(&self, instance: &ids::InstanceId) -> Option<&ids::AvailabilityZoneId> {
        let instance = self.instances.get(instance)?;
        Some(&instance.member.availability_zone)
    }

    pub(super) fn partition(&mut self, zone: &ids::AvailabilityZoneId, until: time::TimeMs) {
        self.partitioned_until.insert(zone.clone(), until);
    }

    pub(super) fn is_partitioned(&self, zone: &ids::AvailabilityZoneId, now: time::TimeMs) -> bool {
        self.partitioned_until
            .get(zone)
            .is_some_and(|until| now < *until)
    }

    /// Returns whether messages can be delivered between two instances.
    ///
    /// Instances of one zone stay connected while the zone is partitioned from the others.
    pub(super) fn is_connected(
        &self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        now: time::TimeMs,
    ) -> bool {
        match (self.zone_of(from), self.zone_of(to)) {
            (Some(from), Some(to)) => {
                from == to || !(self.is_partitioned(from, now) || self.is_partitioned(to, now))
            }
            _ => false,
        }
    }

    /// Returns the active version of each instance, lowest first.
    pub(super) fn versions(&self) -> Vec<ids::ConfigVersion> {
        let instances = self.instances.values();
        let mut versions: Vec<_> = instances
            .map(|instance| instance.relay.applier().version())
            .collect();
        versions.sort_unstable();
        versions
    }

    /// Ends all partitions and pauses.
    pub(super) fn heal(&mut self) {
        self.partitioned_until.clear();
        for instance in self.instances.values_mut() {
            instance.paused_until = time::TimeMs::ZERO;
        }
    }
}

//! The instances, their incarnations, pauses and cut zones.

use std::collections::BTreeMap;

use damaskvane_config::relay::{Member, Relay, RelaySettings, View};
use damaskvane_core::{ids, time};

/// One instance.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) member: Member,
    pub(super) relay: Relay,
    pub(super) incarnation: u64,
    pub(super) paused_until: time::TimeMs,
    pub(super) highest: ids::ConfigVersion,
}

/// All instances.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) instances: BTreeMap<ids::InstanceId, Instance>,
    cut_until: BTreeMap<ids::AvailabilityZoneId, time::TimeMs>,
    next_seed: u64,
}

impl Fleet {
    pub(super) fn new(zones: usize, instances_per_zone: usize, seed: u64) -> Self {
        let mut fleet = Self {
            instances: BTreeMap::new(),
            cut_until: BTreeMap::new(),
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

    /// Starts an instance with nothing in force; replaces one of the same name.
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
            highest: ids::ConfigVersion::new(0),
        };
        self.instances.insert(member.instance, instance);
    }

    /// The live instances as one of them sees them.
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

    pub(super) fn cut(&mut self, zone: &ids::AvailabilityZoneId, until: time::TimeMs) {
        self.cut_until.insert(zone.clone(), until);
    }

    pub(super) fn is_cut(&self, zone: &ids::AvailabilityZoneId, now: time::TimeMs) -> bool {
        self.cut_until.get(zone).is_some_and(|until| now < *until)
    }

    /// Whether messages pass between two instances.
    pub(super) fn is_connected(
        &self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        now: time::TimeMs,
    ) -> bool {
        match (self.zone_of(from), self.zone_of(to)) {
            (Some(from), Some(to)) => {
                from == to || !(self.is_cut(from, now) || self.is_cut(to, now))
            }
            _ => false,
        }
    }

    /// The versions in force, lowest first.
    pub(super) fn versions(&self) -> Vec<ids::ConfigVersion> {
        let instances = self.instances.values();
        let mut versions: Vec<_> = instances
            .map(|instance| instance.relay.applier().version())
            .collect();
        versions.sort_unstable();
        versions
    }

    /// Ends all cuts and pauses.
    pub(super) fn heal(&mut self) {
        self.cut_until.clear();
        for instance in self.instances.values_mut() {
            instance.paused_until = time::TimeMs::ZERO;
        }
    }
}

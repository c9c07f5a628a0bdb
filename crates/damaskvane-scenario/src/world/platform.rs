//! The fake platform's list of instances, and probes of their addresses.
//!
//! ```text
//! read list -> records
//! fence -> record marked as fenced if it still has the incarnation
//! remove fence record -> record deleted if it is fenced and has the incarnation
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use damaskvane_membership::{record, view};

use crate::world::World;
use crate::world::delivery::Input;
use crate::world::entry::ProcessState;

/// The name of the platform in scripts that cut its links to entry instances.
const PLATFORM: &str = "platform";

/// The platform's list of entry instances.
#[derive(Debug, Default)]
pub(super) struct Platform {
    records: BTreeMap<ids::InstanceId, record::InstanceRecord>,
}

impl Platform {
    pub(super) fn register(&mut self, record: record::InstanceRecord) {
        self.records.insert(record.instance.clone(), record);
    }

    fn fence(&mut self, instance: &ids::InstanceId, goes_on_alone: bool) {
        if let Some(record) = self.records.get_mut(instance) {
            record.fenced = true;
            record.goes_on_alone |= goes_on_alone;
        }
    }

    fn remove_fence_record(&mut self, instance: &ids::InstanceId, incarnation: ids::Incarnation) {
        let record = self.records.get(instance);
        if record.is_some_and(|record| record.fenced && record.incarnation == incarnation) {
            self.records.remove(instance);
        }
    }

    pub(super) fn deregister(&mut self, instance: &ids::InstanceId) {
        self.records.remove(instance);
    }
}

impl World {
    fn reaches_platform(&self, instance: &ids::InstanceId) -> bool {
        PLATFORM
            .parse()
            .is_ok_and(|platform| !self.network.is_cut(instance, &platform))
    }

    pub(super) fn read_list(&mut self, to: &ids::InstanceId) {
        if !self.reaches_platform(to) {
            return;
        }
        let delay = self.random_delay();
        let event = view::Event::List {
            records: self.platform.records.values().cloned().collect(),
            age: delay,
            source: view::ListSource::Platform,
        };
        self.send_to_entry(to, delay, Input::Membership(Box::new(event)));
    }

    /// Probes an instance's address.
    ///
    /// A refused connection proves that the process has ended. With a cut link the probe times out,
    /// and a paused process still accepts connections, so neither proves an end.
    pub(super) fn probe(
        &mut self,
        from: &home::Home,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    ) {
        let process_state = self.entries.get(&instance).map(|entry| entry.process_state);
        let outcome = match process_state {
            _ if self.network.is_cut(&from.instance, &instance) => view::ProbeOutcome::Silent,
            None | Some(ProcessState::Ended) => view::ProbeOutcome::Refused,
            Some(ProcessState::Running | ProcessState::Paused) => view::ProbeOutcome::Answered,
        };
        let event = view::Event::Probed {
            instance,
            incarnation,
            outcome,
        };
        let delay = self.random_delay();
        self.send_to_incarnation(from, delay, Input::Membership(Box::new(event)));
    }

    pub(super) fn fence(
        &mut self,
        from: &home::Home,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        goes_on_alone: bool,
    ) {
        let listed = self.platform.records.get(&instance);
        let is_current = listed.is_some_and(|record| record.incarnation == incarnation);
        let event = if self.reaches_platform(&from.instance) && is_current {
            self.platform.fence(&instance, goes_on_alone);
            view::Event::Fenced {
                instance,
                incarnation,
            }
        } else {
            view::Event::FenceFailed { instance }
        };
        let delay = self.random_delay();
        self.send_to_incarnation(from, delay, Input::Membership(Box::new(event)));
    }

    pub(super) fn remove_fence_record(
        &mut self,
        from: &ids::InstanceId,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
    ) {
        if self.reaches_platform(from) {
            self.platform.remove_fence_record(instance, incarnation);
        }
    }

    /// Schedules a restart of an instance, since a new process takes time to start.
    pub(super) fn restart_later(&mut self, instance: &ids::InstanceId) {
        let restart = super::delivery::Delivery::Restart(instance.clone());
        self.schedule(time::SpanMs::new(500), restart);
    }
}

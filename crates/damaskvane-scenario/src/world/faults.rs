//! Injected faults: modes of backend servers, killed or paused entry instances and cut links.
//!
//! ```text
//! kill -> clients lose their connections; pause -> inputs are held; restart -> a later incarnation
//! ```

use damaskvane_core::{ids, time};

use crate::script::Fault;
use crate::world::World;
use crate::world::delivery::Delivery;
use crate::world::entry::ProcessState;

impl World {
    /// Injects the fault of a script statement, or heals a cut link.
    pub fn inject_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Server { server, mode } => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.set_mode(*mode);
                }
            }
            Fault::Kill(instance) => self.kill(instance),
            Fault::Restart(instance) => {
                self.kill(instance);
                self.restart(instance);
            }
            Fault::Pause { instance, span } => self.pause(instance, *span),
            Fault::Cut(a, b) => self.network.cut(a, b),
            Fault::Heal(a, b) => self.network.heal(a, b),
        }
    }

    /// Heals all cut links.
    pub fn heal_all(&mut self) {
        self.network.heal_all();
    }

    pub(super) fn kill(&mut self, instance: &ids::InstanceId) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.process_state = ProcessState::Ended;
        entry.held_inputs.clear();
        let clients = core::mem::take(&mut entry.clients);
        for label in clients.into_values() {
            self.connection_lost(&label);
        }
    }

    /// Starts a new process of an instance whose process has ended.
    pub(super) fn restart(&mut self, instance: &ids::InstanceId) {
        let Some(entry) = self.entries.get(instance) else {
            return;
        };
        if entry.process_state != ProcessState::Ended {
            return;
        }
        let mut record = entry.record.clone();
        // Incarnations are milliseconds of the wall clock, so a later process never gets a number
        // that an earlier process could have reached by renewal.
        record.incarnation = ids::Incarnation::new(1_000 + self.now.get());
        record.leaving = false;
        self.start_process(record);
    }

    fn pause(&mut self, instance: &ids::InstanceId, span: time::SpanMs) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if entry.process_state != ProcessState::Running {
            return;
        }
        entry.process_state = ProcessState::Paused;
        let incarnation = entry.incarnation();
        self.schedule(span, Delivery::Resume(instance.clone(), incarnation));
    }

    pub(super) fn resume(&mut self, instance: &ids::InstanceId, incarnation: ids::Incarnation) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if entry.process_state != ProcessState::Paused || entry.incarnation() != incarnation {
            return;
        }
        entry.process_state = ProcessState::Running;
        for held in core::mem::take(&mut entry.held_inputs) {
            self.schedule(time::SpanMs::ZERO, held);
        }
    }

    /// Ends the process of a leaving instance as soon as its engine is drained.
    pub(super) fn end_if_drained(&mut self, instance: &ids::InstanceId) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if !entry.record.leaving || !entry.engine.is_drained(now) {
            return;
        }
        entry.has_stopped = entry.clients.is_empty();
        self.platform.deregister(instance);
        self.kill(instance);
    }
}

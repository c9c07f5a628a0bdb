//! Trace of the events in the simulated zone, printed when a check fails.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_slots::exchange;

use super::SimulatedZone;

/// One event of the simulated zone.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum TraceEvent {
    /// {0} starts, incarnation {1}
    Started(ids::InstanceId, u64),
    /// {0} dies
    Died(ids::InstanceId),
    /// {0} begins a planned stop
    StopPlanned(ids::InstanceId),
    /// {by} writes a fence record for {instance}, incarnation {incarnation}
    Fenced {
        by: ids::InstanceId,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    },
    /// {by} removes the fence record of {instance}, incarnation {incarnation}
    FenceRecordRemoved {
        by: ids::InstanceId,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    },
    /// {0} detects that it was fenced
    FenceDetected(ids::InstanceId),
    /// {instance} on {server}: {phase:?}, grants {granted}, authority until {authority_until:?}
    Phase {
        instance: ids::InstanceId,
        server: ids::BackendServerId,
        phase: exchange::OwnerPhase,
        granted: u32,
        authority_until: Option<time::TimeMs>,
    },
}

/// All events with their times, in order.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    events: Vec<(time::TimeMs, TraceEvent)>,
    phases: BTreeMap<(ids::InstanceId, u64, ids::BackendServerId), exchange::OwnerPhase>,
}

impl Trace {
    pub(crate) fn record_event(&mut self, now: time::TimeMs, event: TraceEvent) {
        self.events.push((now, event));
    }

    /// Returns the time at which an incarnation of an instance started.
    pub(super) fn started_at(
        &self,
        name: &ids::InstanceId,
        incarnation: u64,
    ) -> Option<time::TimeMs> {
        let started = TraceEvent::Started(name.clone(), incarnation);
        let mut events = self.events.iter();
        let event = events.find(|(_, event)| *event == started);
        event.map(|(at, _)| *at)
    }

    /// Returns the number of events for which `matches_kind` returns true.
    pub(crate) fn count(&self, matches_kind: impl Fn(&TraceEvent) -> bool) -> usize {
        let events = self.events.iter();
        events.filter(|(_, event)| matches_kind(event)).count()
    }

    /// Returns whether two instances fenced each other before either of them detected its own fence.
    pub(crate) fn has_mutual_fence(&self) -> bool {
        let mut open: Vec<(&ids::InstanceId, &ids::InstanceId)> = Vec::new();
        for (_, event) in &self.events {
            match event {
                TraceEvent::Fenced { by, instance, .. } => {
                    if open.contains(&(instance, by)) {
                        return true;
                    }
                    open.push((by, instance));
                }
                TraceEvent::FenceDetected(instance) | TraceEvent::Died(instance) => {
                    open.retain(|(_, fenced)| *fenced != instance);
                }
                _ => {}
            }
        }
        false
    }
}

impl SimulatedZone {
    /// Records each change of an instance's phase in the ownership of a backend server, with the slots that it has
    /// granted and the end of its authority (right to act as an owner).
    pub(super) fn trace_phases(&mut self) {
        for (name, instance) in &self.instances {
            let authority_until = instance.membership.roster().authority_until;
            for status in instance.slots.status(self.now) {
                let key = (name.clone(), instance.incarnation, status.server.clone());
                let before = self.trace.phases.insert(key, status.phase);
                if before.unwrap_or(exchange::OwnerPhase::None) == status.phase {
                    continue;
                }
                let phase = TraceEvent::Phase {
                    instance: name.clone(),
                    server: status.server.clone(),
                    phase: status.phase,
                    granted: status.granted.get(),
                    authority_until,
                };
                self.trace.events.push((self.now, phase));
            }
        }
    }

    /// Describes all events so far, the requests on a backend server, the instances that each instance knows, and
    /// the platform's list.
    pub(crate) fn describe(&self, server: &ids::BackendServerId) -> String {
        let events = self.trace.events.iter();
        let mut lines: Vec<String> = events
            .map(|(at, event)| format!("{:>6} {event}", at.get()))
            .collect();
        let requests = self
            .requests
            .iter()
            .filter(|request| request.server == *server);
        lines.extend(requests.map(|request| {
            format!(
                "a request of {} {} runs from {} to {}",
                request.instance,
                request.incarnation,
                request.starts_at.get(),
                request.ends_at.get()
            )
        }));
        lines.extend(self.instances.iter().map(|(name, instance)| {
            format!(
                "{name} {}: {:?}",
                instance.incarnation,
                instance.membership.roster()
            )
        }));
        let listed = self.list.values();
        lines.extend(listed.map(|record| {
            let (name, incarnation) = (&record.instance, record.incarnation);
            format!("listed: {name} {incarnation}, fenced {}", record.fenced)
        }));
        lines.join("\n")
    }
}

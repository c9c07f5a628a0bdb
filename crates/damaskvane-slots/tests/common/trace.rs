//! What happened in the modelled zone, printed when a check fails.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_slots::exchange;

use super::World;

/// One thing that happened.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum Happening {
    /// {0} starts, incarnation {1}
    Started(ids::InstanceId, u64),
    /// {0} dies
    Died(ids::InstanceId),
    /// {0} begins a planned stop
    Left(ids::InstanceId),
    /// {by} marks {instance}, incarnation {incarnation}, as fenced
    Fenced {
        by: ids::InstanceId,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    },
    /// {by} deletes the mark of {instance}, incarnation {incarnation}
    Unmarked {
        by: ids::InstanceId,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    },
    /// {0} learns that it was fenced
    LearnedOfFence(ids::InstanceId),
    /// {instance} on {server}: {phase:?}, lends {lent}, authority until {authority_until:?}
    Phase {
        instance: ids::InstanceId,
        server: ids::BackendServerId,
        phase: exchange::OwnerPhase,
        lent: u32,
        authority_until: Option<time::TimeMs>,
    },
}

/// Everything that happened, in order.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    happened: Vec<(time::TimeMs, Happening)>,
    phases: BTreeMap<(ids::InstanceId, u64, ids::BackendServerId), exchange::OwnerPhase>,
}

impl Trace {
    pub(crate) fn note(&mut self, now: time::TimeMs, happening: Happening) {
        self.happened.push((now, happening));
    }

    /// How often something of a kind happened.
    pub(crate) fn count(&self, is_it: impl Fn(&Happening) -> bool) -> usize {
        let happened = self.happened.iter();
        happened.filter(|(_, happening)| is_it(happening)).count()
    }

    /// Whether two instances marked each other as fenced, neither knowing of it yet.
    pub(crate) fn has_mutual_fence(&self) -> bool {
        let mut open: Vec<(&ids::InstanceId, &ids::InstanceId)> = Vec::new();
        for (_, happening) in &self.happened {
            match happening {
                Happening::Fenced { by, instance, .. } => {
                    if open.contains(&(instance, by)) {
                        return true;
                    }
                    open.push((by, instance));
                }
                Happening::LearnedOfFence(instance) | Happening::Died(instance) => {
                    open.retain(|(_, fenced)| *fenced != instance);
                }
                _ => {}
            }
        }
        false
    }
}

impl World {
    /// Notes which instance began or ceased to lend what, and under which authority.
    pub(super) fn trace_phases(&mut self) {
        for (name, instance) in &self.instances {
            let authority_until = instance.membership.roster().authority_until;
            for status in instance.slots.status(self.now) {
                let key = (name.clone(), instance.incarnation, status.server.clone());
                let before = self.trace.phases.insert(key, status.phase);
                if before.unwrap_or(exchange::OwnerPhase::None) == status.phase {
                    continue;
                }
                let phase = Happening::Phase {
                    instance: name.clone(),
                    server: status.server.clone(),
                    phase: status.phase,
                    lent: status.granted.get(),
                    authority_until,
                };
                self.trace.happened.push((self.now, phase));
            }
        }
    }

    /// What happened so far, what runs on a backend server, and how the instances see each other.
    pub(super) fn describe(&self, server: &ids::BackendServerId) -> String {
        let happened = self.trace.happened.iter();
        let mut lines: Vec<String> = happened
            .map(|(at, happening)| format!("{:>6} {happening}", at.get()))
            .collect();
        let jobs = self.jobs.iter().filter(|job| job.server == *server);
        lines.extend(jobs.map(|job| {
            format!(
                "a request of {} {} runs from {} to {}",
                job.instance,
                job.incarnation,
                job.starts_at.get(),
                job.ends_at.get()
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

//! Requests of the modelled zone: sent under a permit, run by a backend server, answered or abandoned.

use damaskvane_core::ids;
use damaskvane_core::units;
use damaskvane_slots::{exchange, permit};
use rand::RngExt;

use super::{Job, LOOKUP_TTL_MS, World, ms};

impl World {
    pub(super) fn request(&mut self, name: &ids::InstanceId, server: &ids::BackendServerId) {
        let now = self.now;
        let wanted_ms = self.random.random_range(50..1_200);
        let wanted = ms(if self.is_greedy { 5_000 } else { wanted_ms });
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let left_at = instance.left_at;
        if left_at.is_some_and(|left_at| now.since(left_at).get() >= LOOKUP_TTL_MS) {
            return;
        }
        let Ok(ready) = instance.slots.begin(now, server, wanted, ms(20)) else {
            let demand = exchange::Event::Demand {
                server: server.clone(),
                waiting: units::Slots::new(1),
            };
            self.slots(name, demand);
            return;
        };
        let incarnation = instance.incarnation;
        let sending = ready.send(now).expect("checked at the same time");
        let deadline = sending.deadline_ms();
        let running = sending.sent(now).expect("sent at the same time");
        // The way to the backend server is shorter than the margin; it counts the deadline from arrival.
        let starts_at = now + ms(self.random.random_range(0..100));
        let work_ms = self.random.random_range(10..900);
        let work = if self.is_greedy {
            deadline
        } else {
            ms(work_ms).min(deadline)
        };
        let ends_at = starts_at + work;
        self.started += 1;
        self.jobs.push(Job {
            starts_at,
            ends_at,
            answered_at: ends_at + ms(self.random.random_range(0..50)),
            server: server.clone(),
            instance: name.clone(),
            incarnation,
            permit: Some(running.into_released()),
        });
        self.abandon_sometimes();
    }

    /// A client gives up: the instance no longer waits, the backend server works on.
    pub(super) fn abandon_sometimes(&mut self) {
        if !self.random.random_ratio(1, 10) {
            return;
        }
        let Some(job) = self.jobs.last_mut() else {
            return;
        };
        let (name, permit) = (job.instance.clone(), job.permit.take());
        self.finish(&name, permit, exchange::Finish::MayStillRun);
    }

    pub(super) fn answer(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for job in &mut self.jobs {
            let instance = self.instances.get(&job.instance);
            let is_running = instance.is_some_and(|instance| {
                instance.paused_until <= now && instance.incarnation == job.incarnation
            });
            if job.answered_at <= now && is_running {
                ended.push((job.instance.clone(), job.permit.take()));
            }
        }
        self.jobs
            .retain(|job| job.ends_at > now || job.permit.is_some());
        for (name, permit) in ended {
            self.finish(&name, permit, exchange::Finish::Ended);
        }
    }

    pub(super) fn finish(
        &mut self,
        name: &ids::InstanceId,
        permit: Option<permit::ReleasedPermit>,
        how: exchange::Finish,
    ) {
        let (Some(instance), Some(permit)) = (self.instances.get_mut(name), permit) else {
            return;
        };
        let actions = instance.slots.finish(self.now, &permit, how);
        self.perform_slots(name, actions);
    }
}

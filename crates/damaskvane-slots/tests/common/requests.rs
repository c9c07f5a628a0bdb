//! Requests of the simulated zone, which are sent under a permit (the reservation of a slot), run by a backend
//! server, and answered or abandoned.

use damaskvane_core::ids;
use damaskvane_core::units;
use damaskvane_slots::{exchange, permit};
use rand::RngExt;

use super::{BackendRequest, LOOKUP_TTL_MS, SimulatedZone, ms};

impl SimulatedZone {
    pub(super) fn request(&mut self, name: &ids::InstanceId, server: &ids::BackendServerId) {
        let (now, local) = (self.now, self.local_time(name));
        let requested_ms = self.random.random_range(50..1_200);
        let requested = ms(if self.uses_full_deadline {
            5_000
        } else {
            requested_ms
        });
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let left_at = instance.left_at;
        if left_at.is_some_and(|left_at| now.since(left_at).get() >= LOOKUP_TTL_MS) {
            return;
        }
        let Ok(ready) = instance.slots.begin(local, server, requested, ms(20)) else {
            let demand = exchange::Event::Demand {
                server: server.clone(),
                waiting: units::Slots::new(1),
            };
            self.slots(name, demand);
            return;
        };
        let incarnation = instance.incarnation;
        let sending = ready.send(local).expect("checked at the same time");
        let deadline = sending.deadline_ms();
        let running = sending.sent(local).expect("sent at the same time");
        // The server counts the deadline from the arrival of the request. The time until then is shorter than the
        // margin by which a lease expires earlier for its holder than for the owner.
        let starts_at = now + ms(self.random.random_range(0..100));
        let run_ms = self.random.random_range(10..900);
        let run_time = if self.uses_full_deadline {
            deadline
        } else {
            ms(run_ms).min(deadline)
        };
        let ends_at = starts_at + run_time;
        self.started += 1;
        self.requests.push(BackendRequest {
            starts_at,
            ends_at,
            response_at: ends_at + ms(self.random.random_range(0..50)),
            server: server.clone(),
            instance: name.clone(),
            incarnation,
            permit: Some(running.into_released()),
        });
        self.abandon_at_random();
    }

    /// Abandons the last request with a probability of one in ten.
    ///
    /// The instance no longer waits for the response, while the backend server still runs the request.
    pub(super) fn abandon_at_random(&mut self) {
        if !self.random.random_ratio(1, 10) {
            return;
        }
        let Some(request) = self.requests.last_mut() else {
            return;
        };
        let (name, permit) = (request.instance.clone(), request.permit.take());
        self.finish(&name, permit, exchange::Finish::MayStillRun);
    }

    pub(super) fn deliver_responses(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for request in &mut self.requests {
            let instance = self.instances.get(&request.instance);
            let is_running = instance.is_some_and(|instance| {
                instance.paused_until <= now && instance.incarnation == request.incarnation
            });
            if request.response_at <= now && is_running {
                ended.push((request.instance.clone(), request.permit.take()));
            }
        }
        self.requests
            .retain(|request| request.ends_at > now || request.permit.is_some());
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
        let now = self.local_time(name);
        let (Some(instance), Some(permit)) = (self.instances.get_mut(name), permit) else {
            return;
        };
        let actions = instance.slots.finish(now, &permit, how);
        self.perform_slots(name, actions);
    }
}

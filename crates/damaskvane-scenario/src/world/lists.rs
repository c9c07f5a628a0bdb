//! Lists of instances that entry instances pass on to each other, and requests for them.

use damaskvane_core::ids;
use damaskvane_membership::view;

use crate::world::World;
use crate::world::delivery::{Delivery, Input};

impl World {
    pub(super) fn send_list(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        list: &view::PassedList,
    ) {
        for delay in self.message_delays(from, to) {
            let event = view::Event::List {
                records: list.records.clone(),
                age: list.age,
                source: list.source,
            };
            let delivery = Delivery::ToEntry {
                to: to.clone(),
                incarnation: None,
                input: Input::Membership(Box::new(event)),
            };
            self.schedule(delay, delivery);
        }
    }

    pub(super) fn request_list(&mut self, from: &ids::InstanceId, to: &ids::InstanceId) {
        for delay in self.message_delays(from, to) {
            let delivery = Delivery::ToEntry {
                to: to.clone(),
                incarnation: None,
                input: Input::ListRequest(from.clone()),
            };
            self.schedule(delay, delivery);
        }
    }

    pub(super) fn answer_list_request(&mut self, asked: &ids::InstanceId, from: &ids::InstanceId) {
        let entry = self.entries.get(asked);
        if let Some(list) = entry.and_then(|entry| entry.membership.list_to_pass()) {
            self.send_list(asked, from, &list);
        }
    }
}

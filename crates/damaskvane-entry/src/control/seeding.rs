//! Fetches the list of instances from peers when this instance starts during an outage of the platform, and
//! passes it on to others.
//!
//! The seeds are the peers that the settings name for this purpose.
//!
//! ```text
//! start without a list -> request to the seeds -> list, heartbeats, configuration from peers
//!                      -> list of a neighbour that knows this instance ->
//! ```

use damaskvane_core::ids;
use damaskvane_membership::view;
use damaskvane_peer::address;

use crate::control::{Control, fleet};
use crate::wire;

impl Control {
    /// Requests the list of instances from the seeds, as long as this instance has none.
    ///
    /// Without this request, an instance that is replaced during an outage of the platform would have no
    /// peers: it could receive neither the configuration nor heartbeats, and would refuse clients until the
    /// outage ends.
    pub(super) fn request_list_from_seeds(&mut self) {
        self.instance_list.seeds_requested_at = self.now();
        if self.membership.list_age().is_some() {
            return;
        }
        let book = self.instance_list.seeds.book();
        let seeds: Vec<ids::InstanceId> = book.instances().collect();
        self.peers.set_book(book);
        let reply_to = *self.peers.local_address();
        for seed in seeds {
            let request = wire::FleetMessage::GetList { reply_to };
            self.peers.send(&seed, &wire::WireMessage::Fleet(request));
        }
    }

    pub(super) fn handle_fleet(&mut self, message: wire::FleetMessage) {
        match message {
            wire::FleetMessage::GetList { reply_to } => self.send_list(&reply_to),
            wire::FleetMessage::List {
                records,
                age_ms,
                is_copy,
            } => {
                let source = if is_copy {
                    view::ListSource::PeerCopy
                } else {
                    view::ListSource::Peer
                };
                self.drive_membership(view::Event::List {
                    records,
                    age: age_ms,
                    source,
                });
            }
        }
    }

    /// Lets messages of unknown instances in as long as a list that they pass on can be of use.
    ///
    /// An instance that has never read a list knows nobody, and could receive none otherwise.
    pub(super) fn admit_unlisted(&mut self) {
        let admits = self.membership.needs_passed_list();
        if admits != self.instance_list.admits_unlisted {
            self.instance_list.admits_unlisted = admits;
            self.peers.set_admits_unlisted(admits);
        }
    }

    fn send_list(&self, reply_to: &address::PeerAddress) {
        let Some(list) = self.membership.list_to_pass() else {
            return;
        };
        self.peers.send_to(reply_to, &self.list_message(list));
    }

    /// Returns the message that passes a list on, with this instance's own record if the list lacks it.
    pub(super) fn list_message(&self, list: view::PassedList) -> wire::WireMessage {
        let is_copy = list.source == view::ListSource::PeerCopy;
        let mut records = list.records;
        if !is_copy {
            records.push(fleet::to_membership_record(self.record.clone()));
        }
        wire::WireMessage::Fleet(wire::FleetMessage::List {
            records,
            age_ms: list.age,
            is_copy,
        })
    }
}

//! The list of instances from peers, for one that starts while the platform is down.
//!
//! ```text
//! start without a list -> ask the seeds -> list, heartbeats, configuration from peers
//! ```

use damaskvane_core::ids;
use damaskvane_membership::{record, view};
use damaskvane_peer::address;

use crate::control::{Control, fleet};
use crate::wire;

impl Control {
    /// Asks the seeds for the list while the platform has not given one.
    ///
    /// An instance that is replaced during an outage would know nobody: it could take neither the
    /// configuration nor heartbeats, and its clients would be refused until the platform is back.
    pub(super) fn ask_seeds(&mut self) {
        self.list.seeds_asked_at = self.now();
        if self.membership.list_age().is_some() {
            return;
        }
        let book = self.list.seeds.book();
        let seeds: Vec<ids::InstanceId> = book.instances().collect();
        self.peers.set_book(book);
        let reply_to = *self.peers.local_address();
        for seed in seeds {
            let ask = wire::FleetMessage::AskList { reply_to };
            self.peers.send(&seed, &wire::WireMessage::Fleet(ask));
        }
    }

    pub(super) fn fleet(&mut self, message: wire::FleetMessage) {
        match message {
            wire::FleetMessage::AskList { reply_to } => self.answer_list(&reply_to),
            wire::FleetMessage::List { records, age_ms } => {
                if self.membership.list_age().is_none() {
                    self.tell_membership(view::Event::List {
                        records,
                        age: age_ms,
                        source: view::ListSource::Peer,
                    });
                }
            }
        }
    }

    fn answer_list(&self, reply_to: &address::PeerAddress) {
        let Some(age_ms) = self.membership.list_age() else {
            return;
        };
        let mut records: Vec<record::InstanceRecord> = self
            .membership
            .instances()
            .map(|instance| record::InstanceRecord {
                incarnation: instance.incarnation,
                ..instance.record.clone()
            })
            .collect();
        records.push(fleet::listed(self.record.clone()));
        let list = wire::FleetMessage::List { records, age_ms };
        self.peers
            .send_to(reply_to, &wire::WireMessage::Fleet(list));
    }
}

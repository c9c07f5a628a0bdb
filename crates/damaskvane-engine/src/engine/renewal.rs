//! A new incarnation for keys without a restart, and what newcomers are told.
//!
//! ```text
//! table nearly worn out -> next incarnation -> look-ups here and everywhere name it
//! new_instance or healed cut -> successors of departed homes that are taken_over here, and the own home
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_core::ids;
use damaskvane_dispatch::home;

use crate::directory;
use crate::engine::Engine;
use crate::event::Action;
use crate::peer;

impl Engine {
    /// Takes the next incarnation once the table of keys is nearly worn out.
    ///
    /// One would see every new key refused with `key_table_full` for the rest of the process. Processes
    /// take the milliseconds of the wall clock for their incarnation, so that no later start gets a
    /// number that was reached by counting up here.
    pub(super) fn renew_keys(&mut self) {
        if !self.keys.needs_renewal() {
            return;
        }
        let next = self.keys.home().incarnation.next();
        self.keys.renew(next);
        self.actions.push(Action::Count {
            family: "keys",
            label: "renewed",
        });
        let home = self.keys.home().clone();
        self.actions.push(Action::HomeRenewed { home });
        let all: Vec<ids::InstanceId> = reachable(&self.directory).keys().cloned().collect();
        for instance in all {
            self.send_home(&instance);
        }
    }

    fn send_home(&mut self, to: &ids::InstanceId) {
        self.actions.push(Action::Send {
            to: to.clone(),
            message: Box::new(peer::PeerMessage::Renewed(self.keys.home().clone())),
        });
    }

    /// Another instance has taken a new incarnation for its keys.
    pub(super) fn handle_renewal(&mut self, from: &home::Home, home: home::Home) {
        if home.instance == from.instance && home.incarnation > from.incarnation {
            self.actions.push(Action::HomeRenewed { home });
        }
    }

    /// Tells instances that start, or can be reached again, what they have missed.
    ///
    /// The restarted process of a departed home has heard no announcement of its successor. It would
    /// answer *unknown* for bookings that stand, to clients that come back to it. Only the successor
    /// tells, so that a newcomer in a large fleet hears each notice once.
    pub(super) fn update_new_instances(&mut self, before: &Arc<directory::Directory>) {
        let known = reachable(before);
        let new_instances: Vec<ids::InstanceId> = reachable(&self.directory)
            .into_iter()
            .filter(|(instance, incarnation)| known.get(instance) != Some(incarnation))
            .map(|(instance, _)| instance)
            .collect();
        if new_instances.is_empty() {
            return;
        }
        let taken_over = self.taken_over_homes();
        let is_renewed = *self.keys.home() != self.own_home;
        for new_instance in new_instances {
            for departed in &taken_over {
                self.actions.push(Action::Send {
                    to: new_instance.clone(),
                    message: Box::new(peer::PeerMessage::Departed(departed.clone())),
                });
            }
            if is_renewed {
                self.send_home(&new_instance);
            }
        }
    }

    fn taken_over_homes(&self) -> Vec<peer::Departed> {
        self.keys
            .successors()
            .filter(|(_, successor)| successor.instance == self.own_home.instance)
            .filter(|(_, successor)| successor.incarnation >= self.own_home.incarnation)
            .map(|(departed, successor)| peer::Departed {
                departed: departed.clone(),
                successor: successor.clone(),
            })
            .collect()
    }
}

fn reachable(directory: &directory::Directory) -> BTreeMap<ids::InstanceId, ids::Incarnation> {
    directory
        .instances
        .iter()
        .filter(|(_, peer)| peer.reachability.takes_messages())
        .map(|(instance, peer)| (instance.clone(), peer.incarnation))
        .collect()
}

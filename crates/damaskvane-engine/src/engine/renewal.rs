//! The renewal of the incarnation for idempotency keys without a restart, and the notices for new instances.
//!
//! An incarnation is one start or renewal of an instance; instance and incarnation together are a home.
//!
//! ```text
//! key table nearly exhausted -> next incarnation -> lookups of all instances name it
//! new or reconnected instance -> notices of homes that this instance took over, and of its own renewal
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
    /// Moves to the next incarnation when the key table is nearly exhausted.
    ///
    /// Otherwise the process would refuse every new key with `key_table_full` until the process ends. A process
    /// takes the wall clock in milliseconds as its incarnation, so that no later process gets an incarnation
    /// that was reached by increments here.
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

    /// Handles the notice that another instance has a new incarnation for its keys. The notice is ignored
    /// unless `home` is a later incarnation of the sender itself.
    pub(super) fn handle_renewal(&mut self, from: &home::Home, home: home::Home) {
        if home.instance == from.instance && home.incarnation > from.incarnation {
            self.actions.push(Action::HomeRenewed { home });
        }
    }

    /// Sends instances that started, or can be reached again, the notices that they missed.
    ///
    /// The restarted process of a departed home has not received the notice that names the home's successor.
    /// Without the notice, the process would respond *unknown* to returning clients whose requests were
    /// completed. Only the successor sends the notice, so that a new instance of a large fleet receives each
    /// notice once.
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

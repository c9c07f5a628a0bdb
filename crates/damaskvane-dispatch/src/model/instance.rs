//! One entry instance of the model.

use std::collections;

use damaskvane_core::{ids, time};

use crate::home;
use crate::model::event;

/// An entry instance that can be killed, paused and restarted.
#[derive(Debug)]
pub(super) struct Instance {
    pub(super) table: home::HomeTable<u64>,
    pub(super) waiters: collections::BTreeMap<home::WaiterId, event::ClientTry>,
    pub(super) paused_until: time::TimeMs,
    pub(super) successor: Option<home::Home>,
    latest_incarnation: ids::Incarnation,
}

impl Instance {
    pub(super) fn new(home: home::Home, settings: home::HomeSettings) -> Self {
        Self {
            latest_incarnation: home.incarnation,
            table: home::HomeTable::new(home, settings),
            waiters: collections::BTreeMap::new(),
            paused_until: time::TimeMs::ZERO,
            successor: None,
        }
    }

    /// Restarts the process with a higher incarnation (the number of its start or renewal) and an empty key
    /// table; a pause in progress continues.
    pub(super) fn restart(&mut self, settings: home::HomeSettings) {
        let home = home::Home::new(
            self.table.home().instance.clone(),
            self.latest_incarnation.next(),
        );
        let paused_until = self.paused_until;
        *self = Self::new(home, settings);
        self.paused_until = paused_until;
    }

    pub(super) fn renew(&mut self) {
        self.latest_incarnation = self.latest_incarnation.next();
        self.table.renew(self.latest_incarnation);
    }
}

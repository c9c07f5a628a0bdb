//! An entry instance, with what it knows of requests that crash servers.

use std::collections::BTreeSet;

use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::home::Home;
use damaskvane_dispatch::quarantine::{
    BrokenExchanges, Quarantine, QuarantineSettings, RequestIdentity,
};

pub struct Instance {
    pub list: Quarantine,
    pub broken: BrokenExchanges<RequestIdentity>,
    pub cut_until_ms: u64,
    pub disturbed_until_ms: u64,
    pub incarnation: u64,
    pub last_serial: u64,
    /// The store's records that the instance has read.
    pub records: BTreeSet<Fingerprint>,
}

impl Instance {
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            list: Quarantine::new(settings),
            broken: BrokenExchanges::default(),
            cut_until_ms: 0,
            disturbed_until_ms: 0,
            incarnation: 1,
            last_serial: 0,
            records: BTreeSet::new(),
        }
    }

    /// Starts the instance again, without all that it knew.
    pub fn restart(&mut self, settings: QuarantineSettings) {
        *self = Self {
            cut_until_ms: self.cut_until_ms,
            disturbed_until_ms: self.disturbed_until_ms,
            incarnation: self.incarnation + 1,
            ..Self::new(settings)
        };
    }

    /// Returns the name of this process, the instance's incarnation.
    pub fn home(&self, number: usize) -> Home {
        let home = format!("i-{number}/{}", self.incarnation);
        home.parse().expect("a home")
    }
}

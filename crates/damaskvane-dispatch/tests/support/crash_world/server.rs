//! A backend server, with the requests that it runs.

use std::collections::BTreeMap;

use super::run::Run;

pub struct Server {
    pub incarnation: u64,
    pub up_at_ms: u64,
    pub runs: BTreeMap<u64, Run>,
}

impl Server {
    pub const fn new() -> Self {
        Self {
            incarnation: 1,
            up_at_ms: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Returns the name of the process that is or was running.
    pub fn name(&self, number: usize) -> String {
        format!("desk-{number}-{}", self.incarnation)
    }
}

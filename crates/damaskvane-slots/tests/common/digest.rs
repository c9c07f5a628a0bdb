//! Hash of the state of the simulated zone, by which a search recognizes a state that it has reached before.

use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hasher};

use super::SimulatedZone;

/// Writer that hashes the text written to it.
struct TextHasher(DefaultHasher);

impl Write for TextHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl SimulatedZone {
    /// Returns a hash of all state that determines later events: two zones with the same hash continue alike.
    pub(crate) fn state_hash(&self) -> u64 {
        let mut hasher = TextHasher(DefaultHasher::new());
        let state = (
            &self.instances,
            &self.list,
            &self.visible_list,
            &self.in_flight,
        );
        let faults = (
            &self.cuts,
            &self.without_platform,
            &self.requests,
            &self.random,
        );
        write!(hasher, "{:?} {state:?} {faults:?}", self.now).expect("a hasher accepts all text");
        hasher.0.finish()
    }
}

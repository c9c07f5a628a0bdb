//! The state of an instance, reconstructed from its log lines.

use std::collections::BTreeMap;

use super::line::Line;

/// Messages on the state of the whole process; the last line of each message is current.
const STATE_MESSAGES: [&str; 9] = [
    "start",
    "configuration in force",
    "evacuations",
    "store lost",
    "store regained",
    "source of changes",
    "planned stop begins",
    "own phase",
    "reload",
];
/// Messages on the state of one backend server.
const SERVER_MESSAGES: [&str; 2] = ["backend server", "backend server probed"];

/// The last line of each message on the process, and the last line on each backend server.
#[derive(Debug, Clone, Default)]
pub(super) struct InstanceState {
    state: BTreeMap<&'static str, Line>,
    servers: BTreeMap<String, Line>,
}

impl InstanceState {
    /// Records a line on the state of the process or of a backend server, and ignores any other line.
    pub(super) fn record(&mut self, line: &Line) {
        let message = line.message();
        if let Some(known) = STATE_MESSAGES.iter().find(|known| **known == message) {
            self.state.insert(known, line.clone());
        }
        if SERVER_MESSAGES.contains(&message)
            && let Some(server) = line.text("backend_server")
        {
            self.servers.insert(server.to_owned(), line.clone());
        }
    }

    /// Returns the last line of each message on the process.
    pub(super) fn process_lines(&self) -> impl Iterator<Item = &Line> {
        self.state.values()
    }

    /// Returns the last line on a backend server.
    pub(super) fn server_line(&self, id: &str) -> Option<&Line> {
        self.servers.get(id)
    }
}

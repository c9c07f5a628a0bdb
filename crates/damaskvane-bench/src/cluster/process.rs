//! One process that a run has started; no other one is ever ended.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! assert_ne!(cluster::Signal::Pause, cluster::Signal::Kill);
//! ```

use std::fs;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::children;
use crate::error::BenchError;

/// How often an ending process is looked at.
const EXIT_POLL: Duration = Duration::from_millis(5);

/// What to tell a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// A planned stop.
    Terminate,
    /// The end, at once.
    Kill,
    /// Stand still.
    Pause,
    /// Go on.
    Resume,
}

/// A process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready: serde_json::Value,
}

impl Process {
    /// Starts a program whose first line on standard output is JSON once it is ready. Its log
    /// goes to `{name}.log` in `directory`, its standard output to `{name}.out`.
    pub fn start(
        name: &str,
        command: &mut Command,
        directory: &Path,
        limit: Duration,
    ) -> Result<Self, BenchError> {
        let failed = |cause: io::Error| BenchError::Start {
            program: name.to_owned(),
            cause: cause.to_string(),
        };
        let open = |suffix: &str| {
            let path = directory.join(format!("{name}.{suffix}"));
            fs::OpenOptions::new().create(true).append(true).open(path)
        };
        let log = open("out").map_err(failed)?;
        let errors = open("log").map_err(failed)?;
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .map_err(failed)?;
        children::add(child.id());
        let (sender, receiver) = flume::bounded(1);
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || forward(output, log, &sender));
        }
        let mut process = Self {
            name: name.to_owned(),
            child,
            ready: serde_json::Value::Null,
        };
        let not_ready = |_| BenchError::NotReady {
            what: name.to_owned(),
            limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        };
        process.ready = receiver.recv_timeout(limit).map_err(not_ready)?;
        Ok(process)
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// A text out of the line that it printed when it was ready.
    #[must_use]
    pub fn ready_text(&self, key: &str) -> String {
        self.ready[key].as_str().unwrap_or_default().to_owned()
    }

    /// The line that it printed when it was ready.
    #[must_use]
    pub const fn ready(&self) -> &serde_json::Value {
        &self.ready
    }

    /// Sends it a signal, unless it has ended.
    pub fn signal(&mut self, signal: Signal) {
        if !matches!(self.child.try_wait(), Ok(None)) {
            return;
        }
        let number = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Pause => rustix::process::Signal::STOP,
            Signal::Resume => rustix::process::Signal::CONT,
        };
        // A process that ended since is not reaped yet, so the id can't belong to another.
        if let Some(id) = i32::try_from(self.child.id())
            .ok()
            .and_then(rustix::process::Pid::from_raw)
        {
            let _ = rustix::process::kill_process(id, number);
        }
    }

    /// Waits for its end; none if it still runs at the limit.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if start.elapsed() >= limit {
                return None;
            }
            thread::sleep(EXIT_POLL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        children::remove(self.child.id());
    }
}

/// Passes on the first line of JSON and writes everything to the log, so that the pipe never fills.
fn forward(output: impl io::Read, mut log: fs::File, ready: &flume::Sender<serde_json::Value>) {
    for line in io::BufReader::new(output).lines() {
        let Ok(line) = line else { return };
        if let Ok(value) = serde_json::from_str(&line) {
            let _ = ready.try_send(value);
        }
        let _ = writeln!(log, "{line}");
    }
}

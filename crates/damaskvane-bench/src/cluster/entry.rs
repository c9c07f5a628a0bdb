//! One entry instance of a cluster.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! fn address(entry: &cluster::Entry) -> &str {
//!     entry.client_address()
//! }
//! ```

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::cluster::{EntryStatus, Process, Programs, Signal};
use crate::error::BenchError;

/// The longest wait for an instance to serve.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The time for a request that only asks whether the instance serves, in milliseconds.
const READY_DEADLINE_MS: u64 = 500;
/// The longest wait for a status.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// What an instance's settings file says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EntryPlan {
    pub(crate) instance: String,
    pub(crate) zone: String,
    pub(crate) region: String,
    pub(crate) platform: String,
    pub(crate) token_file: PathBuf,
    /// Settings besides, line by line.
    pub(crate) extra: String,
}

/// An entry instance, running or stopped; it keeps its addresses over restarts.
#[derive(Debug)]
pub struct Entry {
    plan: EntryPlan,
    directory: PathBuf,
    process: Option<Process>,
    client: String,
    operator: String,
    peer: String,
    seeds: String,
}

impl Entry {
    pub(crate) fn new(plan: EntryPlan, directory: &Path) -> Self {
        let any = || "127.0.0.1:0".to_owned();
        Self {
            plan,
            directory: directory.to_owned(),
            process: None,
            client: any(),
            operator: any(),
            peer: any(),
            seeds: String::new(),
        }
    }

    /// Names the instances that it asks while the platform is down, from its next start on.
    pub fn set_seeds(&mut self, seeds: &str) {
        self.seeds = seeds.to_owned();
    }

    /// Where its peers reach it.
    #[must_use]
    pub fn peer_address(&self) -> &str {
        &self.peer
    }

    /// Starts it, at its former addresses if it has run before.
    pub fn start(&mut self, programs: &Programs) -> Result<(), BenchError> {
        let settings = self.directory.join(format!("{}.toml", self.plan.instance));
        let file = settings.display().to_string();
        fs::write(&settings, self.settings()).map_err(|cause| BenchError::file(&file, &cause))?;
        let mut command = programs.command("damaskvane-entry");
        command.arg("--settings").arg(&settings);
        let process = Process::start(
            &self.plan.instance,
            &mut command,
            &self.directory,
            START_LIMIT,
        )?;
        self.client = process.ready_text("client");
        self.operator = process.ready_text("operator");
        self.peer = process.ready_text("peer");
        self.process = Some(process);
        Ok(())
    }

    fn settings(&self) -> String {
        let plan = &self.plan;
        format!(
            "instance = \"{}\"\navailability_zone = \"{}\"\nregion = \"{}\"\nclient_address = \"{}\"\noperator_address = \"{}\"\npeer_address = \"{}\"\nseed_peers = \"{}\"\nplatform_address = \"{}\"\ntoken_file = \"{}\"\n{}",
            plan.instance,
            plan.zone,
            plan.region,
            self.client,
            self.operator,
            self.peer,
            self.seeds,
            plan.platform,
            plan.token_file.display(),
            plan.extra,
        )
    }

    /// Its name.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.plan.instance
    }

    /// Its zone.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.plan.zone
    }

    /// Where clients reach it.
    #[must_use]
    pub fn client_address(&self) -> &str {
        &self.client
    }

    /// Where operators reach it.
    #[must_use]
    pub fn operator_address(&self) -> &str {
        &self.operator
    }

    /// Its process while it runs.
    pub const fn process_mut(&mut self) -> Option<&mut Process> {
        self.process.as_mut()
    }

    /// Its process id while it runs.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }

    /// Stops it as planned; its exit code, or none if it did not end by itself within the limit.
    pub fn stop(&mut self, limit: Duration) -> Option<i32> {
        let mut process = self.process.take()?;
        process.signal(Signal::Terminate);
        process.wait(limit)?.code()
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Whether it answers a short request with a backend server's answer.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        let url = format!("http://{}/v1/services/{service}/work?ms=1", self.client);
        let answer = attohttpc::get(url)
            .header("damaskvane-request-id", "bench-ready")
            .header("damaskvane-client", "bench-ready")
            .header("damaskvane-deadline-ms", READY_DEADLINE_MS)
            .timeout(STATUS_LIMIT)
            .send();
        answer.is_ok_and(|answer| answer.is_success())
    }

    /// Its own state.
    pub fn status(&self) -> Result<EntryStatus, BenchError> {
        fetch_status(&self.operator)
    }
}

/// The state of the instance whose operators' address that is.
pub(crate) fn fetch_status(operator: &str) -> Result<EntryStatus, BenchError> {
    let failed = |cause: attohttpc::Error| BenchError::answer(operator, &cause);
    let response = attohttpc::get(format!("http://{operator}/v1/status"))
        .timeout(STATUS_LIMIT)
        .send()
        .map_err(failed)?;
    let text = response.text().map_err(failed)?;
    serde_json::from_str(&text).map_err(|cause| BenchError::answer(operator, &cause))
}

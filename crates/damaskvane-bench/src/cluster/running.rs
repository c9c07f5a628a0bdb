//! A cluster that runs.
//!
//! ```no_run
//! use damaskvane_bench::cluster;
//!
//! let mut cluster = cluster::Cluster::start(cluster::Deployment::prairie(), "")?;
//! cluster.submit_whole("first")?;
//! # Ok::<(), damaskvane_bench::error::BenchError>(())
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::net;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use damaskvane_standins::backend;

use crate::cluster::entry::EntryPlan;
use crate::cluster::{
    BackendAdmin, Declarations, Deployment, Entry, HeadWatch, PlatformAdmin, Process, Programs,
};
use crate::error::BenchError;

/// The longest wait for a stand-in.
const START_LIMIT: Duration = Duration::from_secs(10);
/// How often instances are asked whether they have a configuration.
const READY_POLL: Duration = Duration::from_millis(20);
/// How many entry instances are started at once.
const START_BATCH: usize = 8;
/// The operator's token.
const OPERATOR_TOKEN: &str = "token-operator";

/// Clusters started by this process; it keeps their directories apart.
static NUMBER: AtomicU64 = AtomicU64::new(0);

/// The real programs of one deployment.
#[derive(Debug)]
pub struct Cluster {
    /// What it was started for.
    pub deployment: Deployment,
    /// Its entry instances.
    pub entries: Vec<Entry>,
    programs: Programs,
    platform: Process,
    backends: Process,
    addresses: BTreeMap<String, String>,
    directory: Directory,
    submitted: u64,
}

/// A directory that goes with its owner, unless `DAMASKVANE_BENCH_KEEP` is set.
#[derive(Debug)]
struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        if env::var_os("DAMASKVANE_BENCH_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

impl Cluster {
    /// Starts stand-ins and entry instances; `extra` is added to each settings file.
    pub fn start(deployment: Deployment, extra: &str) -> Result<Self, BenchError> {
        let programs =
            Programs::beside_this_one().map_err(|cause| BenchError::file("programs", &cause))?;
        let directory = Directory(new_directory(&deployment.name)?);
        write_tokens(&deployment, &directory.0)?;
        let platform = start_platform(&programs, &directory.0)?;
        let backends = start_backends(&programs, &deployment, &directory.0)?;
        let addresses: BTreeMap<String, String> =
            serde_json::from_value(backends.ready()["servers"].clone()).unwrap_or_default();
        let mut entries: Vec<Entry> = deployment
            .instances()
            .map(|(instance, zone)| {
                let plan = EntryPlan {
                    token_file: directory.0.join(format!("{instance}.token")),
                    instance,
                    zone: zone.name.clone(),
                    region: zone.region.clone(),
                    platform: platform.ready_text("listening"),
                    extra: extra.to_owned(),
                };
                Entry::new(plan, &directory.0)
            })
            .collect();
        start_entries(&mut entries, &programs)?;
        name_seeds(&mut entries);
        Ok(Self {
            deployment,
            entries,
            programs,
            platform,
            backends,
            addresses,
            directory,
            submitted: 0,
        })
    }

    /// The programs.
    #[must_use]
    pub const fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Settings, declarations and logs.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory.0
    }

    /// Where clients reach the entry instances.
    #[must_use]
    pub fn client_addresses(&self) -> Vec<net::SocketAddr> {
        let addresses = self
            .entries
            .iter()
            .map(|entry| entry.client_address().parse());
        addresses.filter_map(Result::ok).collect()
    }

    /// The switches of the platform's stand-in.
    #[must_use]
    pub fn platform(&self) -> PlatformAdmin {
        PlatformAdmin::new(&self.platform.ready_text("admin"))
    }

    /// The object API.
    #[must_use]
    pub fn platform_address(&self) -> String {
        self.platform.ready_text("listening")
    }

    /// A watch of the head.
    #[must_use]
    pub fn head_watch(&self) -> HeadWatch {
        HeadWatch::new(&self.platform_address(), OPERATOR_TOKEN)
    }

    /// The switches and logs of the backend servers.
    #[must_use]
    pub fn backends(&self) -> BackendAdmin {
        BackendAdmin::new(&self.backends.ready_text("admin"))
    }

    /// Where the backend servers listen.
    #[must_use]
    pub const fn backend_addresses(&self) -> &BTreeMap<String, String> {
        &self.addresses
    }

    /// The declarations of the deployment with the addresses of this run.
    #[must_use]
    pub const fn declarations(&self) -> Declarations<'_> {
        Declarations::new(&self.deployment, &self.addresses)
    }

    /// Process ids of everything that runs, to count and weigh them.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        let entries = self.entries.iter().filter_map(Entry::process_id);
        entries
            .chain([self.platform.id(), self.backends.id()])
            .collect()
    }

    /// Submits the whole declarations as a ticket.
    pub fn submit_whole(&mut self, reason: &str) -> Result<String, BenchError> {
        let text = self.declarations().whole();
        self.submit(&text, reason)
    }

    /// Submits declarations as a ticket; what the command printed.
    pub fn submit(&mut self, declarations: &str, reason: &str) -> Result<String, BenchError> {
        self.submitted += 1;
        let file = self
            .directory
            .0
            .join(format!("declarations-{}.toml", self.submitted));
        let name = file.display().to_string();
        fs::write(&file, declarations).map_err(|cause| BenchError::file(&name, &cause))?;
        let file_text = file.into_os_string();
        self.ctl(&[
            "submit".as_ref(),
            &file_text,
            "--reason".as_ref(),
            reason.as_ref(),
        ])
    }

    /// Runs the operator's command; what it printed.
    pub fn ctl(&self, arguments: &[&std::ffi::OsStr]) -> Result<String, BenchError> {
        let output = self
            .programs
            .command("damaskvane-ctl")
            .arg("--platform")
            .arg(self.platform_address())
            .arg("--token-file")
            .arg(self.directory.0.join("operator.token"))
            .args(arguments)
            .output()
            .map_err(|cause| BenchError::Start {
                program: "damaskvane-ctl".to_owned(),
                cause: cause.to_string(),
            })?;
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(printed);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(BenchError::Failed {
            program: "damaskvane-ctl".to_owned(),
            cause: format!("{printed}{errors}"),
        })
    }

    /// Waits until every running instance has at least this configuration in force.
    pub fn wait_in_force(&self, version: u64, limit: Duration) -> Result<Duration, BenchError> {
        let start = Instant::now();
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.process_id().is_some())
        {
            while entry.status().map_or(0, |status| status.config_version) < version {
                if start.elapsed() > limit {
                    return Err(BenchError::NotReady {
                        what: format!("configuration {version} on {}", entry.instance()),
                        limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
                    });
                }
                thread::sleep(READY_POLL);
            }
        }
        Ok(start.elapsed())
    }

    /// Waits until every running instance serves every service; the time it took.
    ///
    /// A new owner of slots waits until whatever an earlier one granted must have lapsed, so a fresh
    /// fleet serves some seconds after its first configuration. Without this wait, every experiment would
    /// measure that once more.
    pub fn wait_serving(&self, limit: Duration) -> Result<Duration, BenchError> {
        let start = Instant::now();
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.process_id().is_some())
        {
            for service in &self.deployment.services {
                while !entry.serves(&service.name) {
                    if start.elapsed() > limit {
                        return Err(BenchError::NotReady {
                            what: format!("{} on {}", service.name, entry.instance()),
                            limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
                        });
                    }
                    thread::sleep(READY_POLL);
                }
            }
        }
        Ok(start.elapsed())
    }

    /// The highest configuration that an instance has in force.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        let statuses = self.entries.iter().filter_map(|entry| entry.status().ok());
        statuses
            .map(|status| status.config_version)
            .max()
            .unwrap_or(0)
    }
}

fn new_directory(name: &str) -> Result<PathBuf, BenchError> {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let unique = format!(
        "damaskvane-{name}-{}-{number}-{}",
        process::id(),
        backend::now_unix_ms()
    );
    let directory = env::temp_dir().join(unique);
    let text = directory.display().to_string();
    fs::create_dir_all(&directory).map_err(|cause| BenchError::file(&text, &cause))?;
    Ok(directory)
}

/// Writes the platform's list of tokens and each holder's own.
fn write_tokens(deployment: &Deployment, directory: &Path) -> Result<(), BenchError> {
    let write = |name: &str, text: &str| {
        fs::write(directory.join(name), text).map_err(|cause| BenchError::file(name, &cause))
    };
    let mut lines = format!("{OPERATOR_TOKEN} operator\n");
    write("operator.token", &format!("{OPERATOR_TOKEN}\n"))?;
    for (instance, _) in deployment.instances() {
        lines.push_str(&format!("token-{instance} {instance}\n"));
        write(&format!("{instance}.token"), &format!("token-{instance}\n"))?;
    }
    write("tokens", &lines)
}

fn start_platform(programs: &Programs, directory: &Path) -> Result<Process, BenchError> {
    let mut command = programs.command("damaskvane-standin-platform");
    command.arg("--tokens").arg(directory.join("tokens"));
    Process::start("platform", &mut command, directory, START_LIMIT)
}

fn start_backends(
    programs: &Programs,
    deployment: &Deployment,
    directory: &Path,
) -> Result<Process, BenchError> {
    let mut command = programs.command("damaskvane-standin-backend");
    for service in &deployment.services {
        for placement in deployment.placements(service) {
            let server = format!(
                "{}:{}:{}",
                placement.server, service.slots, service.service_ms
            );
            command.arg("--server").arg(server);
        }
    }
    Process::start("backends", &mut command, directory, START_LIMIT)
}

fn start_entries(entries: &mut [Entry], programs: &Programs) -> Result<(), BenchError> {
    for batch in entries.chunks_mut(START_BATCH) {
        thread::scope(|scope| {
            let starts: Vec<_> = batch
                .iter_mut()
                .map(|entry| scope.spawn(move || entry.start(programs)))
                .collect();
            starts
                .into_iter()
                .try_for_each(|start| start.join().unwrap_or(Ok(())))
        })?;
    }
    Ok(())
}

/// Every instance asks the first of each zone; a dead one among them does no harm.
fn name_seeds(entries: &mut [Entry]) {
    let mut zones = BTreeSet::new();
    let seeds: Vec<String> = entries
        .iter()
        .filter(|entry| zones.insert(entry.zone().to_owned()))
        .map(|entry| format!("{}@{}", entry.instance(), entry.peer_address()))
        .collect();
    for entry in entries {
        entry.set_seeds(&seeds.join(","));
    }
}

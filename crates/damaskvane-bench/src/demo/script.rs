//! What happens during the run, in order.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use damaskvane_standins::{backend, platform};

use crate::client::Given;
use crate::cluster::{Cluster, Deployment};
use crate::demo::{Observer, Plan, Record, ShareProbe, StopRecord, TicketRecord};
use crate::error::BenchError;
use crate::in_force;
use crate::load::{self, LoadSettings};

/// The longest wait until the first configuration is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(20);
/// The longest wait until a ticket is in force; the promise itself is judged later.
const TICKET_LIMIT: Duration = Duration::from_secs(8);
/// Traffic alone before the first event.
const QUIET: Duration = Duration::from_secs(2);
/// Between two events.
const BETWEEN: Duration = Duration::from_millis(1_500);
/// How long a planned stop may take before it counts as hung.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// How long the store is cut.
const OUTAGE: Duration = Duration::from_secs(3);
/// How long after the cut the killed instance is started again.
const BOOT_AFTER_CUT: Duration = Duration::from_millis(500);
/// The most that the load may last; it ends with the script.
const LOAD_SECONDS: u64 = 120;
/// Clients of the load.
const CLIENTS: usize = 60;

/// Starts a deployment, acts the script under load and returns what it left.
pub fn perform(deployment: Deployment, rate: u64, seed: u64) -> Result<Record, BenchError> {
    let plan = Plan::new(&deployment);
    let mut cluster = Cluster::start(deployment, "")?;
    let mut record = Record::default();
    cluster.submit_whole("first configuration")?;
    cluster.wait_in_force(1, FIRST_LIMIT)?;
    record.first_served_ms = to_ms(cluster.wait_serving(FIRST_LIMIT)?);
    let observer = Observer::start(&cluster);
    let probe = ShareProbe::start(asked(&cluster, &plan)?, &plan);
    let load = Load::start(&cluster, rate, seed);
    let acted = act(&mut cluster, &plan, &mut record);
    record.given = load.finish()?;
    load::write_answers(&cluster.directory().join("answers.jsonl"), &record.given)?;
    record.shares = probe.finish()?;
    let observed = observer.finish()?;
    acted?;
    record.versions = observed.versions;
    record.peaks = observed.peaks;
    record.resident_bytes = observed.resident_bytes;
    record.processes = cluster.process_ids().len();
    record.executions = cluster.backends().executions()?;
    record.stats = cluster.backends().stats()?;
    Ok(record)
}

fn asked(cluster: &Cluster, plan: &Plan) -> Result<std::net::SocketAddr, BenchError> {
    let mut entries = cluster.entries.iter();
    let entry = entries.find(|entry| entry.instance() == plan.asked);
    let address = entry.map_or("", |entry| entry.client_address());
    address
        .parse()
        .map_err(|cause| BenchError::answer(address, &cause))
}

/// The load on a thread of its own.
#[derive(Debug)]
struct Load {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Result<Vec<Given>, BenchError>>,
}

impl Load {
    fn start(cluster: &Cluster, rate: u64, seed: u64) -> Self {
        let deployment = &cluster.deployment;
        let settings = LoadSettings {
            entries: cluster.client_addresses(),
            services: deployment
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            rate,
            seconds: LOAD_SECONDS,
            clients: CLIENTS,
            client_prefixes: deployment.zones().map(|zone| zone.name.clone()).collect(),
            answer_bytes: 2_000,
            seed,
            ..LoadSettings::default()
        };
        let run = Plan::run_name(deployment);
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        let thread = thread::spawn(move || load::run_until(&settings, &run, &told));
        Self { stop, thread }
    }

    fn finish(self) -> Result<Vec<Given>, BenchError> {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self.thread.join();
        joined.map_err(|_| BenchError::Failed {
            program: "load".to_owned(),
            cause: "it panicked".to_owned(),
        })?
    }
}

fn act(cluster: &mut Cluster, plan: &Plan, record: &mut Record) -> Result<(), BenchError> {
    thread::sleep(QUIET);
    let shift = plan.shift();
    record.tickets.push(submit(cluster, &shift, "shift")?);
    thread::sleep(Duration::from_millis(plan.ramp_ms) + BETWEEN);
    drain(cluster, plan, record, true)?;
    thread::sleep(BETWEEN);
    restart(cluster, plan, record)?;
    thread::sleep(BETWEEN);
    kill_and_cut(cluster, plan, record)?;
    thread::sleep(BETWEEN);
    drain(cluster, plan, record, false)?;
    thread::sleep(BETWEEN);
    Ok(())
}

fn submit(
    cluster: &mut Cluster,
    declarations: &str,
    reason: &'static str,
) -> Result<TicketRecord, BenchError> {
    let before = Instant::now();
    let before_unix_ms = backend::now_unix_ms();
    let timing = in_force::submit(cluster, declarations, reason, TICKET_LIMIT)?;
    let accepted = timing.accepted.saturating_duration_since(before);
    let missing = timing.instances.iter().filter(|(_, span)| span.is_none());
    Ok(TicketRecord {
        reason,
        accepted_unix_ms: before_unix_ms + to_ms(accepted),
        in_force_ms: timing.everywhere().map(to_ms),
        missing: missing.map(|(instance, _)| instance.clone()).collect(),
    })
}

fn drain(
    cluster: &mut Cluster,
    plan: &Plan,
    record: &mut Record,
    draining: bool,
) -> Result<(), BenchError> {
    if draining {
        let stats = cluster.backends().stats()?;
        record.drained = plan.busiest(&cluster.deployment, &stats);
    }
    let declarations = cluster.declarations();
    let text = declarations.backend_server(&plan.service, &record.drained, draining);
    let reason = if draining { "drain" } else { "undrain" };
    record.tickets.push(submit(cluster, &text, reason)?);
    Ok(())
}

fn restart(cluster: &mut Cluster, plan: &Plan, record: &mut Record) -> Result<(), BenchError> {
    let programs = cluster.programs().clone();
    let Some(entry) = cluster
        .entries
        .iter_mut()
        .find(|entry| entry.instance() == plan.stopped)
    else {
        return Ok(());
    };
    let told_unix_ms = backend::now_unix_ms();
    let exit_code = entry.stop(STOP_LIMIT);
    let ended_unix_ms = backend::now_unix_ms();
    entry.start(&programs)?;
    record.stop = StopRecord {
        instance: plan.stopped.clone(),
        told_unix_ms,
        ended_unix_ms,
        exit_code,
        back_unix_ms: backend::now_unix_ms(),
    };
    Ok(())
}

/// Kills an instance, cuts the store, starts the instance again without it, and mends the store.
fn kill_and_cut(cluster: &mut Cluster, plan: &Plan, record: &mut Record) -> Result<(), BenchError> {
    let programs = cluster.programs().clone();
    let store = cluster.platform();
    let version = cluster.config_version();
    let Some(entry) = cluster
        .entries
        .iter_mut()
        .find(|entry| entry.instance() == plan.killed)
    else {
        return Ok(());
    };
    entry.kill();
    record.killed_unix_ms = backend::now_unix_ms();
    store.set_faults(&platform::Faults {
        down: true,
        ..platform::Faults::default()
    })?;
    let cut = Instant::now();
    let cut_unix_ms = backend::now_unix_ms();
    thread::sleep(BOOT_AFTER_CUT);
    let booted = Instant::now();
    entry.start(&programs)?;
    while cut.elapsed() < OUTAGE {
        let status = entry.status().unwrap_or_default();
        if status.config_version >= version && record.booted_without_store_ms.is_none() {
            record.booted_without_store_ms = Some(to_ms(booted.elapsed()));
        }
        thread::sleep(Duration::from_millis(20));
    }
    store.set_faults(&platform::Faults::default())?;
    record.outage_unix_ms = (cut_unix_ms, backend::now_unix_ms());
    Ok(())
}

fn to_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

//! Sends requests when they are due.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};

use crate::client;
use crate::error::BenchError;
use crate::http;
use crate::load::LoadSettings;

/// Threads that send.
const WORKERS: usize = 2;

/// Makes the requests of a load, the same for the same seed.
#[derive(Debug)]
pub struct Generator {
    settings: LoadSettings,
    random: rand_pcg::Pcg64,
    run: String,
    next: u64,
}

impl Generator {
    /// A generator; `run` keeps the names of two loads apart.
    #[must_use]
    pub fn new(settings: LoadSettings, run: &str) -> Self {
        let random = rand_pcg::Pcg64::seed_from_u64(settings.seed);
        Self {
            settings,
            random,
            run: run.to_owned(),
            next: 0,
        }
    }
}

impl Iterator for Generator {
    type Item = client::Order;

    fn next(&mut self) -> Option<Self::Item> {
        let number = self.next;
        self.next += 1;
        let services = &self.settings.services;
        let service = services.get(usize::try_from(number).ok()? % services.len().max(1))?;
        let name = format!("{}-{number}", self.run);
        let path = self.settings.path();
        let is_write = self.random.random_range(0..100) < self.settings.write_percent;
        Some(if is_write {
            client::Order::write(service, &name, &path)
        } else {
            client::Order::read(service, &name, &path)
        })
    }
}

/// Runs a load to its end; `run` names it.
pub fn run(settings: &LoadSettings, run: &str) -> Result<Vec<client::Given>, BenchError> {
    run_until(settings, run, &AtomicBool::new(false))
}

/// Runs a load to its end, or until `stop` is set; requests on their way are waited for.
pub fn run_until(
    settings: &LoadSettings,
    run: &str,
    stop: &AtomicBool,
) -> Result<Vec<client::Given>, BenchError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(|cause| BenchError::Start {
            program: "load".into(),
            cause: cause.to_string(),
        })?;
    Ok(runtime.block_on(drive(settings, run, stop)))
}

async fn drive(settings: &LoadSettings, run: &str, stop: &AtomicBool) -> Vec<client::Given> {
    let clients = clients(settings);
    let generator = Generator::new(settings.clone(), run);
    let (sender, receiver) = flume::unbounded();
    let start = Instant::now();
    let count = usize::try_from(settings.requests()).unwrap_or(usize::MAX);
    for (number, order) in generator.take(count).enumerate() {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let due = start + Duration::from_secs_f64(number as f64 / settings.rate as f64);
        tokio::time::sleep_until(due.into()).await;
        let client = Arc::clone(&clients[number % clients.len()]);
        let sender = sender.clone();
        tokio::spawn(async move {
            let _ = sender.send(client.send(&order, due).await);
        });
    }
    drop(sender);
    let mut given = Vec::new();
    while let Ok(one) = receiver.recv_async().await {
        given.push(one);
    }
    given
}

fn clients(settings: &LoadSettings) -> Vec<Arc<client::Client>> {
    let connections = Arc::new(http::Connections::default());
    let numbers = 0..settings.clients.max(1);
    let one = |number: usize| {
        let mut entries = settings.entries.clone();
        let first = number % entries.len().max(1);
        entries.rotate_left(first);
        let own = client::ClientSettings {
            entries,
            client: settings.client(number),
            deadline_ms: settings.deadline_ms,
            ..client::ClientSettings::default()
        };
        Arc::new(client::Client::new(own, Arc::clone(&connections)))
    };
    numbers.map(one).collect()
}

//! `status`: which version is in force where.

use core::fmt;
use std::collections::BTreeMap;
use std::thread;

use damaskvane_core::{ids, time};
use damaskvane_objects::api::{InstanceRecord, ObjectApi};
use serde::Serialize;
use serde_json::Value;

use crate::ask;
use crate::error::CtlError;
use crate::store;

/// How many instances are asked at a time.
const ASKED_AT_A_TIME: usize = 32;

/// What one instance says.
#[derive(Debug, Clone, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Whether it is about to go.
    pub leaving: bool,
    /// The version in force; `None` where it didn't answer.
    pub config_version: Option<ids::ConfigVersion>,
    /// Why there is no version.
    pub error: Option<String>,
}

/// The instances of one availability zone.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ZoneStatus {
    /// How many instances have each version in force.
    pub versions: BTreeMap<ids::ConfigVersion, usize>,
    /// The instances that didn't answer.
    pub silent: Vec<ids::InstanceId>,
    /// Each instance.
    pub instances: Vec<InstanceStatus>,
}

/// Every zone.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// The accepted version.
    pub accepted: ids::ConfigVersion,
    /// Whether every listed instance answered and has it in force.
    pub in_force_everywhere: bool,
    /// The zones.
    pub zones: BTreeMap<ids::AvailabilityZoneId, ZoneStatus>,
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let everywhere = if self.in_force_everywhere {
            "in force everywhere"
        } else {
            "not in force everywhere"
        };
        write!(f, "version {} is accepted, {everywhere}", self.accepted)?;
        for (zone, status) in &self.zones {
            write!(f, "\n{zone}:")?;
            for (version, count) in &status.versions {
                write!(f, " version {version} on {count} instances;")?;
            }
            for instance in &status.silent {
                write!(f, " {instance} doesn't answer;")?;
            }
        }
        Ok(())
    }
}

/// Asks every listed instance for its state.
///
/// # Errors
///
/// When the platform can't be read.
pub fn status(api: &impl ObjectApi, timeout: time::SpanMs) -> Result<StatusReport, CtlError> {
    let accepted = store::read_head(api)?.version;
    let mut records = api.instances()?;
    records.retain(|record| !record.fenced);
    let mut zones: BTreeMap<_, ZoneStatus> = BTreeMap::new();
    let mut in_force_everywhere = !records.is_empty();
    for (record, status) in records.iter().zip(ask_all(&records, timeout)) {
        let zone = zones.entry(record.availability_zone.clone()).or_default();
        match status.config_version {
            Some(version) => *zone.versions.entry(version).or_default() += 1,
            None => zone.silent.push(status.instance.clone()),
        }
        in_force_everywhere &= status.config_version == Some(accepted);
        zone.instances.push(status);
    }
    Ok(StatusReport {
        accepted,
        in_force_everywhere,
        zones,
    })
}

fn ask_all(records: &[InstanceRecord], timeout: time::SpanMs) -> Vec<InstanceStatus> {
    let mut statuses = Vec::new();
    for some in records.chunks(ASKED_AT_A_TIME) {
        thread::scope(|scope| {
            let asked: Vec<_> = some
                .iter()
                .map(|record| scope.spawn(move || ask_one(record, timeout)))
                .collect();
            for (handle, record) in asked.into_iter().zip(some) {
                let status = handle.join();
                statuses.push(status.unwrap_or_else(|_| silent(record, "the question failed")));
            }
        });
    }
    statuses
}

fn ask_one(record: &InstanceRecord, timeout: time::SpanMs) -> InstanceStatus {
    let url = format!("http://{}/v1/status", record.operator_address);
    let answer = ask::json(&url, &[], timeout);
    match answer {
        Err(error) => silent(record, &error.to_string()),
        Ok(status) => match status.get("config_version").and_then(Value::as_u64) {
            None => silent(record, "its answer names no config_version"),
            Some(version) => InstanceStatus {
                config_version: Some(ids::ConfigVersion::new(version)),
                error: None,
                ..silent(record, "")
            },
        },
    }
}

fn silent(record: &InstanceRecord, error: &str) -> InstanceStatus {
    InstanceStatus {
        instance: record.instance.clone(),
        leaving: record.leaving,
        config_version: None,
        error: Some(error.to_owned()),
    }
}

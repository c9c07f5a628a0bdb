//! `status`: shows which version each instance has in effect.

use core::fmt;
use std::collections::BTreeMap;
use std::thread;

use damaskvane_core::{ids, time};
use damaskvane_objects::api::{InstanceRecord, ObjectApi};
use serde::Serialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::fetch;
use crate::store;

/// Maximum number of instances that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Status of one instance.
#[derive(Debug, Clone, Serialize)]
pub struct InstanceStatus {
    /// Identifier of the instance.
    pub instance: ids::InstanceId,
    /// Whether the instance is leaving, as the platform lists it.
    pub leaving: bool,
    /// Version in effect; `None` if the instance reported none.
    pub config_version: Option<ids::ConfigVersion>,
    /// Reason why `config_version` is `None`.
    pub error: Option<String>,
}

/// Status of one availability zone.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ZoneStatus {
    /// Number of instances that have each version in effect.
    pub versions: BTreeMap<ids::ConfigVersion, usize>,
    /// Instances that reported no version.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<ids::InstanceId>,
    /// Status of every instance of the zone.
    pub instances: Vec<InstanceStatus>,
}

/// Status of all listed instances, except fenced ones.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// Accepted version.
    pub accepted: ids::ConfigVersion,
    /// Whether at least one instance is listed and all have the accepted version in effect.
    pub in_force_everywhere: bool,
    /// Status of each availability zone.
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
            for instance in &status.unresponsive {
                write!(f, " {instance} doesn't answer;")?;
            }
        }
        Ok(())
    }
}

/// Queries every listed instance that is not fenced for the version that it has in effect.
///
/// # Errors
///
/// Fails if the platform can't be read.
pub fn status(api: &impl ObjectApi, timeout: time::SpanMs) -> Result<StatusReport, CtlError> {
    let accepted = store::read_head(api)?.version;
    let mut records = api.instances()?;
    records.retain(|record| !record.fenced);
    let mut zones: BTreeMap<_, ZoneStatus> = BTreeMap::new();
    let mut in_force_everywhere = !records.is_empty();
    for (record, status) in records.iter().zip(fetch_all(&records, timeout)) {
        let zone = zones.entry(record.availability_zone.clone()).or_default();
        match status.config_version {
            Some(version) => *zone.versions.entry(version).or_default() += 1,
            None => zone.unresponsive.push(status.instance.clone()),
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

fn fetch_all(records: &[InstanceRecord], timeout: time::SpanMs) -> Vec<InstanceStatus> {
    let mut statuses = Vec::new();
    for batch in records.chunks(MAX_CONCURRENT_REQUESTS) {
        thread::scope(|scope| {
            let handles: Vec<_> = batch
                .iter()
                .map(|record| scope.spawn(move || fetch_one(record, timeout)))
                .collect();
            for (handle, record) in handles.into_iter().zip(batch) {
                let status = handle.join();
                statuses.push(status.unwrap_or_else(|_| {
                    status_without_version(
                        record,
                        "the status request panicked; run the command again",
                    )
                }));
            }
        });
    }
    statuses
}

fn fetch_one(record: &InstanceRecord, timeout: time::SpanMs) -> InstanceStatus {
    let url = format!("http://{}/v1/status", record.operator_address);
    let response = fetch::json(&url, &[], timeout);
    match response {
        Err(error) => status_without_version(record, &error.to_string()),
        Ok(status) => match status.get("config_version").and_then(Value::as_u64) {
            None => status_without_version(
                record,
                "the status response has no config_version; check the instance's version",
            ),
            Some(version) => InstanceStatus {
                config_version: Some(ids::ConfigVersion::new(version)),
                error: None,
                ..status_without_version(record, "")
            },
        },
    }
}

fn status_without_version(record: &InstanceRecord, error: &str) -> InstanceStatus {
    InstanceStatus {
        instance: record.instance.clone(),
        leaving: record.leaving,
        config_version: None,
        error: Some(error.to_owned()),
    }
}

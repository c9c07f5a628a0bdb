//! Selects the entry instances that a client should send its requests to.
//!
//! The traffic plan, which distributes the clients of each zone over the zones, determines the order of the
//! zones. Within a zone, a hash of client block and instance distributes clients over the instances, so
//! that a client keeps its instance while the set of instances is unchanged. A client block is a group of
//! clients that have the same nearest zone.
//!
//! ```
//! use damaskvane_entry::{client_api::lookup, serving};
//! use damaskvane_telemetry::counters;
//!
//! let serving = serving::Serving::new(counters::Counters::local(), "e-1");
//! let response = lookup::respond(&serving, "service=rider-desk&client=c-1");
//! assert_eq!(response.status(), 503);
//! ```

use damaskvane_core::{ids, time};
use damaskvane_dispatch::refusal;
use damaskvane_steering::picker;
use serde::Serialize;

use crate::client_api::{header, reply, route};
use crate::serving;

const MAX_ENTRIES: usize = 4;
const LOOKUPS: &str = "lookups";

#[derive(Debug, Serialize)]
struct Entry<'a> {
    address: &'a str,
    instance: &'a ids::InstanceId,
    incarnation: ids::Incarnation,
}

#[derive(Debug, Serialize)]
struct LookupResponse<'a> {
    service: &'a ids::ServiceId,
    entries: Vec<Entry<'a>>,
    ttl_ms: time::SpanMs,
    config_version: ids::ConfigVersion,
}

#[derive(Debug)]
struct Refusal {
    reason: refusal::RefusalReason,
    retry_after: Option<time::SpanMs>,
    detail: String,
}

impl Refusal {
    fn new(reason: refusal::RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            retry_after: None,
            detail: detail.into(),
        }
    }
}

/// Returns the response to a lookup; `query` is the part of its URL after the question mark.
#[must_use]
pub fn respond(serving: &serving::Serving, query: &str) -> reply::HttpResponse {
    let state = serving.state();
    match look_up(serving, &state, query) {
        Ok(response) => {
            serving.counters.increment(LOOKUPS, "answered");
            reply::json(&response)
        }
        Err(refused) => {
            serving.counters.increment(LOOKUPS, refused.reason.as_str());
            let mut response = reply::refused(refused.reason, &refused.detail);
            if let Some(retry_after) = refused.retry_after {
                response
                    .headers_mut()
                    .insert(header::RETRY_AFTER_MS, retry_after.get().into());
            }
            response
        }
    }
}

fn look_up<'a>(
    serving: &serving::Serving,
    state: &'a serving::ServingState,
    query: &str,
) -> Result<LookupResponse<'a>, Refusal> {
    if state.config.is_none() {
        return Err(Refusal::new(
            refusal::RefusalReason::NoConfiguration,
            "no configuration is in force yet",
        ));
    }
    let service: ids::ServiceId = parameter(query, "service")?;
    let client: ids::ClientBlock = parameter(query, "client")?;
    let Some((service, settings)) = state.services.get_key_value(&service) else {
        return Err(Refusal::new(
            refusal::RefusalReason::ServiceUnknown,
            format!("no service {service} is declared"),
        ));
    };
    let source = state
        .source_zone(Some(&client))
        .ok_or_else(|| Refusal::new(refusal::RefusalReason::NoConfiguration, "no zone is known"))?;
    let picked = picker::pick(
        &state.plan,
        service,
        &picker::Client {
            zone: source.clone(),
            hash: serving::client_hash(client.as_str()),
        },
        serving.clock.now(),
    );
    serving.meter.record_lookup(service, source, picked.is_ok());
    let zones = picked.map_err(|refused| Refusal {
        reason: refusal::RefusalReason::Overloaded,
        retry_after: Some(refused.retry_after),
        detail: refused.to_string(),
    })?;
    let entries = select_entries(state, &zones, &client);
    if entries.is_empty() {
        return Err(Refusal::new(
            refusal::RefusalReason::NoBackendServer,
            "no live entry instance stands in a zone that can carry the client",
        ));
    }
    Ok(LookupResponse {
        service,
        entries,
        ttl_ms: settings.ttl,
        config_version: state.version,
    })
}

fn parameter<T: core::str::FromStr>(query: &str, name: &'static str) -> Result<T, Refusal> {
    route::parameter(query, name)
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| {
            Refusal::new(
                refusal::RefusalReason::MalformedRequest,
                format!("give {name}=, as in /v1/lookup?service=rider-desk&client=sask-017"),
            )
        })
}

fn select_entries<'a>(
    state: &'a serving::ServingState,
    zones: &[ids::AvailabilityZoneId],
    client: &ids::ClientBlock,
) -> Vec<Entry<'a>> {
    let mut chosen = Vec::new();
    for endpoints in zones.iter().filter_map(|zone| state.entries.get(zone)) {
        let mut ranked: Vec<_> = endpoints.iter().collect();
        ranked.sort_by_key(|entry| serving::client_hash(&format!("{client}/{}", entry.instance)));
        chosen.extend(ranked);
    }
    chosen
        .into_iter()
        .take(MAX_ENTRIES)
        .map(|entry| Entry {
            address: &entry.client_address,
            instance: &entry.instance,
            incarnation: entry.incarnation,
        })
        .collect()
}

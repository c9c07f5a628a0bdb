//! Selection of an ordered list of zones for one client from a plan.
//!
//! Selection uses weighted rendezvous hashing: every destination has a score computed from the
//! client's hash, the zone's id and the zone's weight, and the best score wins. A client keeps its
//! zone until the weights change, and a change of weights moves only the clients that it has to.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::{picker, plan};
//!
//! let plan = plan::Plan::empty(time::TimeMs::ZERO);
//! let client = picker::Client { zone: "sask-a".parse()?, hash: 7 };
//! let refused = picker::pick(&plan, &"rider-desk".parse()?, &client, time::TimeMs::ZERO);
//! assert!(refused.is_err());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::plan;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const DEFAULT_RETRY_AFTER: time::SpanMs = time::SpanMs::new(2_000);
const WHOLE: u64 = plan::WHOLE_PPM as u64;

/// Client that requests a lookup, whose result is the list of zones to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Client {
    /// Zone nearest to the client.
    pub zone: ids::AvailabilityZoneId,
    /// Hash of the client block, the group of clients that this client belongs to. Equal on every
    /// lookup.
    pub hash: u64,
}

/// no zone has capacity left for this client; come back after {retry_after}
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Refused {
    /// How long the client waits before its next lookup.
    pub retry_after: time::SpanMs,
}

/// Returns the zones that a client uses, most preferred first.
///
/// # Errors
///
/// Returns [`Refused`] for the part of the clients for which the plan has no capacity, or if the
/// plan does not cover the service and the client's zone. Which clients are refused changes with
/// each retry period, so that the same clients are not refused repeatedly.
pub fn pick(
    plan: &plan::Plan,
    service: &ids::ServiceId,
    client: &Client,
    now: time::TimeMs,
) -> Result<Vec<ids::AvailabilityZoneId>, Refused> {
    let source = plan.source(service, &client.zone).ok_or(Refused {
        retry_after: DEFAULT_RETRY_AFTER,
    })?;
    let refused = Refused {
        retry_after: source.retry_after,
    };
    if is_refused(source, client.hash, now) {
        return Err(refused);
    }
    let mut ranked: Vec<_> = source
        .shares
        .iter()
        .map(|share| (score(share, client.hash), share))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    let zones: Vec<_> = ranked
        .into_iter()
        .map(|(_, share)| share.zone.clone())
        .collect();
    if zones.is_empty() {
        Err(refused)
    } else {
        Ok(zones)
    }
}

fn is_refused(source: &plan::SourcePlan, client_hash: u64, now: time::TimeMs) -> bool {
    let period = now.get() / source.retry_after.get().max(1);
    let random = mix(client_hash ^ mix(period)) % WHOLE;
    random < u64::from(source.refused_ppm())
}

/// Returns a pseudo-random time, exponentially distributed with the weight as rate and determined
/// by the client's hash and the zone; the zone with the shortest time is the first choice.
fn score(share: &plan::Share, client_hash: u64) -> f64 {
    let hash = mix(client_hash ^ hash_name(share.zone.as_str()));
    // 53 bits with an offset of one half, since the logarithm of zero is not finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(share.share_ppm.max(1))
}

fn hash_name(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    name.bytes().fold(FNV_OFFSET, step)
}

/// Finalizer of splitmix64: a change of any input bit changes about half of the output bits.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

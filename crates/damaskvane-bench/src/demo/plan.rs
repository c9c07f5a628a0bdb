//! Which instance, server and zones the demo acts on.
//!
//! ```
//! use damaskvane_bench::{cluster, demo};
//!
//! let plan = demo::Plan::new(&cluster::Deployment::prairie());
//! assert_ne!(plan.stopped, plan.killed);
//! ```

use std::collections::BTreeMap;

use damaskvane_standins::backend;

use crate::cluster::{Deployment, Placement, Service};

/// The share that moves in the end.
const SHIFT_PERMILLE: u32 = 400;
/// The most that may move within one window.
const CAP_PERMILLE: u32 = 300;
/// The length of a window, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// The time over which the share moves, in milliseconds.
const RAMP_MS: u64 = 4_000;

/// Which instance, server and zones the demo acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The service whose traffic moves and whose server drains.
    pub service: Service,
    /// The zone that gives traffic away.
    pub from: String,
    /// The zone that takes it, in another region.
    pub to: String,
    /// The share that moves in the end.
    pub permille: u32,
    /// The most that may move within one window.
    pub cap_permille: u32,
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// The time over which the share moves, in milliseconds.
    pub ramp_ms: u64,
    /// The instance that is restarted as planned.
    pub stopped: String,
    /// The instance that is killed.
    pub killed: String,
    /// The instance that is left alone and asked for look-ups.
    pub asked: String,
}

impl Plan {
    /// The plan for a deployment with at least two regions of two zones.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        let zones = &deployment.zones;
        let service = deployment.services[0].clone();
        let last = zones.len() - 1;
        let from = &zones[0];
        let to = &zones[zones.len() / 3];
        let name = |zone: usize| zones[zone].instances().last().unwrap_or_default();
        Self {
            service,
            from: from.name.clone(),
            to: to.name.clone(),
            permille: SHIFT_PERMILLE,
            cap_permille: CAP_PERMILLE,
            window_ms: WINDOW_MS,
            ramp_ms: RAMP_MS,
            stopped: name(0),
            killed: name(zones.len() / 3),
            asked: name(last),
        }
    }

    /// The backend server to drain: of those in the zone that gives traffic away, the one that ran most,
    /// since a drain of an idle one would show nothing.
    #[must_use]
    pub fn busiest(
        &self,
        deployment: &Deployment,
        stats: &BTreeMap<String, backend::ServerStats>,
    ) -> Placement {
        let executed = |placement: &Placement| {
            stats
                .get(&placement.server)
                .map_or(0, |stats| stats.executed)
        };
        let placements = deployment.placements(&self.service).into_iter();
        let in_zone = placements.filter(|placement| placement.zone == self.from);
        in_zone.max_by_key(executed).unwrap_or_default()
    }

    /// The declaration of the shift.
    #[must_use]
    pub fn shift(&self) -> String {
        format!(
            "[shift.demo]\nservice = \"{}\"\nfrom = \"{}\"\nto = \"{}\"\npermille = {}\ncap_permille_per_window = {}\nwindow_ms = {}\nramp_ms = {}\n",
            self.service.name,
            self.from,
            self.to,
            self.permille,
            self.cap_permille,
            self.window_ms,
            self.ramp_ms,
        )
    }

    /// A name for the run's requests that no other run shares.
    #[must_use]
    pub fn run_name(deployment: &Deployment) -> String {
        format!("{}-{}", deployment.name, backend::now_unix_ms())
    }
}

//! Progress of the declared traffic shifts, which move clients from one zone to another.
//!
//! ```text
//! declared shift -> steps under its cap while the destination is healthy -> share of clients moved
//! ```

use std::collections::BTreeMap;

use damaskvane_config::{declaration, state};
use damaskvane_core::time;
use damaskvane_steering::{digest, input, shift, staleness};
use serde_json::json;

/// Approximate number of steps in which a shift reaches its declared share of clients.
const RAMP_STEPS: u64 = 8;
const MIN_STEP_INTERVAL: time::SpanMs = time::SpanMs::new(200);
const MIN_RECOVERY_MS: u64 = 5_000;
/// Ratio of failed requests to arriving requests in the destination zone, in thousandths, above which a shift is
/// reverted step by step.
const ERRORS_PERMILLE: u64 = 50;

#[derive(Debug)]
struct RunningShift {
    declared: declaration::Shift,
    stage: Option<shift::Stage>,
}

/// Declared shifts with their progress.
#[derive(Debug, Default)]
pub(super) struct Shifts {
    running: BTreeMap<String, RunningShift>,
}

impl Shifts {
    /// Adds and removes shifts as `config` declares them. A shift with a changed declaration is added anew.
    ///
    /// `moved` holds, by the name of each shift, the share of clients that the zones report as moved, in
    /// thousandths. A shift that is new to this instance resumes from that share.
    pub(super) fn apply_declarations(
        &mut self,
        config: &state::ConfigState,
        moved: &BTreeMap<String, u32>,
        now: time::TimeMs,
    ) {
        let declared: BTreeMap<String, &declaration::Shift> = config
            .shifts()
            .iter()
            .map(|(name, shift)| (name.as_str().to_owned(), shift))
            .collect();
        self.running
            .retain(|name, running| declared.get(name) == Some(&&running.declared));
        for (name, declared) in declared {
            self.running.entry(name).or_insert_with_key(|name| {
                let accepted = shift::Shift::accept(order(declared));
                let ramping = match moved.get(name) {
                    Some(moved) if *moved > 0 => accepted.resume(*moved, now),
                    _ => accepted.start(now),
                };
                RunningShift {
                    declared: declared.clone(),
                    stage: Some(shift::Stage::Ramping(ramping)),
                }
            });
        }
    }

    /// Advances each shift according to the load and errors that its destination zone reports.
    pub(super) fn advance(
        &mut self,
        view: &digest::View,
        limits: staleness::Limits,
        now: time::TimeMs,
    ) {
        for running in self.running.values_mut() {
            let signal = signal(view, limits, &running.declared, now);
            running.stage = running.stage.take().map(|stage| stage.advance(now, signal));
        }
    }

    /// Returns the share of clients that each shift has moved so far, in thousandths, by the shift's name.
    pub(super) fn moved_permille(&self) -> BTreeMap<String, u32> {
        self.progress()
            .map(|(name, _, progress)| (name.clone(), progress.moved_permille))
            .collect()
    }

    /// Returns the shifts, with the shares moved so far, as input for the planner of the traffic plan.
    pub(super) fn movements(&self) -> Vec<input::Movement> {
        self.progress()
            .map(|(_, declared, progress)| input::Movement {
                service: declared.service.clone(),
                source: declared.from.clone(),
                destination: declared.to.clone(),
                moved_permille: progress.moved_permille,
            })
            .collect()
    }

    pub(super) fn progress_report(&self) -> Vec<serde_json::Value> {
        self.progress()
            .map(|(name, declared, progress)| {
                json!({
                    "shift": name,
                    "service": declared.service,
                    "phase": progress.phase.to_string(),
                    "moved_permille": progress.moved_permille,
                    "target_permille": progress.target_permille,
                })
            })
            .collect()
    }

    fn progress(&self) -> impl Iterator<Item = (&String, &declaration::Shift, shift::Progress)> {
        self.running.iter().filter_map(|(name, running)| {
            let progress = running.stage.as_ref()?.progress();
            Some((name, &running.declared, progress))
        })
    }
}

fn order(declared: &declaration::Shift) -> shift::Order {
    let target_permille = declared.permille.get();
    let step = time::SpanMs::new(declared.ramp_ms.get() / RAMP_STEPS);
    let steps = u32::try_from(RAMP_STEPS).unwrap_or(1);
    shift::Order {
        target_permille,
        cap_permille: declared.cap_permille_per_window.get(),
        window: declared.window_ms,
        first_step_permille: (target_permille / steps).max(1),
        warm_up: step.max(MIN_STEP_INTERVAL),
        recovery_time: time::SpanMs::new(declared.ramp_ms.get().max(MIN_RECOVERY_MS)),
    }
}

/// Returns the condition of a shift's destination zone from the zone's digest (its load report to other
/// zones), or [`shift::Signal::Unknown`] without a fresh digest.
///
/// The planner raises no zone's share on an old digest. A shift that advanced meanwhile would take effect
/// all at once with the next fresh digest, and exceed its cap on the share moved per window of time.
fn signal(
    view: &digest::View,
    limits: staleness::Limits,
    declared: &declaration::Shift,
    now: time::TimeMs,
) -> shift::Signal {
    let Some(zone) = view.digest(&declared.to) else {
        return shift::Signal::Unknown;
    };
    if view.age(&declared.to, limits, now) != staleness::Age::Fresh {
        return shift::Signal::Unknown;
    }
    let Some(service) = zone.services.get(&declared.service) else {
        return shift::Signal::Unknown;
    };
    if service.overload {
        return shift::Signal::Overload;
    }
    let failing = service.errors.milli() * 1_000;
    if failing > service.arrivals().milli() * ERRORS_PERMILLE && failing > 0 {
        return shift::Signal::Errors;
    }
    shift::Signal::Healthy
}

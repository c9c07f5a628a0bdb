//! Moves of traffic that tickets order, as this instance carries them out.
//!
//! ```text
//! declared shift -> steps under its cap while the destination is recovery_time -> share of clients moved
//! ```

use std::collections::BTreeMap;

use damaskvane_config::{declaration, state};
use damaskvane_core::time;
use damaskvane_steering::{digest, input, shift, staleness};
use serde_json::json;

/// A ramp is walked in about so many steps.
const STEPS: u64 = 8;
const SHORTEST_STEP: time::SpanMs = time::SpanMs::new(200);
const SHORTEST_CALM_MS: u64 = 5_000;
/// Failed exchanges above this share of arrivals turn a shift back, in thousandths.
const ERRORS_PERMILLE: u64 = 50;

#[derive(Debug)]
struct Running {
    declared: declaration::Shift,
    stage: Option<shift::Stage>,
}

/// Every declared shift with how far it is.
#[derive(Debug, Default)]
pub(super) struct Shifts {
    running: BTreeMap<String, Running>,
}

impl Shifts {
    /// Follows the declarations; `moved` is how far other zones have brought a shift that is new here.
    pub(super) fn follow(
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
                Running {
                    declared: declared.clone(),
                    stage: Some(shift::Stage::Ramping(ramping)),
                }
            });
        }
    }

    /// Goes on with each shift by what its destination shows.
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

    /// How far each shift is, in thousandths.
    pub(super) fn moved(&self) -> BTreeMap<String, u32> {
        self.progresses()
            .map(|(name, _, progress)| (name.clone(), progress.moved_permille))
            .collect()
    }

    /// The shifts as the planner applies them.
    pub(super) fn movements(&self) -> Vec<input::Movement> {
        self.progresses()
            .map(|(_, declared, progress)| input::Movement {
                service: declared.service.clone(),
                source: declared.from.clone(),
                destination: declared.to.clone(),
                moved_permille: progress.moved_permille,
            })
            .collect()
    }

    pub(super) fn described(&self) -> Vec<serde_json::Value> {
        self.progresses()
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

    fn progresses(&self) -> impl Iterator<Item = (&String, &declaration::Shift, shift::Progress)> {
        self.running.iter().filter_map(|(name, running)| {
            let progress = running.stage.as_ref()?.progress();
            Some((name, &running.declared, progress))
        })
    }
}

fn order(declared: &declaration::Shift) -> shift::Order {
    let target_permille = declared.permille.get();
    let step = time::SpanMs::new(declared.ramp_ms.get() / STEPS);
    let steps = u32::try_from(STEPS).unwrap_or(1);
    shift::Order {
        target_permille,
        cap_permille: declared.cap_permille_per_window.get(),
        window: declared.window_ms,
        first_step_permille: (target_permille / steps).max(1),
        warm_up: step.max(SHORTEST_STEP),
        recovery_time: time::SpanMs::new(declared.ramp_ms.get().max(SHORTEST_CALM_MS)),
    }
}

/// What the destination shows. The planner raises nothing on an old report; a shift that went on
/// meanwhile would be placed all at once with the next fresh one, above its cap.
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

//! Makes the plan that look-ups follow.
//!
//! ```text
//! configuration + digests of all zones + the plan before -> weights between zones
//! ```

use damaskvane_config::{declaration, state};
use damaskvane_steering::{digest, plan, planner, policy};

use crate::control::Control;
use crate::translate;

/// What steering remembers between two plans.
#[derive(Debug, Default)]
pub(super) struct Steering {
    pub(super) view: digest::View,
    pub(super) plan: Option<plan::Plan>,
}

impl Control {
    pub(super) fn steer(&mut self) {
        let Some(in_force) = self.relay.adopter().in_force().cloned() else {
            return;
        };
        let config = in_force.state();
        let topology = translate::topology(&config);
        let planner = planner::Planner::new(settings(&config));
        let plan = planner.plan(
            &topology,
            &self.steering.view,
            self.steering.plan.as_ref(),
            self.now(),
        );
        self.steering.plan = Some(plan.clone());
        self.publish_serving(config, plan);
    }
}

/// One planner serves all services: it weighs headroom if any service asks for it, and counts answers
/// in caches for the longest time that any service allows.
fn settings(config: &state::ConfigState) -> planner::Settings {
    let services = || config.services().values();
    let wants_headroom = services().any(|service| service.policy == declaration::Policy::Headroom);
    let defaults = planner::Settings::default();
    planner::Settings {
        policy: if wants_headroom {
            policy::Policy::Headroom
        } else {
            policy::Policy::Latency
        },
        answer_ttl: services()
            .map(|service| service.lookup_ttl_ms)
            .max()
            .unwrap_or(defaults.answer_ttl),
        ..defaults
    }
}

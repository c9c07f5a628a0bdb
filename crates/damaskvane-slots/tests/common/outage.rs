//! Times in which no instance grants the slots of the first server although an instance runs.

use damaskvane_core::{ids, time};
use damaskvane_slots::exchange;

use super::{STEP_MS, SimulatedZone, server};

const MAX_PRINTED_STATES: usize = 8;

/// A time in which no instance granted slots, with the state of each running instance in it.
#[derive(Debug)]
pub(crate) struct Outage {
    pub(crate) from: time::TimeMs,
    pub(crate) until: time::TimeMs,
    /// Changes of the instances' states, each with its time.
    pub(crate) states: Vec<(time::TimeMs, String)>,
}

impl Outage {
    pub(crate) const fn length_ms(&self) -> u64 {
        self.until.get() - self.from.get()
    }
}

/// Runs the zone and returns the outages of its first server.
pub(crate) fn run(zone: &mut SimulatedZone, span_ms: u64) -> Vec<Outage> {
    let mut outages: Vec<Outage> = Vec::new();
    let mut is_open = false;
    for _ in 0..span_ms / STEP_MS {
        zone.step();
        let is_out = !granting(zone) && runs(zone);
        if is_out && !is_open {
            outages.push(Outage {
                from: zone.now,
                until: zone.now,
                states: Vec::new(),
            });
        }
        is_open = is_out;
        if let Some(outage) = outages.last_mut().filter(|_| is_out) {
            outage.until = zone.now + super::ms(STEP_MS);
            let state = describe(zone);
            if outage.states.last().is_none_or(|(_, last)| *last != state) {
                outage.states.push((zone.now, state));
            }
        }
    }
    outages
}

/// Runs the zone and prints the outages of its first server under a title; returns the longest one's length.
pub(crate) fn report(zone: &mut SimulatedZone, span_ms: u64, title: &str) -> u64 {
    let started_at = zone.now;
    let outages = run(zone, span_ms);
    let total_ms: u64 = outages.iter().map(Outage::length_ms).sum();
    println!("{title}: {total_ms} of {span_ms} ms without grants");
    for outage in &outages {
        let from = outage.from.since(started_at).get();
        println!("  {:>6} ms from {from:>6}", outage.length_ms());
        for (at, state) in outage.states.iter().take(MAX_PRINTED_STATES) {
            println!("    {:>6} {state}", at.since(started_at).get());
        }
    }
    super::script::assert_no_excess(zone, title);
    outages
        .iter()
        .map(Outage::length_ms)
        .max()
        .unwrap_or_default()
}

fn runs(zone: &SimulatedZone) -> bool {
    let mut instances = zone.instances.values();
    instances.any(|instance| instance.paused_until <= zone.now)
}

fn granting(zone: &SimulatedZone) -> bool {
    zone.instances.iter().any(|(name, instance)| {
        let authority_until = instance.membership.roster().authority_until;
        let has_authority = authority_until.is_some_and(|until| until > zone.now);
        let is_serving = zone.phase(name.as_str(), 0) == exchange::OwnerPhase::Serving;
        is_serving && has_authority && instance.paused_until <= zone.now
    })
}

fn describe(zone: &SimulatedZone) -> String {
    let names: Vec<&ids::InstanceId> = zone.instances.keys().collect();
    let states = names.into_iter().map(|name| describe_instance(zone, name));
    let states: Vec<String> = states.collect();
    states.join("; ")
}

fn describe_instance(zone: &SimulatedZone, name: &ids::InstanceId) -> String {
    let instance = &zone.instances[name];
    let roster = instance.membership.roster();
    let phase = zone.phase(name.as_str(), 0);
    let mut parts = vec![format!("{name}.{} {phase:?}", instance.incarnation)];
    if instance.slots.is_assigned(&server(0)) {
        parts.push("assigned".to_owned());
    }
    if roster.authority_until.is_none() {
        parts.push("no authority".to_owned());
    }
    if !roster.is_listed {
        parts.push("not listed".to_owned());
    }
    if !roster.may_take_over {
        parts.push("may not take over".to_owned());
    }
    if zone.without_platform.contains(name) {
        parts.push("no platform".to_owned());
    }
    for member in &roster.members {
        if let Some(gone) = member.gone {
            parts.push(format!("{} gone {:?}", member.instance, gone.proof));
        } else if !member.has_acknowledged_own {
            parts.push(format!("not confirmed by {}", member.instance));
        }
    }
    parts.join(", ")
}

//! Simulation of memberships in virtual time: messages are delayed, and are lost by cuts or held back by pauses.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};
use damaskvane_membership::{heartbeat, record, settings, state, view};

pub(crate) fn id(name: &str) -> ids::InstanceId {
    name.parse().expect("a valid name")
}

pub(crate) fn ms(ms: u64) -> time::SpanMs {
    time::SpanMs::new(ms)
}

pub(crate) fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

/// Returns the list entry of an instance whose name has the form `zone-number`.
pub(crate) fn record(name: &str, incarnation: u64) -> record::InstanceRecord {
    let (zone, _) = name.rsplit_once('-').expect("zone and number");
    let (region, _) = zone.rsplit_once('-').unwrap_or((zone, ""));
    let address = "127.0.0.1:1".parse().expect("an address");
    record::InstanceRecord {
        instance: id(name),
        zone: zone.parse().expect("a valid zone"),
        region: region.parse().expect("a valid region"),
        incarnation: ids::Incarnation::new(incarnation),
        client_address: address,
        peer_address: address,
        operator_address: address,
        leaving: false,
        fenced: false,
        goes_on_alone: false,
    }
}

pub(crate) fn new_heartbeat(sequence: u64) -> heartbeat::Heartbeat {
    heartbeat::Heartbeat {
        is_starting: false,
        sequence,
        echo: None,
        echoed_incarnation: None,
        period_ms: ms(250),
        config_version: ids::ConfigVersion::new(1),
        leaving: false,
        platform_age_ms: Some(ms(0)),
        listed_incarnation: None,
        load: heartbeat::LoadSummary::default(),
    }
}

pub(crate) fn member(name: &str, incarnation: u64) -> view::Membership {
    let record = record(name, incarnation);
    let own = view::OwnInstance::new(record.instance, record.zone, record.incarnation);
    let settings = settings::MembershipSettings {
        authority_ms: ms(8_000),
        list_lag_ms: ms(10_000),
        platform_lost_ms: ms(5_000),
        ..settings::MembershipSettings::default()
    };
    view::Membership::new(own, settings, at(0))
}

pub(crate) fn list(records: &[record::InstanceRecord]) -> view::Event {
    view::Event::List {
        records: records.to_vec(),
        age: ms(0),
        source: view::ListSource::Platform,
    }
}

pub(crate) fn state_of(membership: &view::Membership, name: &str) -> Option<state::InstanceState> {
    membership
        .instances()
        .find(|view| view.record.instance == id(name))
        .map(|view| view.state)
}

struct InFlightMessage {
    due: time::TimeMs,
    from: ids::InstanceId,
    to: ids::InstanceId,
    heartbeat: heartbeat::Heartbeat,
}

/// A simulated zone of instances with the platform's list, in steps of `STEP_MS`.
pub(crate) struct Zone {
    pub(crate) now: time::TimeMs,
    pub(crate) instances: BTreeMap<ids::InstanceId, view::Membership>,
    pub(crate) list: BTreeMap<ids::InstanceId, record::InstanceRecord>,
    /// Pairs (from, to) between which no heartbeat arrives.
    pub(crate) cuts: BTreeSet<(ids::InstanceId, ids::InstanceId)>,
    pub(crate) paused: BTreeSet<ids::InstanceId>,
    pub(crate) without_platform: BTreeSet<ids::InstanceId>,
    /// Pairs (from, to) of the connections that instances requested to replace by new ones.
    pub(crate) reconnects: Vec<(ids::InstanceId, ids::InstanceId)>,
    in_flight: Vec<InFlightMessage>,
}

pub(crate) const STEP_MS: u64 = 50;
const LIST_EVERY_MS: u64 = 1_000;

impl Zone {
    pub(crate) fn new(names: &[&str]) -> Self {
        let records = names.iter().map(|name| (id(name), record(name, 1)));
        let mut zone = Self {
            now: at(0),
            instances: names
                .iter()
                .map(|name| (id(name), member(name, 1)))
                .collect(),
            list: records.collect(),
            cuts: BTreeSet::new(),
            paused: BTreeSet::new(),
            without_platform: BTreeSet::new(),
            reconnects: Vec::new(),
            in_flight: Vec::new(),
        };
        zone.run(2_000);
        zone
    }

    pub(crate) fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.step(5);
        }
    }

    pub(crate) fn step(&mut self, delay_ms: u64) {
        self.now = self.now + ms(STEP_MS);
        self.deliver(delay_ms);
        let names: Vec<ids::InstanceId> = self.instances.keys().cloned().collect();
        for name in names {
            if self.paused.contains(&name) {
                continue;
            }
            let is_list_due = self.now.get().is_multiple_of(LIST_EVERY_MS);
            if is_list_due && !self.without_platform.contains(&name) {
                let records: Vec<_> = self.list.values().cloned().collect();
                self.handle_event(&name, list(&records), delay_ms);
            }
            self.handle_event(&name, view::Event::Tick, delay_ms);
        }
    }

    fn deliver(&mut self, delay_ms: u64) {
        let now = self.now;
        let paused = &self.paused;
        let (due, later): (Vec<InFlightMessage>, Vec<InFlightMessage>) = self
            .in_flight
            .drain(..)
            .partition(|message| message.due <= now && !paused.contains(&message.to));
        self.in_flight = later;
        for message in due {
            if self
                .cuts
                .contains(&(message.from.clone(), message.to.clone()))
            {
                continue;
            }
            let event = view::Event::Heartbeat {
                from: message.from,
                incarnation: ids::Incarnation::new(1),
                heartbeat: message.heartbeat,
            };
            self.handle_event(&message.to, event, delay_ms);
        }
    }

    pub(crate) fn handle_event(
        &mut self,
        name: &ids::InstanceId,
        event: view::Event,
        delay_ms: u64,
    ) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        for action in instance.handle(self.now, event) {
            self.perform(name, action, delay_ms);
        }
    }

    fn perform(&mut self, from: &ids::InstanceId, action: view::Action, delay_ms: u64) {
        match action {
            view::Action::Send { to, heartbeat, .. } => self.in_flight.push(InFlightMessage {
                due: self.now + ms(delay_ms),
                from: from.clone(),
                to,
                heartbeat,
            }),
            view::Action::Reconnect { to, .. } => self.reconnects.push((from.clone(), to)),
            view::Action::Probe {
                instance,
                incarnation,
                ..
            } => {
                let is_cut = self.cuts.contains(&(from.clone(), instance.clone()));
                let outcome = match self.instances.contains_key(&instance) {
                    _ if is_cut => view::ProbeOutcome::Silent,
                    true => view::ProbeOutcome::Answered,
                    false => view::ProbeOutcome::Refused,
                };
                let event = view::Event::Probed {
                    instance,
                    incarnation,
                    outcome,
                };
                self.handle_event(from, event, delay_ms);
            }
            view::Action::Fence {
                instance,
                incarnation,
                goes_on_alone,
            } if !self.without_platform.contains(from) => {
                if let Some(entry) = self.list.get_mut(&instance) {
                    entry.fenced = true;
                    entry.goes_on_alone |= goes_on_alone;
                }
                let event = view::Event::Fenced {
                    instance,
                    incarnation,
                };
                self.handle_event(from, event, delay_ms);
            }
            view::Action::RemoveFenceRecord {
                instance,
                incarnation,
            } if !self.without_platform.contains(from) => {
                let entry = self.list.get(&instance);
                if entry.is_some_and(|entry| entry.fenced && entry.incarnation == incarnation) {
                    self.list.remove(&instance);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((id(a), id(b)));
    }

    pub(crate) fn state(&self, observer: &str, name: &str) -> Option<state::InstanceState> {
        state_of(&self.instances[&id(observer)], name)
    }

    /// Returns the proof and time by which `observer` counts the instance `name` as gone (stopped or fenced); `None`
    /// if it does not.
    pub(crate) fn gone(&self, observer: &str, name: &str) -> Option<state::Gone> {
        let roster = self.instances[&id(observer)].roster();
        let mut members = roster.members.into_iter();
        let member = members.find(|member| member.instance == id(name));
        member.and_then(|member| member.gone)
    }

    /// Returns whether the instance has authority, the right to act as the owner of its servers.
    pub(crate) fn has_authority(&self, name: &ids::InstanceId) -> bool {
        self.instances[name]
            .authority_until()
            .is_some_and(|until| until > self.now)
    }

    /// Checks that no instance may take over from another that still has authority.
    pub(crate) fn check(&self) {
        for observer in self.instances.values() {
            for member in observer.roster().members {
                let is_over = member.gone.is_some_and(|gone| gone.from <= self.now);
                if is_over && self.instances.contains_key(&member.instance) {
                    assert!(
                        !self.has_authority(&member.instance),
                        "{} is gone for {} but has authority at {:?}",
                        member.instance,
                        observer.own().instance,
                        self.now
                    );
                }
            }
        }
    }
}

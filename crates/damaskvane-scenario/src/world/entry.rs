//! A simulated entry instance with a real engine and a real membership.
//!
//! ```text
//! event -> engine or membership -> actions -> messages, exchanges, responses
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{home, quarantine};
use damaskvane_engine::{engine, event, peer};
use damaskvane_membership::{heartbeat, record, settings as membership_settings, view};

use crate::world::World;
use crate::world::delivery::{Delivery, Input};

/// The period of the engine's tick events.
pub(super) const ENGINE_TICK: time::SpanMs = time::SpanMs::new(10);
pub(super) const MEMBERSHIP_TICK: time::SpanMs = time::SpanMs::new(100);
pub(super) const LIST_PERIOD: time::SpanMs = time::SpanMs::new(1_000);
/// The time from the start of a process until it has the configuration.
const CONFIGURATION_DELAY: time::SpanMs = time::SpanMs::new(50);

/// Whether the process of an entry instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    Paused,
    Ended,
}

/// The latest incarnation of one entry instance.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(super) record: record::InstanceRecord,
    pub(super) engine: engine::Engine,
    pub(super) membership: view::Membership,
    pub(crate) process_state: ProcessState,
    /// Inputs that arrived while the process was paused.
    pub(super) held_inputs: Vec<Delivery>,
    /// The configuration that the instance last received.
    pub(super) config: super::control::Config,
    pub(super) clients: BTreeMap<event::RequestNumber, ids::RequestId>,
    pub(super) next_number: u64,
    /// Whether a planned stop ended with all clients served.
    pub(crate) has_stopped: bool,
}

impl Entry {
    pub(super) const fn incarnation(&self) -> ids::Incarnation {
        self.record.incarnation
    }

    pub(super) fn home(&self) -> home::Home {
        home::Home::new(self.record.instance.clone(), self.record.incarnation)
    }

    /// Returns the home of new keys, which lookups name.
    pub(super) fn lookup_home(&self) -> home::Home {
        self.engine.home().clone()
    }

    /// Returns whether lookups name this instance.
    pub(crate) const fn is_offered(&self) -> bool {
        matches!(self.process_state, ProcessState::Running) && !self.record.leaving
    }

    pub(crate) fn quarantined(&self, now: time::TimeMs) -> Vec<quarantine::QuarantineEntry> {
        self.engine.quarantined(now)
    }
}

impl World {
    /// Starts a process of an instance, which replaces an earlier process of that instance.
    pub(super) fn start_process(&mut self, record: record::InstanceRecord) {
        let instance = record.instance.clone();
        let own = view::OwnInstance::new(instance.clone(), record.zone.clone(), record.incarnation);
        let me = home::Home::new(instance.clone(), record.incarnation);
        let mut settings = engine::EngineSettings::default();
        if let Some(max_keys) = self.settings.max_keys {
            settings.keys.max_tombstones = max_keys;
        }
        if let Some(window) = self.settings.key_window {
            settings.keys.window_ms = window.get();
        }
        let membership_settings = membership_settings::MembershipSettings::default();
        self.platform.register(record.clone());
        self.entries.insert(
            instance.clone(),
            Entry {
                record,
                engine: engine::Engine::new(me, settings),
                membership: view::Membership::new(own, membership_settings, self.now),
                process_state: ProcessState::Running,
                held_inputs: Vec::new(),
                config: super::control::Config::default(),
                clients: BTreeMap::new(),
                next_number: 0,
                has_stopped: false,
            },
        );
        self.send_to_entry(&instance, time::SpanMs::ZERO, Input::EngineTick);
        self.send_to_entry(&instance, time::SpanMs::ZERO, Input::MembershipTick);
        self.send_to_entry(&instance, time::SpanMs::ZERO, Input::ReadList);
        self.send_to_entry(&instance, CONFIGURATION_DELAY, Input::Configure);
    }

    pub(super) fn pass_to_engine(&mut self, instance: &ids::InstanceId, event: event::Event) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        let me = entry.home();
        for action in entry.engine.handle(now, event) {
            self.execute_action(&me, action);
        }
    }

    fn execute_action(&mut self, me: &home::Home, action: event::Action) {
        match action {
            event::Action::Respond { number, outcome } => self.handle_outcome(me, number, outcome),
            event::Action::Start(exchange) => self.start_exchange(me, exchange),
            event::Action::Cancel {
                address,
                request_id,
            } => self.send_cancel(address, request_id),
            event::Action::Send { to, message } => self.send_message(me, &to, &message),
            event::Action::Broken { invariant } => {
                self.broken_invariants.push(format!("{me}: {invariant}"));
            }
            event::Action::HomeRenewed { .. }
            | event::Action::CountRefusal(_)
            | event::Action::CountRetry(_)
            | event::Action::Count { .. } => {}
        }
    }

    fn send_message(
        &mut self,
        from: &home::Home,
        to: &ids::InstanceId,
        message: &peer::PeerMessage,
    ) {
        for delay in self.message_delays(&from.instance, to) {
            let event = event::Event::Peer {
                from: from.clone(),
                message: Box::new(message.clone()),
            };
            let delivery = Delivery::ToEntry {
                to: to.clone(),
                incarnation: None,
                input: Input::Engine(Box::new(event)),
            };
            self.schedule(delay, delivery);
        }
    }

    pub(super) fn pass_to_membership(&mut self, instance: &ids::InstanceId, event: view::Event) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        let me = entry.home();
        let mut has_changed = false;
        let actions = entry.membership.handle(now, event);
        let roster = entry.membership.roster();
        for action in actions {
            has_changed |= self.execute_membership_action(&me, action);
        }
        self.pass_to_engine(instance, event::Event::Roster(Box::new(roster)));
        if has_changed {
            self.publish_directory(instance);
        }
    }

    /// Executes an action and returns whether it changes the instances that accept requests.
    fn execute_membership_action(&mut self, me: &home::Home, action: view::Action) -> bool {
        match action {
            view::Action::Send { to, heartbeat, .. } => self.send_heartbeat(me, &to, &heartbeat),
            view::Action::Probe {
                instance,
                incarnation,
                ..
            } => self.probe(me, instance, incarnation),
            view::Action::Fence {
                instance,
                incarnation,
                goes_on_alone,
            } => self.fence(me, instance, incarnation, goes_on_alone),
            view::Action::RemoveFenceRecord {
                instance,
                incarnation,
            } => self.remove_fence_record(&me.instance, &instance, incarnation),
            view::Action::PassList { to, list, .. } => self.send_list(&me.instance, &to, &list),
            view::Action::RequestList { to, .. } => self.request_list(&me.instance, &to),
            view::Action::AllowPeers(_) | view::Action::Changed { .. } => return true,
            view::Action::OwnFenced => {
                self.kill(&me.instance);
                self.restart_later(&me.instance);
            }
            view::Action::Reconnect { .. } | view::Action::Resumed { .. } => {}
        }
        false
    }

    fn send_heartbeat(
        &mut self,
        from: &home::Home,
        to: &ids::InstanceId,
        heartbeat: &heartbeat::Heartbeat,
    ) {
        for delay in self.message_delays(&from.instance, to) {
            let event = view::Event::Heartbeat {
                from: from.instance.clone(),
                incarnation: from.incarnation,
                heartbeat: heartbeat.clone(),
            };
            let delivery = Delivery::ToEntry {
                to: to.clone(),
                incarnation: None,
                input: Input::Membership(Box::new(event)),
            };
            self.schedule(delay, delivery);
        }
    }
}

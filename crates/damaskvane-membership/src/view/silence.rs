//! Handling of neighbours that are silent, or that do not echo this instance's heartbeats.
//!
//! The neighbours are the instances with which this one exchanges heartbeats. A neighbour is silent if
//! no heartbeats arrive from it. It echoes a heartbeat of this instance by returning the sequence
//! number. To fence an instance is to revoke its right to own backend servers, by a mark at the
//! platform.

use damaskvane_core::ids;

use crate::state::InstanceState;
use crate::view::event::Action;
use crate::view::member::Member;
use crate::view::membership::Membership;

impl Membership {
    /// Adds actions that reconnect to neighbours that are silent or send no echoes, and probe or fence
    /// silent ones.
    ///
    /// One connection can fail for good while new connections work. The failure shows as echoes that
    /// stop while heartbeats still arrive, or as silence in both directions. If heartbeats arrive on a
    /// new connection, the old one had failed and the neighbour is alive.
    pub(super) fn check_silent_neighbours(&mut self, actions: &mut Vec<Action>) {
        let mut retried: Vec<ids::InstanceId> = Vec::new();
        for member in self.neighbours() {
            if self.now.since(member.retried_at) < self.settings.retry_ms {
                continue;
            }
            let state = self.state_of(member);
            let is_silent = matches!(state, InstanceState::Suspect | InstanceState::Dead);
            if !is_silent && self.echoes_heartbeats(member) {
                continue;
            }
            retried.push(member.record.instance.clone());
            actions.push(Action::Reconnect {
                to: member.record.instance.clone(),
                address: member.record.peer_address,
            });
            if is_silent && member.is_address_current() {
                actions.push(Action::Probe {
                    instance: member.record.instance.clone(),
                    incarnation: member.incarnation,
                    address: member.record.peer_address,
                });
            }
        }
        self.probe_stopping_members(actions);
        for instance in retried {
            self.counters.reconnects += 1;
            self.record_retry(&instance, actions);
        }
    }

    /// Adds probes of members that were fenced or left the list, until they have certainly stopped.
    ///
    /// Their backend servers pass to another instance only after that time, or as soon as a refused
    /// connection proves that the process has ended.
    fn probe_stopping_members(&mut self, actions: &mut Vec<Action>) {
        let (now, retry) = (self.now, self.settings.retry_ms);
        let zone = &self.own.zone;
        let stopping = self.members.values_mut().filter(|member| {
            member.record.zone == *zone
                && member.may_still_act(now)
                && member.is_address_current()
                && now.since(member.retried_at) >= retry
        });
        for member in stopping {
            member.retried_at = now;
            actions.push(Action::Probe {
                instance: member.record.instance.clone(),
                incarnation: member.incarnation,
                address: member.record.peer_address,
            });
        }
    }

    /// Returns whether a neighbour has recently echoed a heartbeat of this instance.
    fn echoes_heartbeats(&self, member: &Member) -> bool {
        let echo_limit = self.settings.authority_ms.get() / 2;
        let last = member.echoed_sent_at.unwrap_or(member.expected_from);
        self.now.since(last).get() < echo_limit
    }

    fn record_retry(&mut self, instance: &ids::InstanceId, actions: &mut Vec<Action>) {
        let can_fence = self.can_fence();
        let goes_on_alone = self
            .members
            .get(instance)
            .is_some_and(|member| self.may_continue_without_peers(member));
        let (now, settings) = (self.now, &self.settings);
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        member.retried_at = now;
        let is_dead = member.state(now, settings) == InstanceState::Dead;
        let is_due = member.silence(now) >= settings.min_fence_silence();
        if can_fence && is_dead && is_due && member.may_be_fenced(now, settings) {
            member.fence_requested_at = Some(now);
            actions.push(Action::Fence {
                instance: instance.clone(),
                incarnation: member.incarnation,
                goes_on_alone,
            });
        }
    }

    /// Returns whether this instance may fence others.
    ///
    /// An instance that may itself be cut off from the platform must not, and could not mark the entry
    /// of another instance at the platform anyway.
    fn can_fence(&self) -> bool {
        let age = self.platform_seen_at.map(|seen_at| self.now.since(seen_at));
        let is_reached = self.settings.reaches_platform(age);
        is_reached && self.is_listed && !self.is_fenced && !self.leaving
    }
}

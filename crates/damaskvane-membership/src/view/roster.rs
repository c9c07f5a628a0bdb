//! The roster: the instances that may own backend servers of the local zone.
//!
//! A gone instance is proven to have stopped, or to have been fenced, which revokes its right to own
//! servers. The neighbours of an instance are those with which it exchanges heartbeats.

use damaskvane_core::{ids, time};

use crate::state::{Gone, InstanceState};
use crate::view::member::Member;
use crate::view::membership::Membership;

/// One instance of the local zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterMember {
    /// Id of the instance.
    pub instance: ids::InstanceId,
    /// Latest known incarnation (start of the process) of the instance.
    pub incarnation: ids::Incarnation,
    /// Whether the instance is about to stop as planned, and therefore may own no backend servers.
    pub leaving: bool,
    /// Proof that this incarnation is gone, with the time from which it certainly acts no more as an
    /// owner.
    pub gone: Option<Gone>,
    /// Time by which a member that left the platform's list has certainly stopped acting as an owner,
    /// even without proof that it is gone. `None` while the member is listed or about to stop.
    pub stopped_by: Option<time::TimeMs>,
    /// Whether the member has confirmed a heartbeat of this instance, and so has a record of this
    /// instance; true for members that exchange no heartbeats with this instance.
    pub has_acknowledged_own: bool,
    /// Whether the member can't own a backend server as long as this instance has authority: the platform
    /// listed it after this instance, and no heartbeat of it has arrived here.
    ///
    /// The member knows this instance from its list, and claims nothing before this instance has confirmed
    /// a heartbeat of it.
    pub is_unheard_newcomer: bool,
    /// Whether the member is not on the platform's list yet, or started so recently that instances which
    /// were fenced before may still act without its knowledge. It is to own nothing beside others.
    pub is_starting: bool,
}

/// The instances of the local zone, including this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Roster {
    /// Instances that are or may still be running, and instances that are gone.
    pub members: Vec<RosterMember>,
    /// Time until which this instance may act as the owner of its backend servers, as far as is known
    /// now; `None` if it may not.
    ///
    /// Never more than `authority_ms` ahead, because other instances may take over after that time.
    pub authority_until: Option<time::TimeMs>,
    /// Whether this instance has found itself on the platform's list; a list that contains this
    /// instance contains all instances that started before it, too.
    pub is_listed: bool,
    /// Whether this instance may take over the backend servers of gone instances.
    pub may_take_over: bool,
}

impl Membership {
    /// Returns the instances of the local zone that may own backend servers, and those that are gone.
    ///
    /// A member that counts as dead only because no heartbeats arrive stays an owner: its backend
    /// servers pass to another instance only by proof that the member is gone.
    #[must_use]
    pub fn roster(&self) -> Roster {
        let own = RosterMember {
            instance: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            leaving: self.leaving,
            gone: None,
            stopped_by: None,
            has_acknowledged_own: true,
            is_unheard_newcomer: false,
            is_starting: self.is_starting(),
        };
        let zone = self
            .members
            .values()
            .filter(|member| member.record.zone == self.own.zone);
        let others = zone.map(|member| RosterMember {
            instance: member.record.instance.clone(),
            incarnation: member.incarnation,
            leaving: member.leaving,
            gone: member.gone,
            stopped_by: self.stop_time(member),
            has_acknowledged_own: !member.is_neighbour || member.echoed_sent_at.is_some(),
            is_unheard_newcomer: self.is_unheard_newcomer(member),
            is_starting: self.is_member_starting(member),
        });
        let mut members: Vec<RosterMember> = others.chain([own]).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        // The caller may be paused while it holds this copy, and must not use the copy without limit.
        let copy_until = self.now + self.settings.authority_ms;
        Roster {
            members,
            authority_until: self.authority_until().map(|until| until.min(copy_until)),
            is_listed: self.is_listed,
            may_take_over: self.lost_neighbour.is_none(),
        }
    }

    /// Returns whether a member is starting, as its heartbeats say; of a member that sends none to this instance,
    /// whether the platform listed it recently.
    fn is_member_starting(&self, member: &Member) -> bool {
        let is_new = self.now < member.known_from + self.settings.starting_ms;
        member
            .last_received
            .as_ref()
            .map_or(member.was_listed_after_own && is_new, |received| {
                received.heartbeat.is_starting
            })
    }

    /// Returns whether a member can't own a backend server as long as this instance has authority.
    ///
    /// Only in a zone in which all instances exchange heartbeats does a newcomer wait for a confirmation of
    /// every other one. The newcomer may know more instances than this one, so that the zone must be well
    /// within that limit.
    pub(super) fn is_unheard_newcomer(&self, member: &Member) -> bool {
        let zone = self.members.values();
        let zone = zone.filter(|member| member.record.zone == self.own.zone);
        let is_mesh = zone.count() * 2 <= self.settings.mesh_limit;
        is_mesh && member.was_listed_after_own && member.last_received.is_none()
    }

    /// Returns the time by which a member that left the platform's list has stopped acting as an owner,
    /// because neighbours no longer confirm its heartbeats.
    ///
    /// Returns `None` for a member that is about to stop: it handed its backend servers over before its
    /// entry was deleted.
    fn stop_time(&self, member: &Member) -> Option<time::TimeMs> {
        let delisted_at = member.delisted_at.filter(|_| !member.leaving)?;
        Some(delisted_at + self.settings.list_lag_ms + self.max_authority(member))
    }

    /// Returns whether no neighbour in the local zone counts as dead, for the status page.
    #[must_use]
    pub fn has_no_dead_neighbour(&self) -> bool {
        self.neighbours()
            .all(|member| self.state_of(member) <= InstanceState::Leaving)
    }
}

//! Instances that may own backend servers of the local zone.

use damaskvane_core::{ids, time};

use crate::state::{Gone, InstanceState};
use crate::view::member::Member;
use crate::view::membership::Membership;

/// One instance of the local zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterMember {
    /// Id of the instance.
    pub instance: ids::InstanceId,
    /// Latest known incarnation.
    pub incarnation: ids::Incarnation,
    /// Whether the instance is about to stop, and so may own nothing more.
    pub leaving: bool,
    /// Proof that this incarnation is gone, with the time from which it has stopped.
    pub gone: Option<Gone>,
    /// Time by which a member that left the list has certainly stopped, even without proof that it is
    /// gone. `None` while the member is listed or leaving.
    pub stopped_by: Option<time::TimeMs>,
    /// Whether the member has echoed a heartbeat of this instance, and so has a record of it; true for
    /// members that are no neighbours.
    pub has_acknowledged_own: bool,
}

/// The instances of the local zone, including this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Roster {
    /// Instances that are or may still be running, and instances that are gone.
    pub members: Vec<RosterMember>,
    /// Time until which this instance may use what it owns, as far as is known now.
    ///
    /// Never more than `authority_ms` ahead, the time that others wait before they take over.
    pub authority_until: Option<time::TimeMs>,
    /// Whether this instance has found itself on the list, which then contains all instances that
    /// started before it.
    pub is_listed: bool,
    /// Whether this instance may take over what gone instances owned.
    pub may_take_over: bool,
}

impl Membership {
    /// Returns the instances of the local zone as owners of backend servers.
    ///
    /// A member that is dead by silence alone stays an owner: what it owns passes to another only by
    /// proof.
    #[must_use]
    pub fn roster(&self) -> Roster {
        let own = RosterMember {
            instance: self.own.instance.clone(),
            incarnation: self.own.incarnation,
            leaving: self.leaving,
            gone: None,
            stopped_by: None,
            has_acknowledged_own: true,
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

    /// Returns the time by which a member that left the list has stopped, because neighbours no longer
    /// echo its heartbeats.
    ///
    /// A leaving member has none: it handed over what it owned before its entry was deleted.
    fn stop_time(&self, member: &Member) -> Option<time::TimeMs> {
        let delisted_at = member.delisted_at.filter(|_| !member.leaving)?;
        Some(delisted_at + self.settings.list_lag_ms + self.max_authority(member))
    }

    /// Returns whether no neighbour in the local zone is dead, for status.
    #[must_use]
    pub fn has_no_dead_neighbour(&self) -> bool {
        self.neighbours()
            .all(|member| self.state_of(member) <= InstanceState::Leaving)
    }
}

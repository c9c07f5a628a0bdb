//! Who may own backend servers of this zone.

use damaskvane_core::{ids, time};

use crate::state::{Gone, InstanceState};
use crate::view::member::Member;
use crate::view::membership::Membership;

/// One instance of the own zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterMember {
    /// Its name.
    pub instance: ids::InstanceId,
    /// Its latest start.
    pub incarnation: ids::Incarnation,
    /// Whether it is about to stop, and so may own nothing more.
    pub leaving: bool,
    /// Whether that start is proven gone, and from when on.
    pub gone: Option<Gone>,
    /// When it has surely stopped, if the list has dropped it and nothing proves that it is gone.
    pub stopped_by: Option<time::TimeMs>,
    /// Whether it has said that it hears this instance, and so knows of it.
    pub has_acknowledged_own: bool,
}

/// The instances of the own zone, this one among them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Roster {
    /// All that are, or may still be, at work, and those that are gone.
    pub members: Vec<RosterMember>,
    /// Until when this instance may use what it owns, by what is known now; never longer than the authority
    /// that others wait for.
    pub authority_until: Option<time::TimeMs>,
    /// Whether this instance has seen itself on the list, so that the list names all that came before.
    pub is_listed: bool,
    /// Whether it may take over what instances owned that are gone.
    pub may_take_over: bool,
}

impl Membership {
    /// The instances of the own zone as owners of backend servers.
    ///
    /// A member that is dead by silence alone stays an owner: what it owns passes on only by proof.
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
            stopped_by: self.stopped_by(member),
            has_acknowledged_own: !member.is_neighbour || member.supported_from.is_some(),
        });
        let mut members: Vec<RosterMember> = others.chain([own]).collect();
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        // Whoever holds this copy may be paused with it, and must not go on with it for ever.
        let copy_until = self.now + self.settings.authority_ms;
        Roster {
            members,
            authority_until: self.authority_until().map(|until| until.min(copy_until)),
            is_listed: self.is_listed,
            may_take_over: self.left_alone.is_none(),
        }
    }

    /// When a member that the list has dropped has stopped: neighbours no longer tell it that they hear it.
    ///
    /// One that leaves has handed over what it owned before its entry went.
    fn stopped_by(&self, member: &Member) -> Option<time::TimeMs> {
        let delisted_at = member.delisted_at.filter(|_| !member.leaving)?;
        Some(delisted_at + self.settings.list_lag_ms + self.acts_on_for(member))
    }

    /// Whether every instance of the own zone is heard, for status.
    #[must_use]
    pub fn is_zone_whole(&self) -> bool {
        self.neighbours()
            .all(|member| self.state_of(member) <= InstanceState::Leaving)
    }
}

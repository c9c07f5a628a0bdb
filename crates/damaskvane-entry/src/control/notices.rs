//! What instances of other zones are told at once: that this one has started, or leaves.
//!
//! ```text
//! first list -> start notice to other zones; planned stop -> leave notice
//! ```

use damaskvane_core::time;
use damaskvane_membership::heartbeat;

use crate::control::Control;
use crate::wire;

/// A notice stands alone; the next heartbeat, if there is one, says when to expect more.
const NOTICE_PERIOD: time::SpanMs = time::SpanMs::new(2_500);
/// Sequences of the only two heartbeats that other zones get.
const START_NOTICE: u64 = 0;
const LEAVE_NOTICE: u64 = 1;

impl Control {
    /// Tells every instance of this start, once the first list names them.
    ///
    /// Instances of other zones learn of a start from the platform's list alone. During an outage they
    /// would name the earlier start in look-up answers, and a client that followed one would get outcome
    /// unknown from this process.
    pub(super) fn tell_start(&mut self) {
        if self.list.has_told_start || self.membership.list_age().is_none() {
            return;
        }
        self.list.has_told_start = true;
        self.tell_other_zones(START_NOTICE, false);
    }

    /// Tells every instance that this one leaves. The list would tell those of other zones seconds later,
    /// and their look-ups would send clients here until after the stop.
    pub(super) fn tell_leave(&self) {
        self.tell_other_zones(LEAVE_NOTICE, true);
    }

    fn tell_other_zones(&self, sequence: u64, leaving: bool) {
        let message = wire::WireMessage::Heartbeat(heartbeat::Heartbeat {
            sequence,
            echo: None,
            period_ms: NOTICE_PERIOD,
            config_version: self.relay.adopter().version(),
            leaving,
            platform_age_ms: None,
            load: heartbeat::LoadSummary::default(),
        });
        let others = self
            .membership
            .instances()
            .filter(|instance| instance.record.zone != self.record.availability_zone);
        for other in others {
            self.peers.send(&other.record.instance, &message);
        }
    }
}

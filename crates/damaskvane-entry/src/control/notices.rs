//! Notices to instances of other zones that this instance has started or that it leaves, that is, stops as
//! planned.
//!
//! ```text
//! first list -> start notice to other zones; planned stop -> leave notice
//! ```

use damaskvane_core::time;
use damaskvane_membership::heartbeat;

use crate::control::Control;
use crate::wire;

/// Heartbeat period that a notice states; a notice has the form of a heartbeat. A notice is sent once; a
/// regular heartbeat, if one follows, states its own period.
const NOTICE_PERIOD: time::SpanMs = time::SpanMs::new(2_500);
/// Sequence numbers of the start notice and the leave notice, the only heartbeats that go to other zones.
const START_NOTICE: u64 = 0;
const LEAVE_NOTICE: u64 = 1;

impl Control {
    /// Sends the start notice to all instances of other zones, once, after the first list of instances.
    ///
    /// Without the notice, instances of other zones learn this incarnation (the number of this process's
    /// start) from the platform's list only. During an outage of the platform they would name the previous
    /// incarnation in lookup responses, and a client that used such a response would get outcome *unknown*
    /// from this process.
    pub(super) fn send_start_notice(&mut self) {
        if self.instance_list.start_notice_sent || self.membership.list_age().is_none() {
            return;
        }
        self.instance_list.start_notice_sent = true;
        self.send_notice_to_other_zones(START_NOTICE, false);
    }

    /// Sends the leave notice to all instances of other zones.
    ///
    /// The platform's list shows the leave only seconds later. Until then, lookup responses from instances
    /// of other zones would send clients to this instance, even after its stop.
    pub(super) fn send_leave_notice(&self) {
        self.send_notice_to_other_zones(LEAVE_NOTICE, true);
    }

    fn send_notice_to_other_zones(&self, sequence: u64, leaving: bool) {
        let message = wire::WireMessage::Heartbeat(heartbeat::Heartbeat {
            sequence,
            echo: None,
            echoed_incarnation: None,
            period_ms: NOTICE_PERIOD,
            config_version: self.relay.applier().version(),
            leaving,
            is_starting: false,
            platform_age_ms: None,
            listed_incarnation: None,
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

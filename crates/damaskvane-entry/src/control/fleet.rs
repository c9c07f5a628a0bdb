//! Drives the membership: turns its actions into heartbeats, probes, and fence records in the platform.
//!
//! The membership tracks the state of all instances. A fence record in the platform's list withdraws from
//! an incarnation (one start of an instance's process) the right to act as the owner of backend servers.
//!
//! ```text
//! platform's list + heartbeats -> instances that are live, leaving, dead or gone
//! ```

use core::time::Duration;
use std::io;
use std::net;
use std::thread;

use damaskvane_config::relay;
use damaskvane_core::{ids, time};
use damaskvane_engine::event;
use damaskvane_membership::{heartbeat, record, view};
use damaskvane_objects::api;
use damaskvane_peer::address;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slog::{error, info, warn};

use crate::control::Control;
use crate::control::input::ControlInput;
use crate::inbox;
use crate::peers;
use crate::store;
use crate::wire;

/// Target for the reads of the platform's list of instances per second, by all instances together, whatever
/// their number.
const FLEET_LIST_READS_PER_SECOND: u64 = 60;
const MIN_LIST_PERIOD_MS: u64 = 1_000;
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const SEED_REQUEST_PERIOD: time::SpanMs = time::SpanMs::new(500);
const ANNOUNCE_RETRY_DELAY: time::SpanMs = time::SpanMs::new(1_000);

/// Fields of a list entry that the address book and the directory use.
#[derive(Debug, PartialEq, Eq)]
struct ListedInstance {
    instance: ids::InstanceId,
    incarnation: ids::Incarnation,
    peer_address: net::SocketAddr,
}

/// State of this instance's reads of the platform's list of instances, of its own entry in that list, and
/// of its requests to the seeds, the peers that the settings name.
#[derive(Debug)]
pub(super) struct InstanceListState {
    rng: Pcg64Mcg,
    is_pending: bool,
    next_read_at: time::TimeMs,
    announce_retry_at: Option<time::TimeMs>,
    instance_count: usize,
    listed: Vec<ListedInstance>,
    pub(super) seeds: peers::Seeds,
    pub(super) seeds_requested_at: time::TimeMs,
    pub(super) start_notice_sent: bool,
    pub(super) admits_unlisted: bool,
}

impl InstanceListState {
    pub(super) fn new(seed: u64, seeds: peers::Seeds) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            is_pending: false,
            next_read_at: time::TimeMs::ZERO,
            announce_retry_at: None,
            instance_count: 0,
            listed: Vec::new(),
            seeds,
            seeds_requested_at: time::TimeMs::ZERO,
            start_notice_sent: false,
            admits_unlisted: false,
        }
    }

    /// Schedules the next read of the list.
    ///
    /// The period grows with the number of instances, so that the rate of calls on the platform stays the
    /// same. Jitter prevents all instances from reading the list at once after an outage of the platform.
    fn schedule_next_read(&mut self, now: time::TimeMs) {
        let by_size_ms = self.instance_count as u64 * 1_000 / FLEET_LIST_READS_PER_SECOND;
        let period_ms = by_size_ms.max(MIN_LIST_PERIOD_MS);
        let jittered_ms = self.rng.random_range(period_ms / 2..=period_ms * 3 / 2);
        self.next_read_at = now + time::SpanMs::new(jittered_ms);
    }
}

impl Control {
    pub(super) fn drive_membership(&mut self, event: view::Event) {
        let now = self.now();
        let mut changed = false;
        for action in self.membership.handle(now, event) {
            changed |= self.apply_membership_action(action);
        }
        let roster = Box::new(self.membership.roster());
        let _ = self
            .engine
            .send(inbox::Input::Event(event::Event::Roster(roster)));
        if changed {
            self.publish_membership();
            self.send_start_notice();
        }
        self.admit_unlisted();
    }

    /// Carries out an action of the membership. Returns whether the address book and the directory have to
    /// be published again.
    fn apply_membership_action(&mut self, action: view::Action) -> bool {
        match action {
            view::Action::Send { to, heartbeat, .. } => {
                self.peers
                    .send(&to, &wire::WireMessage::Heartbeat(heartbeat));
            }
            view::Action::Reconnect { to, .. } => {
                self.serving.counters.increment("peers", "reconnected");
                self.peers.reconnect(&to);
            }
            view::Action::Probe {
                instance,
                incarnation,
                address,
            } => self.probe(instance, incarnation, address),
            view::Action::Fence {
                instance,
                incarnation,
                goes_on_alone,
            } => {
                warn!(self.logger, "fencing a dead instance"; "peer" => %instance,
                    "goes_on_alone" => goes_on_alone);
                self.store.submit(store::StoreJob::Fence {
                    instance,
                    incarnation,
                    goes_on_alone,
                    own: self.record.clone(),
                });
            }
            view::Action::RemoveFenceRecord {
                instance,
                incarnation,
            } => self.store.submit(store::StoreJob::RemoveFenceRecord {
                instance,
                incarnation,
            }),
            view::Action::PassList { to, list, .. } => {
                info!(self.logger, "passing the list of instances on"; "peer" => %to);
                self.serving.counters.increment("membership", "list_passed");
                let message = self.list_message(list);
                self.peers.send(&to, &message);
            }
            view::Action::RequestList { to, .. } => {
                info!(self.logger, "asking for a list with this instance"; "peer" => %to);
                let reply_to = *self.peers.local_address();
                let request = wire::FleetMessage::GetList { reply_to };
                self.peers.send(&to, &wire::WireMessage::Fleet(request));
            }
            view::Action::AllowPeers(_) => return self.update_listed_instances(),
            view::Action::Changed { instance, state } => {
                info!(self.logger, "instance state changed"; "peer" => %instance,
                    "state" => state.map_or("forgotten", |state| state.as_str()));
                return true;
            }
            view::Action::Resumed { paused } => {
                warn!(self.logger, "this process was paused"; "paused_ms" => paused.get());
                self.serving.counters.increment("membership", "woke");
            }
            view::Action::OwnFenced => {
                error!(self.logger, "this instance was replaced or fenced; stopping"; "reason" => "fenced");
                let _ = self.stop.send(());
                return true;
            }
        }
        false
    }

    /// Stores the listed instances. Returns whether an instance, an incarnation or an address changed since
    /// the last call; most reads of the list show no change.
    fn update_listed_instances(&mut self) -> bool {
        let listed: Vec<ListedInstance> = self
            .membership
            .instances()
            .map(|instance| ListedInstance {
                instance: instance.record.instance.clone(),
                incarnation: instance.incarnation,
                peer_address: instance.record.peer_address,
            })
            .collect();
        let is_changed = listed != self.instance_list.listed;
        self.instance_list.listed = listed;
        is_changed
    }

    fn publish_membership(&mut self) {
        let mut book = peers::AddressBook::default();
        let mut members = Vec::new();
        for instance in self.membership.instances() {
            let address = address::PeerAddress::new(instance.record.peer_address);
            book.insert(instance.record.instance.clone(), address);
            if instance.state.takes_new_work() {
                members.push(relay::Member {
                    instance: instance.record.instance.clone(),
                    availability_zone: instance.record.zone.clone(),
                });
            }
        }
        self.peers.set_book(book);
        self.drive_relay(relay::Event::Membership(relay::View { members }));
        self.publish();
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        heartbeat: heartbeat::Heartbeat,
    ) {
        let version_received = relay::Event::VersionReported {
            from: from.clone(),
            version: heartbeat.config_version,
            state_hash: None,
        };
        self.drive_membership(view::Event::Heartbeat {
            from,
            incarnation,
            heartbeat,
        });
        self.drive_relay(version_received);
    }

    /// Updates the configuration version that heartbeats of this instance report.
    pub(super) fn update_heartbeat_report(&mut self) {
        let config_version = self.relay.applier().version();
        self.drive_membership(view::Event::Report {
            config_version,
            load: heartbeat::LoadSummary::default(),
        });
    }

    /// Probes an instance by opening a TCP connection to it, on a separate thread.
    ///
    /// A refused connection proves that the process has ended; a timeout proves nothing.
    fn probe(
        &self,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        address: net::SocketAddr,
    ) {
        let inbox = self.own_inbox.clone();
        let _ = thread::Builder::new()
            .name("probe".to_owned())
            .spawn(move || {
                let outcome = match net::TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
                    Ok(_) => view::ProbeOutcome::Answered,
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                        view::ProbeOutcome::Refused
                    }
                    Err(_) => view::ProbeOutcome::Silent,
                };
                let _ = inbox.send(ControlInput::Probed {
                    instance,
                    incarnation,
                    outcome,
                });
            });
    }

    pub(super) fn read_list_if_due(&mut self) {
        let now = self.now();
        if self
            .instance_list
            .announce_retry_at
            .is_some_and(|at| at <= now)
        {
            self.announce();
        }
        if now.since(self.instance_list.seeds_requested_at) >= SEED_REQUEST_PERIOD {
            self.request_list_from_seeds();
        }
        if self.instance_list.is_pending || self.instance_list.next_read_at > now {
            return;
        }
        self.instance_list.is_pending = true;
        self.store
            .submit(store::StoreJob::ListInstances { requested_at: now });
    }

    pub(super) fn apply_list(
        &mut self,
        records: Vec<api::InstanceRecord>,
        requested_at: time::TimeMs,
    ) {
        let now = self.now();
        self.instance_list.is_pending = false;
        self.instance_list.instance_count = records.len();
        self.instance_list.schedule_next_read(now);
        let records = records.into_iter().map(to_membership_record).collect();
        self.drive_membership(view::Event::List {
            records,
            age: now.since(requested_at),
            source: view::ListSource::Platform,
        });
    }

    pub(super) fn handle_list_failure(&mut self) {
        let now = self.now();
        self.instance_list.is_pending = false;
        self.instance_list.schedule_next_read(now);
    }

    pub(super) fn announce(&mut self) {
        self.instance_list.announce_retry_at = None;
        let record = self.record.clone();
        self.store.submit(store::StoreJob::Announce(record));
    }

    pub(super) fn handle_announced(&mut self) {
        info!(self.logger, "instance record written to the platform"; "leaving" => self.record.leaving);
        self.instance_list.next_read_at = self.now();
    }

    pub(super) fn handle_announce_failure(&mut self) {
        self.instance_list.announce_retry_at = Some(self.now() + ANNOUNCE_RETRY_DELAY);
    }

    pub(super) fn handle_fence_outcome(
        &mut self,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        outcome: store::FenceOutcome,
    ) {
        match outcome {
            store::FenceOutcome::Applied => self.drive_membership(view::Event::Fenced {
                instance,
                incarnation,
            }),
            store::FenceOutcome::NotApplied => {
                self.drive_membership(view::Event::FenceFailed { instance });
            }
            store::FenceOutcome::Unknown => {}
        }
    }
}

pub(super) fn to_membership_record(record: api::InstanceRecord) -> record::InstanceRecord {
    record::InstanceRecord {
        instance: record.instance,
        zone: record.availability_zone,
        region: record.region,
        incarnation: record.incarnation,
        client_address: record.client_address,
        peer_address: record.peer_address,
        operator_address: record.operator_address,
        leaving: record.leaving,
        fenced: record.fenced,
        goes_on_alone: record.goes_on_alone,
    }
}

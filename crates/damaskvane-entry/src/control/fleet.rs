//! Drives the membership: its actions become heartbeats, probes, and marks in the platform.
//!
//! ```text
//! platform's list + heartbeats -> who lives, who leaves, who is proven gone
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

/// Reads of the list that the whole fleet makes in a second, whatever its size.
const FLEET_LIST_READS_PER_SECOND: u64 = 60;
const SHORTEST_LIST_PERIOD_MS: u64 = 1_000;
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const SEED_PERIOD: time::SpanMs = time::SpanMs::new(500);
const ANNOUNCE_PAUSE: time::SpanMs = time::SpanMs::new(1_000);

/// What the address book and the directory take from the list.
#[derive(Debug, PartialEq, Eq)]
struct Listed {
    instance: ids::InstanceId,
    incarnation: ids::Incarnation,
    peer_address: net::SocketAddr,
}

/// When the list is read next.
#[derive(Debug)]
pub(super) struct ListReads {
    rng: Pcg64Mcg,
    is_out: bool,
    next_at: time::TimeMs,
    announce_at: Option<time::TimeMs>,
    known: usize,
    listed: Vec<Listed>,
    pub(super) seeds: peers::Seeds,
    pub(super) seeds_asked_at: time::TimeMs,
    pub(super) has_told_start: bool,
}

impl ListReads {
    pub(super) fn new(seed: u64, seeds: peers::Seeds) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            is_out: false,
            next_at: time::TimeMs::ZERO,
            announce_at: None,
            known: 0,
            listed: Vec::new(),
            seeds,
            seeds_asked_at: time::TimeMs::ZERO,
            has_told_start: false,
        }
    }

    /// The period grows with the fleet, so that the calls on the platform do not; the jitter keeps
    /// instances that saw the same outage end from asking all at once.
    fn plan_next(&mut self, now: time::TimeMs) {
        let by_size_ms = self.known as u64 * 1_000 / FLEET_LIST_READS_PER_SECOND;
        let period_ms = by_size_ms.max(SHORTEST_LIST_PERIOD_MS);
        let jittered_ms = self.rng.random_range(period_ms / 2..=period_ms * 3 / 2);
        self.next_at = now + time::SpanMs::new(jittered_ms);
    }
}

impl Control {
    pub(super) fn tell_membership(&mut self, event: view::Event) {
        let now = self.now();
        let mut changed = false;
        for action in self.membership.handle(now, event) {
            changed |= self.membership_action(action);
        }
        let roster = Box::new(self.membership.roster());
        let _ = self
            .engine
            .send(inbox::Input::Event(event::Event::Roster(roster)));
        if changed {
            self.fleet_changed();
            self.tell_start();
        }
    }

    /// Carries an action out; true if it changes who takes work.
    fn membership_action(&mut self, action: view::Action) -> bool {
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
                });
            }
            view::Action::RemoveFenceRecord {
                instance,
                incarnation,
            } => self.store.submit(store::StoreJob::Unmark {
                instance,
                incarnation,
            }),
            view::Action::AllowPeers(_) => return self.listing_changed(),
            view::Action::Changed { instance, state } => {
                info!(self.logger, "an instance changed"; "peer" => %instance,
                    "state" => state.map_or("forgotten", |state| state.as_str()));
                return true;
            }
            view::Action::Resumed { paused } => {
                warn!(self.logger, "this process was paused"; "paused_ms" => paused.get());
                self.serving.counters.increment("membership", "woke");
            }
            view::Action::OwnFenced => {
                error!(self.logger, "this instance was replaced or fenced; it stops"; "reason" => "fenced");
                let _ = self.stop.send(());
                return true;
            }
        }
        false
    }

    /// Whether the list names another start or address than before; most reads of it change nothing.
    fn listing_changed(&mut self) -> bool {
        let listed: Vec<Listed> = self
            .membership
            .instances()
            .map(|instance| Listed {
                instance: instance.record.instance.clone(),
                incarnation: instance.incarnation,
                peer_address: instance.record.peer_address,
            })
            .collect();
        let is_changed = listed != self.list.listed;
        self.list.listed = listed;
        is_changed
    }

    fn fleet_changed(&mut self) {
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
        self.tell_relay(relay::Event::Membership(relay::View { members }));
        self.publish();
    }

    pub(super) fn heartbeat(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        heartbeat: heartbeat::Heartbeat,
    ) {
        let heard = relay::Event::Heard {
            from: from.clone(),
            version: heartbeat.config_version,
            state_hash: None,
        };
        self.tell_membership(view::Event::Heartbeat {
            from,
            incarnation,
            heartbeat,
        });
        self.tell_relay(heard);
    }

    /// What heartbeats say of this instance from now on.
    pub(super) fn report(&mut self) {
        let config_version = self.relay.adopter().version();
        self.tell_membership(view::Event::Report {
            config_version,
            load: heartbeat::LoadSummary::default(),
        });
    }

    /// A refused connection proves that the process is gone; silence proves nothing.
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
        if self.list.announce_at.is_some_and(|at| at <= now) {
            self.announce();
        }
        if now.since(self.list.seeds_asked_at) >= SEED_PERIOD {
            self.ask_seeds();
        }
        if self.list.is_out || self.list.next_at > now {
            return;
        }
        self.list.is_out = true;
        self.store
            .submit(store::StoreJob::ListInstances { asked_at: now });
    }

    pub(super) fn take_list(&mut self, records: Vec<api::InstanceRecord>, asked_at: time::TimeMs) {
        let now = self.now();
        self.list.is_out = false;
        self.list.known = records.len();
        self.list.plan_next(now);
        let records = records.into_iter().map(listed).collect();
        self.tell_membership(view::Event::List {
            records,
            age: now.since(asked_at),
            source: view::ListSource::Platform,
        });
    }

    pub(super) fn list_failed(&mut self) {
        let now = self.now();
        self.list.is_out = false;
        self.list.plan_next(now);
    }

    pub(super) fn announce(&mut self) {
        self.list.announce_at = None;
        let record = self.record.clone();
        self.store.submit(store::StoreJob::Announce(record));
    }

    pub(super) fn announced(&mut self) {
        info!(self.logger, "announced to the platform"; "leaving" => self.record.leaving);
        self.list.next_at = self.now();
    }

    pub(super) fn announce_failed(&mut self) {
        self.list.announce_at = Some(self.now() + ANNOUNCE_PAUSE);
    }

    pub(super) fn fenced(
        &mut self,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        outcome: store::FenceOutcome,
    ) {
        match outcome {
            store::FenceOutcome::Taken => self.tell_membership(view::Event::Fenced {
                instance,
                incarnation,
            }),
            store::FenceOutcome::NotTaken => {
                self.tell_membership(view::Event::FenceFailed { instance });
            }
            store::FenceOutcome::Unknown => {}
        }
    }
}

pub(super) fn listed(record: api::InstanceRecord) -> record::InstanceRecord {
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

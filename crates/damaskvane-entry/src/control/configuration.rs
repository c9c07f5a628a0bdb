//! Drives the relay of the configuration: turns its actions into calls on the platform and messages to
//! peers.
//!
//! The relay fetches new configuration versions and announces them to peers. The head of a version lists
//! all declared objects; a chunk holds the state of one object.
//!
//! ```text
//! store or peer -> head -> missing chunks -> complete, checked, validated -> active -> announced to peers
//! ```

use std::sync::Arc;

use damaskvane_config::relay;
use damaskvane_core::{hash, ids, time};
use damaskvane_membership::view;
use damaskvane_objects::api;
use slog::{info, warn};

use crate::control::Control;
use crate::store;
use crate::wire;

const WATCH_TIMEOUT: time::SpanMs = time::SpanMs::new(20_000);
const WATCH_RETRY_DELAY: time::SpanMs = time::SpanMs::new(500);

/// State of the long poll by which the platform reports a change of the configuration's head.
#[derive(Debug, Default)]
pub(super) struct Watch {
    is_requested: bool,
    is_pending: bool,
    not_before: time::TimeMs,
    revision: api::Revision,
}

impl Control {
    pub(super) fn drive_relay(&mut self, event: relay::Event) {
        let now = self.now();
        let before = self.relay.applier().counts();
        let actions = self.relay.handle(now, event);
        let counts = self.relay.applier().counts();
        for (label, increase) in counts.increases_since(before) {
            warn!(self.logger, "configuration rejected"; "reason" => label);
            self.serving.counters.add("config", label, increase);
        }
        for action in actions {
            self.apply_relay_action(action);
        }
    }

    fn apply_relay_action(&mut self, action: relay::Action) {
        match action {
            relay::Action::Announce {
                to,
                version,
                state_hash,
            } => {
                let message = wire::ConfigurationMessage::ActiveVersion {
                    version,
                    state_hash,
                };
                self.send_configuration(&to, message);
            }
            relay::Action::FetchHead { from } => match from {
                relay::Source::Store => self.store.submit(store::StoreJob::ReadHead),
                relay::Source::Peer(peer) => {
                    self.send_configuration(&peer, wire::ConfigurationMessage::GetHead);
                }
            },
            relay::Action::FetchChunks { from, hashes } => match from {
                relay::Source::Store => self.store.submit(store::StoreJob::ReadChunks(hashes)),
                relay::Source::Peer(peer) => {
                    let request = wire::ConfigurationMessage::GetChunks { hashes };
                    self.send_configuration(&peer, request);
                }
            },
            relay::Action::WatchStore => {
                self.watch.is_requested = true;
                self.start_watch_if_due();
            }
            relay::Action::StopWatching => self.watch.is_requested = false,
            relay::Action::Activated { version } => {
                info!(self.logger, "configuration in force"; "config_version" => version.get());
                self.serving.counters.increment("config", "adopted");
                self.update_heartbeat_report();
                self.publish();
            }
        }
    }

    pub(super) fn start_watch_if_due(&mut self) {
        if !self.watch.is_requested || self.watch.is_pending || self.watch.not_before > self.now() {
            return;
        }
        self.watch.is_pending = true;
        self.store.submit(store::StoreJob::WatchHead {
            after: self.watch.revision,
            wait: WATCH_TIMEOUT,
        });
    }

    pub(super) fn handle_store(&mut self, report: store::StoreReport) {
        match report {
            store::StoreReport::Watched { revision } => {
                self.watch.is_pending = false;
                let is_changed = revision != self.watch.revision;
                self.watch.revision = revision;
                if is_changed {
                    self.drive_relay(relay::Event::WatchFired);
                }
                self.start_watch_if_due();
            }
            store::StoreReport::Head { bytes } => self.drive_relay(relay::Event::Head {
                from: relay::Source::Store,
                bytes,
            }),
            store::StoreReport::Chunks { chunks } => self.drive_relay(relay::Event::Chunks {
                from: relay::Source::Store,
                chunks,
            }),
            store::StoreReport::Instances {
                records,
                requested_at,
            } => self.apply_list(records, requested_at),
            store::StoreReport::Announced => self.handle_announced(),
            store::StoreReport::Superseded => self.drive_membership(view::Event::Superseded),
            store::StoreReport::Fenced {
                instance,
                incarnation,
                outcome,
            } => self.handle_fence_outcome(instance, incarnation, outcome),
            store::StoreReport::FenceRecordRemoved { instance } => {
                info!(self.logger, "the list entry of a fenced instance is deleted"; "peer" => %instance);
            }
            store::StoreReport::Unavailable { call } => self.handle_failed_call(call),
        }
    }

    fn handle_failed_call(&mut self, call: store::Call) {
        warn!(self.logger, "call on the platform failed"; "reason" => call.as_str());
        match call {
            store::Call::Watch => {
                self.watch.is_pending = false;
                self.watch.not_before = self.now() + WATCH_RETRY_DELAY;
            }
            store::Call::Head | store::Call::Chunk => {
                self.drive_relay(relay::Event::FetchFailed {
                    from: relay::Source::Store,
                });
            }
            store::Call::Instances => self.handle_list_failure(),
            store::Call::Announce => self.handle_announce_failure(),
            // No retry is needed here: the membership requests the deletion again as long as the platform
            // lists the fence record.
            store::Call::RemoveFenceRecord => {}
        }
    }

    pub(super) fn handle_configuration(
        &mut self,
        from: ids::InstanceId,
        message: wire::ConfigurationMessage,
    ) {
        let source = relay::Source::Peer(from.clone());
        match message {
            wire::ConfigurationMessage::ActiveVersion {
                version,
                state_hash,
            } => self.drive_relay(relay::Event::VersionReported {
                from,
                version,
                state_hash: Some(state_hash),
            }),
            wire::ConfigurationMessage::GetHead => self.send_head(&from),
            wire::ConfigurationMessage::Head { bytes } => self.drive_relay(relay::Event::Head {
                from: source,
                bytes: bytes.into(),
            }),
            wire::ConfigurationMessage::GetChunks { hashes } => self.send_chunks(&from, &hashes),
            wire::ConfigurationMessage::Chunks { chunks } => {
                let chunks = chunks
                    .into_iter()
                    .map(|chunk| Arc::from(chunk.into_vec()))
                    .collect();
                self.drive_relay(relay::Event::Chunks {
                    from: source,
                    chunks,
                });
            }
        }
    }

    fn send_head(&self, to: &ids::InstanceId) {
        if let Some(active) = self.relay.applier().active_config() {
            let bytes = active.head_bytes().to_vec();
            self.send_configuration(to, wire::ConfigurationMessage::Head { bytes });
        }
    }

    fn send_chunks(&self, to: &ids::InstanceId, hashes: &[hash::ContentHash]) {
        let Some(active) = self.relay.applier().active_config() else {
            return;
        };
        let mut chunks = Vec::new();
        let mut bytes = 0;
        for chunk in hashes.iter().filter_map(|hash| active.chunk(hash)) {
            bytes += chunk.len();
            if bytes > wire::MAX_CHUNK_BYTES && !chunks.is_empty() {
                break;
            }
            chunks.push(serde_bytes::ByteBuf::from(chunk.to_vec()));
        }
        self.send_configuration(to, wire::ConfigurationMessage::Chunks { chunks });
    }

    fn send_configuration(&self, to: &ids::InstanceId, message: wire::ConfigurationMessage) {
        self.peers
            .send(to, &wire::WireMessage::Configuration(message));
    }
}

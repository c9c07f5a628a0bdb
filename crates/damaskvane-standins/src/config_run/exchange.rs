//! Messages between instances, and the instances' reads of the store.

use std::sync::Arc;

use damaskvane_config::relay::{Action, Event, Source};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;
use rand::RngExt;

use crate::config_run::world::{Delivery, World};

impl World {
    pub(super) fn perform(&mut self, id: &ids::InstanceId, action: Action) {
        match action {
            Action::Announce {
                to,
                version,
                state_hash,
            } => self.send_version(id, &to, version, state_hash),
            Action::FetchHead {
                from: Source::Peer(peer),
            } => self.send(id, &peer.clone(), Delivery::RequestHead(peer, id.clone())),
            Action::FetchChunks {
                from: Source::Peer(peer),
                hashes,
            } => self.send(
                id,
                &peer.clone(),
                Delivery::RequestChunks(peer, id.clone(), hashes),
            ),
            Action::FetchHead { .. } => self.request_from_store(id, None),
            Action::FetchChunks { hashes, .. } => self.request_from_store(id, Some(hashes)),
            Action::WatchStore | Action::StopWatching | Action::Activated { .. } => {}
        }
    }

    pub(super) fn send_version(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        version: ids::ConfigVersion,
        state_hash: ContentHash,
    ) {
        let event = Event::VersionReported {
            from: from.clone(),
            version,
            state_hash: Some(state_hash),
        };
        self.send_event(from, to, event);
    }

    pub(super) fn send_event(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        event: Event,
    ) {
        if let Some(incarnation) = self.incarnation(to) {
            self.send(from, to, Delivery::Instance(to.clone(), incarnation, event));
        }
    }

    pub(super) fn send(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        delivery: Delivery,
    ) {
        self.report.messages += 1;
        let lost = self.chance(self.settings.message_loss_permille);
        if lost || !self.fleet.is_connected(from, to, self.now) {
            return;
        }
        let same_zone = self.fleet.zone_of(from) == self.fleet.zone_of(to);
        let delay_ms = if same_zone {
            self.rng.random_range(1..=3)
        } else {
            self.remote_delay_ms()
        };
        self.schedule(delay_ms, delivery);
    }

    pub(super) fn send_heartbeats(&mut self, id: &ids::InstanceId) {
        let Some(instance) = self.fleet.instances.get(id) else {
            return;
        };
        if self.now < instance.paused_until {
            return;
        }
        let Some(active_config) = instance.relay.applier().active_config().cloned() else {
            return;
        };
        let all: Vec<_> = self.fleet.instances.keys().cloned().collect();
        let random_peer = self.rng.random_range(0..all.len());
        let zone = self.fleet.zone_of(id).cloned();
        for (index, to) in all.iter().enumerate() {
            let same_zone = self.fleet.zone_of(to) == zone.as_ref();
            if to != id && (same_zone || index == random_peer) {
                self.send_version(id, to, active_config.version(), active_config.state_hash());
            }
        }
    }

    pub(super) fn respond_head(&mut self, from: &ids::InstanceId, to: &ids::InstanceId) {
        let Some(instance) = self.fleet.instances.get(from) else {
            return;
        };
        let from_peer = Source::Peer(from.clone());
        let event = match instance.relay.applier().active_config() {
            Some(active_config) if self.now >= instance.paused_until => Event::Head {
                from: from_peer,
                bytes: active_config.head_bytes(),
            },
            Some(_) => return,
            None => Event::FetchFailed { from: from_peer },
        };
        self.send_event(from, to, event);
    }

    pub(super) fn respond_chunks(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        hashes: &[ContentHash],
    ) {
        let Some(instance) = self.fleet.instances.get(from) else {
            return;
        };
        let Some(active_config) = instance.relay.applier().active_config().cloned() else {
            return;
        };
        let chunks = hashes.iter().filter_map(|hash| active_config.chunk(hash));
        let chunks: Vec<_> = chunks.collect();
        let chunks = chunks.into_iter().map(|chunk| self.corrupted(chunk));
        let event = Event::Chunks {
            from: Source::Peer(from.clone()),
            chunks: chunks.collect(),
        };
        self.send_event(from, to, event);
    }

    pub(super) fn corrupted(&mut self, chunk: Arc<[u8]>) -> Arc<[u8]> {
        if !self.chance(self.settings.corrupt_chunk_permille) || chunk.is_empty() {
            return chunk;
        }
        let mut bytes = chunk.to_vec();
        let index = self.rng.random_range(0..bytes.len());
        bytes[index] ^= 1;
        bytes.into()
    }

    pub(super) fn request_from_store(
        &mut self,
        id: &ids::InstanceId,
        hashes: Option<Vec<ContentHash>>,
    ) {
        self.report.instance_store_calls += hashes.as_ref().map_or(1, Vec::len) as u64;
        let is_partitioned = self
            .fleet
            .zone_of(id)
            .is_none_or(|zone| self.fleet.is_partitioned(zone, self.now));
        if is_partitioned || self.chance(self.settings.lost_request_permille) {
            return;
        }
        let delay_ms = self.remote_delay_ms();
        self.schedule(delay_ms, Delivery::ReadStore(id.clone(), hashes));
    }

    pub(super) fn respond_from_store(
        &mut self,
        id: &ids::InstanceId,
        hashes: Option<Vec<ContentHash>>,
    ) {
        let from = Source::Store;
        let event = if self.is_store_down() {
            Event::FetchFailed { from }
        } else if let Some(hashes) = hashes {
            let read = |hash: &ContentHash| self.store.read("chunk", &hash.to_string(), false);
            let chunks: Vec<_> = hashes.iter().filter_map(|hash| read(hash)?.value).collect();
            let chunks = chunks.into_iter().map(|chunk| self.corrupted(chunk));
            Event::Chunks {
                from,
                chunks: chunks.collect(),
            }
        } else {
            let stale = self.chance(self.settings.stale_read_permille);
            match self.store.read("head", "config", stale) {
                Some(object) => Event::Head {
                    from,
                    bytes: object.value.unwrap_or_default(),
                },
                None => Event::FetchFailed { from },
            }
        };
        self.deliver_event(id, event);
    }

    pub(super) fn deliver_event(&mut self, id: &ids::InstanceId, event: Event) {
        if let Some(incarnation) = self.incarnation(id) {
            let delay_ms = self.remote_delay_ms();
            self.schedule(delay_ms, Delivery::Instance(id.clone(), incarnation, event));
        }
    }
}

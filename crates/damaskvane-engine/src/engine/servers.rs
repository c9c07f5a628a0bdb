//! The backend servers that this instance may use, with leased slots, a share of connections, and health.
//!
//! A slot is the right to run one request on a backend server. The owner of a server, one instance of the zone,
//! leases the slots to instances for a bounded time.
//!
//! ```text
//! candidate = declared, not draining, admitted by its health; usable with a free connection and slot
//! ```

mod drain_status;
mod end_effect;
mod status;

use core::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_core::{ids, time, units};
use damaskvane_dispatch::{drain, home};
use damaskvane_membership::view;
use damaskvane_slots::{connections, exchange, message, permit, settings};
use damaskvane_steering::health;
pub use drain_status::DrainStatus;

use crate::directory;
use crate::event::ExchangeEnd;

/// The number of instances of a zone among which the connections of a backend server are divided, however
/// many of them are live.
const MAX_INSTANCES_PER_ZONE: u32 = 32;

/// The permit to send one request to a backend server, backed by a leased slot.
pub(super) type SlotPermit = permit::Permit<permit::Sending>;

/// The backend servers of the local availability zone, with their slots, connections and health.
#[derive(Debug)]
pub(super) struct Servers {
    slots: exchange::SlotExchange,
    pools: BTreeMap<ids::ServiceId, health::Pool>,
    lifecycles: BTreeMap<ids::BackendServerId, drain::Lifecycle>,
    connections: BTreeMap<ids::BackendServerId, connections::ConnectionBudget>,
    warm_up: drain::WarmUpSettings,
    use_counter: u64,
    last_uses: BTreeMap<ids::BackendServerId, u64>,
    directory: Arc<directory::Directory>,
    actions: Vec<exchange::Action>,
}

impl Servers {
    pub(super) fn new(own_home: &home::Home) -> Self {
        Self {
            slots: exchange::SlotExchange::new(
                own_home.instance.clone(),
                own_home.incarnation,
                settings::SlotSettings::default(),
            ),
            pools: BTreeMap::new(),
            lifecycles: BTreeMap::new(),
            connections: BTreeMap::new(),
            warm_up: drain::WarmUpSettings::default(),
            use_counter: 0,
            last_uses: BTreeMap::new(),
            directory: Arc::default(),
            actions: Vec::new(),
        }
    }

    /// Takes the actions that the slot exchange, the state machine of the leases, returned since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<exchange::Action> {
        core::mem::take(&mut self.actions)
    }

    fn handle_slot_event(&mut self, now: time::TimeMs, event: exchange::Event) {
        let actions = self.slots.handle(now, event);
        self.actions.extend(actions);
    }

    pub(super) fn apply_directory(
        &mut self,
        now: time::TimeMs,
        directory: &Arc<directory::Directory>,
    ) {
        let is_first = self.directory.version == ids::ConfigVersion::default();
        self.directory = Arc::clone(directory);
        let limits = directory
            .backend_servers
            .iter()
            .map(|(server, entry)| exchange::ServerSlots {
                server: server.clone(),
                slots: entry.slots,
            })
            .collect();
        self.handle_slot_event(now, exchange::Event::Servers(limits));
        for (id, entry) in &directory.backend_servers {
            let pool = self
                .pools
                .entry(entry.service.clone())
                .or_insert_with(|| health::Pool::new(health::Settings::default()));
            if is_first {
                pool.join_warm(id.clone(), now);
            } else {
                pool.join(id.clone(), now);
            }
            let lifecycle = self
                .lifecycles
                .entry(id.clone())
                .or_insert_with(|| drain::Lifecycle::active(now));
            if entry.draining {
                lifecycle.drain(now);
            } else {
                lifecycle.resume(now);
            }
            self.connections.entry(id.clone()).or_insert_with(|| {
                connections::ConnectionBudget::new(entry.connections, MAX_INSTANCES_PER_ZONE)
            });
        }
    }

    pub(super) fn apply_roster(&mut self, now: time::TimeMs, roster: view::Roster) {
        self.handle_slot_event(now, exchange::Event::Roster(roster));
    }

    pub(super) fn handle_message(
        &mut self,
        now: time::TimeMs,
        from: &home::Home,
        message: message::AddressedMessage,
    ) {
        self.handle_slot_event(
            now,
            exchange::Event::Message {
                from: from.instance.clone(),
                incarnation: from.incarnation,
                message,
            },
        );
    }

    pub(super) fn record_health_report(
        &mut self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
        healthy: bool,
    ) {
        let service = self
            .directory
            .backend_servers
            .get(server)
            .map(|entry| &entry.service);
        if let Some(pool) = service.and_then(|service| self.pools.get_mut(service)) {
            pool.record_report(server, healthy, now);
        }
    }

    pub(super) fn tick(&mut self, now: time::TimeMs) {
        self.handle_slot_event(now, exchange::Event::Tick);
        for (server, lifecycle) in &mut self.lifecycles {
            let running = self
                .connections
                .get(server)
                .map_or(0, connections::ConnectionBudget::in_use);
            lifecycle.advance(now, running as usize, &self.warm_up);
        }
    }

    /// Returns whether this instance, in a planned stop, has handed over the slots that it owned.
    pub(super) fn is_drained(&self, now: time::TimeMs) -> bool {
        self.slots.is_drained(now)
    }

    fn candidates<'a>(
        &'a self,
        now: time::TimeMs,
        service: &'a ids::ServiceId,
        tried: &'a [ids::BackendServerId],
    ) -> impl Iterator<Item = (&'a ids::BackendServerId, &'a directory::BackendServer)> {
        self.directory
            .backend_servers
            .iter()
            .filter(move |(_, server)| server.service == *service && !server.draining)
            .filter(|(id, _)| !tried.contains(id))
            .filter(move |(id, _)| self.admits(now, service, id))
    }

    fn admits(
        &self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        server: &ids::BackendServerId,
    ) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| pool.admission(server, now).takes_work())
    }

    /// Returns the number of backend servers outside `tried` that may get a request of a service, whether or
    /// not they have a free slot now.
    pub(super) fn candidate_count(
        &self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        tried: &[ids::BackendServerId],
    ) -> usize {
        self.candidates(now, service, tried).count()
    }

    /// Returns the total number of slots of the backend servers that may get requests of a service.
    pub(super) fn capacity(&self, now: time::TimeMs, service: &ids::ServiceId) -> units::Slots {
        self.candidates(now, service, &[])
            .map(|(_, server)| server.slots)
            .sum()
    }

    /// Returns whether a backend server that may get a request of a service has a free slot now.
    pub(super) fn has_free_slot(&self, now: time::TimeMs, service: &ids::ServiceId) -> bool {
        self.candidates(now, service, &[])
            .filter(|(id, server)| self.has_capacity(now, id, server))
            .any(|(id, _)| self.slots.free(now, id) > units::Slots::ZERO)
    }

    /// Acquires a slot of the backend server outside `tried` that has the most free slots.
    pub(super) fn acquire_slot(
        &mut self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        tried: &[ids::BackendServerId],
        requested_time: time::SpanMs,
    ) -> Option<SlotPermit> {
        let server = self
            .candidates(now, service, tried)
            .filter(|(id, server)| self.has_capacity(now, id, server))
            .map(|(id, _)| (self.slots.free(now, id), id))
            .filter(|(free, _)| *free > units::Slots::ZERO)
            .max_by_key(|(free, id)| (*free, Reverse(self.last_use(id))))
            .map(|(_, id)| id.clone())?;
        let min_time = self.min_run_time(service).min(requested_time);
        let ready = self
            .slots
            .begin(now, &server, requested_time, min_time)
            .ok()?;
        match ready.send(now) {
            Ok(slot_permit) => {
                self.record_started(service, &server);
                Some(slot_permit)
            }
            Err(permit::LeaseExpired(returned)) => {
                self.slots.count_expired();
                let actions = self.slots.finish(now, &returned, exchange::Finish::Ended);
                self.actions.extend(actions);
                None
            }
        }
    }

    /// Returns whether a backend server has capacity for another request. On a cold (recently added or
    /// recovered) or unhealthy server, only a part of the slots may be used; connections have a limit of their
    /// own.
    fn has_capacity(
        &self,
        now: time::TimeMs,
        id: &ids::BackendServerId,
        server: &directory::BackendServer,
    ) -> bool {
        let in_use = self
            .connections
            .get(id)
            .map_or(0, connections::ConnectionBudget::in_use);
        let share = self
            .connections
            .get(id)
            .map_or(0, connections::ConnectionBudget::share);
        let admitted = self
            .pools
            .get(&server.service)
            .map_or(0, |pool| pool.admission(id, now).slots(server.slots.get()));
        in_use < share.min(admitted)
    }

    fn min_run_time(&self, service: &ids::ServiceId) -> time::SpanMs {
        self.directory
            .services
            .get(service)
            .map_or(time::SpanMs::ZERO, |service| service.typical_duration)
    }

    /// Returns the rank of the last use of a backend server. Among servers with equally many free slots the
    /// least recently used one is next, so that all caches stay warm and a fault of any server is detected.
    fn last_use(&self, server: &ids::BackendServerId) -> u64 {
        self.last_uses.get(server).copied().unwrap_or(0)
    }

    fn record_started(&mut self, service: &ids::ServiceId, server: &ids::BackendServerId) {
        self.use_counter += 1;
        self.last_uses.insert(server.clone(), self.use_counter);
        if let Some(budget) = self.connections.get_mut(server) {
            let _ = budget.open();
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_start(server);
        }
    }

    /// Records the end of an exchange: its slot becomes free at once, or counts as in use until the backend
    /// server must have stopped the request.
    ///
    /// After a lost connection or a timeout the request may still run until the deadline that was sent with
    /// it. If the slot were used again earlier, the backend server would run more requests than it has slots.
    pub(super) fn record_end(
        &mut self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        slot_permit: SlotPermit,
        took: time::SpanMs,
        end: &ExchangeEnd,
    ) {
        let server = slot_permit.server().clone();
        let (finish, outcome) = end_effect::classify_end(end, took);
        if let Some(budget) = self.connections.get_mut(&server) {
            budget.close();
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_end(&server, outcome, now);
        }
        let actions = self.slots.finish(now, &slot_permit.into_released(), finish);
        self.actions.extend(actions);
    }

    /// Requests slots for waiting requests on the backend servers that this instance owns; no message is
    /// needed.
    pub(super) fn demand_own(
        &mut self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        waiting: usize,
    ) {
        let own = self.assigned(now, service, true);
        self.demand(now, &own, waiting);
    }

    /// Requests slots for waiting requests from the other owners, in equal parts for each backend server.
    pub(super) fn demand_others(
        &mut self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        waiting: usize,
    ) {
        let others = self.assigned(now, service, false);
        let each = waiting.div_ceil(others.len().max(1));
        self.demand(now, &others, each);
    }

    fn assigned(
        &self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        assigned_here: bool,
    ) -> Vec<ids::BackendServerId> {
        self.candidates(now, service, &[])
            .filter(|(id, server)| self.has_capacity(now, id, server))
            .map(|(id, _)| id)
            .filter(|id| self.slots.is_assigned(id) == assigned_here)
            .cloned()
            .collect()
    }

    fn demand(&mut self, now: time::TimeMs, servers: &[ids::BackendServerId], waiting: usize) {
        let waiting = units::Slots::new(u32::try_from(waiting).unwrap_or(u32::MAX));
        for server in servers {
            let server = server.clone();
            self.handle_slot_event(now, exchange::Event::Demand { server, waiting });
        }
    }

    pub(super) fn address(&self, server: &ids::BackendServerId) -> Option<std::net::SocketAddr> {
        let entry = self.directory.backend_servers.get(server)?;
        Some(entry.address)
    }
}

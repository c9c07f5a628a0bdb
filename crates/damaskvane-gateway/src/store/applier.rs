//! Applies the objects of one store collection, and their changes, to the state of this instance.
//!
//! A collection is the set of the store's objects of one kind.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::Configuration;
use damaskvane_routing::peers::ListedInstance;
use damaskvane_routing::pool::{Change, ServerEntry};
use damaskvane_routing::quota::HolderTable;

use crate::adapter::{Collection, Event, Record};
use crate::crashes;
use crate::node::Node;
use crate::store::shortened;

/// Maximum number of servers that join together and get a log line each. If more servers join together, they share one
/// line.
const MAX_JOINED_LINES: usize = 8;

/// Maximum number of unusable objects that are remembered, so that each is logged once for each reason.
const MAX_LOGGED_UNUSABLE: usize = 1_000;

/// Applies the objects of one collection to the instance's state.
pub(super) struct Applier {
    node: Rc<Node>,
    collection: Collection,
    evacuated: BTreeSet<ids::AvailabilityZoneId>,
    /// Instance ids by the name of their record. An event that removes a record holds only the name.
    instances: BTreeMap<String, ids::InstanceId>,
    /// Names of the objects that were logged as unusable, each with the reasons.
    logged_unusable: RefCell<BTreeSet<(String, String)>>,
}

impl Applier {
    /// Creates an applier for one collection.
    pub(super) const fn new(node: Rc<Node>, collection: Collection) -> Self {
        Self {
            node,
            collection,
            evacuated: BTreeSet::new(),
            instances: BTreeMap::new(),
            logged_unusable: RefCell::new(BTreeSet::new()),
        }
    }

    /// Replaces the known objects of the collection by `items`, which are the whole collection.
    pub(super) fn replace(&mut self, items: Vec<Event>) {
        let now = self.node.now();
        match self.collection {
            Collection::Servers => {
                let entries = items.into_iter().filter_map(|item| self.server_entry(item));
                let entries: Vec<ServerEntry> = entries.collect();
                let mut state = self.node.state.borrow_mut();
                state.are_servers_listed = true;
                let changes = state.pool.replace(now, entries);
                drop(state);
                self.handle_pool_changes(&changes);
            }
            Collection::Evacuations => {
                self.evacuated.clear();
                for item in items {
                    self.apply_evacuation(item);
                }
                self.publish_evacuations(now);
                self.node.state.borrow_mut().are_evacuations_listed = true;
            }
            Collection::Quarantine => {
                let recorded = items.iter().filter_map(|item| item.name.parse().ok());
                crashes::replace_stored_quarantines(&self.node, &recorded.collect());
            }
            Collection::Instances => {
                self.instances.clear();
                let records: Vec<_> = items
                    .into_iter()
                    .filter_map(|item| self.instance_record(item))
                    .collect();
                let mut state = self.node.state.borrow_mut();
                state.members.set_listed(records);
                state.members.announce_to_other_zones();
                drop(state);
                self.update_holders();
            }
            Collection::Configuration => {
                for item in items {
                    self.apply(item);
                }
            }
        }
        self.node.startup_progress.notify_waiters();
    }

    /// Applies one change, which may be the removal of an object.
    pub(super) fn apply(&mut self, event: Event) {
        let now = self.node.now();
        match self.collection {
            Collection::Configuration => match event.record {
                Some(Record::Configuration(configuration)) => self.activate(*configuration),
                Some(Record::Unusable(reason)) => self.log_unusable(&event.name, &reason),
                _ => {}
            },
            Collection::Servers => {
                let name = event.name.clone();
                let change = match self.server_entry(event) {
                    Some(entry) => self.node.state.borrow_mut().pool.apply(now, entry),
                    None => name.parse().ok().and_then(|id| {
                        let mut state = self.node.state.borrow_mut();
                        state.pool.remove(now, &id)
                    }),
                };
                self.handle_pool_changes(change.as_slice());
            }
            Collection::Evacuations => {
                self.apply_evacuation(event);
                self.publish_evacuations(now);
            }
            Collection::Quarantine => match (event.record, event.name.parse()) {
                (Some(Record::Quarantined(fingerprint)), _) => {
                    crashes::apply_stored_quarantine(&self.node, fingerprint);
                }
                (Some(Record::Unusable(reason)), _) => self.log_unusable(&event.name, &reason),
                (None, Ok(fingerprint)) => crashes::release_quarantine(&self.node, fingerprint),
                _ => {}
            },
            Collection::Instances => {
                let name = event.name.clone();
                let record = self.instance_record(event);
                let mut state = self.node.state.borrow_mut();
                match record {
                    Some(record) => state.members.add_listed([record]),
                    None => {
                        if let Some(instance) = self.instances.remove(&name) {
                            state.members.remove_listed(&instance);
                        }
                    }
                }
                drop(state);
                self.update_holders();
            }
        }
    }

    /// Derives from the list of instances which of them hold the pools of quotas.
    fn update_holders(&self) {
        let holders = HolderTable::new(self.node.state.borrow().members.listed());
        self.node.quotas.holders.replace(Rc::new(holders));
    }

    /// Returns the instance record of an event, and stores the instance's id by the name of the record. Logs an invalid
    /// record and returns `None`.
    fn instance_record(&mut self, event: Event) -> Option<ListedInstance> {
        match event.record? {
            Record::Instance(record) => {
                self.instances.insert(event.name, record.instance.clone());
                Some(record)
            }
            Record::Unusable(reason) => {
                self.log_unusable(&event.name, &reason);
                None
            }
            _ => None,
        }
    }

    /// Returns the server entry of an event. Logs an invalid entry and returns `None`.
    fn server_entry(&self, event: Event) -> Option<ServerEntry> {
        match event.record? {
            Record::Server(entry) => Some(entry),
            Record::Unusable(reason) => {
                self.log_unusable(&event.name, &reason);
                None
            }
            _ => None,
        }
    }

    /// Counts an object that can't be used, and logs it the first time for this reason.
    fn log_unusable(&self, name: &str, reason: &str) {
        let collection = self.collection.as_str();
        let unusable = &self.node.metrics.unusable_objects;
        unusable.with_label_values(&[collection]).inc();
        let mut logged = self.logged_unusable.borrow_mut();
        if logged.len() >= MAX_LOGGED_UNUSABLE {
            logged.clear();
        }
        if !logged.insert((shortened(name), shortened(reason))) {
            return;
        }
        slog::warn!(self.node.log.log, "ignoring an invalid object of the store";
            "collection" => collection, "name" => shortened(name), "reason" => shortened(reason));
    }

    fn handle_pool_changes(&self, changes: &[Change]) {
        // The first list after the start has hundreds of servers. A line for each server would push other startup lines
        // out of the log queue.
        let (joined, others): (Vec<_>, Vec<_>) = changes
            .iter()
            .partition(|change| matches!(change, Change::Joined(_)));
        if joined.len() > MAX_JOINED_LINES {
            let ids: Vec<&str> = joined.iter().map(|one| one.server().as_str()).collect();
            slog::info!(self.node.log.log, "backend servers joined";
                "count" => ids.len(), "backend_servers" => ids.join(" "),
                "source" => ?self.node.store.source(),
                "store_age_ms" => self.node.store.age(self.node.now()).get());
            self.handle_each_change(&others);
        } else {
            let all: Vec<&Change> = changes.iter().collect();
            self.handle_each_change(&all);
        }
    }

    fn handle_each_change(&self, changes: &[&Change]) {
        for change in changes {
            if let Change::Gone(id) | Change::Restarted(id) = change {
                self.node.idle.borrow_mut().drop_server(id);
            }
            match change {
                Change::Restarted(id) => {
                    crashes::record_server_death(&self.node, id, "restart");
                }
                Change::Joined(id) => crashes::record_server_joined(&self.node, id),
                _ => {}
            }
            slog::info!(self.node.log.log, "backend server";
                "backend_server" => %change.server(), "change" => change.as_str(),
                "source" => ?self.node.store.source(),
                "store_age_ms" => self.node.store.age(self.node.now()).get());
        }
    }

    /// Makes a configuration the active one, unless its version is older than or equal to the active version.
    fn activate(&self, configuration: Configuration) {
        let mut state = self.node.state.borrow_mut();
        let in_force = state
            .configuration
            .as_ref()
            .map(|current| current.version());
        if in_force.is_some_and(|version| configuration.version() <= version) {
            return;
        }
        let warmups = configuration
            .services()
            .map(|service| (service.id.clone(), service.warmup_ms));
        state.pool.set_warmups(warmups);
        let version = configuration.version();
        let routes = configuration.route_count();
        state.configuration = Some(Rc::new(configuration));
        drop(state);
        let gauge = i64::try_from(version.get()).unwrap_or(i64::MAX);
        self.node.metrics.configuration_version.set(gauge);
        slog::info!(self.node.log.log, "configuration in force";
            "config_version" => version.get(), "routes" => routes);
    }

    fn apply_evacuation(&mut self, event: Event) {
        match event.record {
            Some(Record::Evacuation(zone)) => {
                self.evacuated.insert(zone);
            }
            Some(Record::Unusable(reason)) => self.log_unusable(&event.name, &reason),
            _ => {
                if let Ok(zone) = event.name.parse() {
                    self.evacuated.remove(&zone);
                }
            }
        }
    }

    fn publish_evacuations(&self, now: TimeMs) {
        let mut state = self.node.state.borrow_mut();
        let taken_back = state.pool.set_evacuated(now, self.evacuated.clone());
        drop(state);
        slog::info!(self.node.log.log, "evacuations";
            "zones" => names(&self.evacuated), "taken_back" => names(&taken_back));
    }
}

fn names<'a>(zones: impl IntoIterator<Item = &'a ids::AvailabilityZoneId>) -> String {
    let names: Vec<&str> = zones
        .into_iter()
        .map(ids::AvailabilityZoneId::as_str)
        .collect();
    names.join(" ")
}

//! Names that lead nowhere, and objects that declare the same thing twice.

use std::collections::BTreeMap;

use crate::document::nearest;
use crate::object::{ObjectId, ObjectKind};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// One name that one object gives of another.
struct Reference {
    from: ObjectId,
    key: &'static str,
    kind: ObjectKind,
    name: String,
}

pub(super) fn check(state: &ConfigState) -> Vec<Problem> {
    let mut problems: Vec<Problem> = references(state)
        .iter()
        .filter_map(|reference| resolve(state, reference))
        .collect();
    problems.extend(doubled_addresses(state));
    problems.extend(doubled_links(state));
    problems
}

fn references(state: &ConfigState) -> Vec<Reference> {
    let mut found = Found::default();
    for (name, zone) in state.availability_zones() {
        let from = (ObjectKind::AvailabilityZone, name.as_str());
        found.add(from, "region", ObjectKind::Region, &zone.region);
        for other in zone.latency_ms.keys() {
            found.add(from, "latency_ms", ObjectKind::AvailabilityZone, other);
        }
    }
    for (name, server) in state.backend_servers() {
        let from = (ObjectKind::BackendServer, name.as_str());
        found.add(from, "service", ObjectKind::Service, &server.service);
        let zone = &server.availability_zone;
        found.add(
            from,
            "availability_zone",
            ObjectKind::AvailabilityZone,
            zone,
        );
    }
    for (name, link) in state.links() {
        let from = (ObjectKind::Link, name.as_str());
        found.add(from, "from", ObjectKind::Region, &link.from);
        found.add(from, "to", ObjectKind::Region, &link.to);
    }
    for (name, blocks) in state.client_blocks() {
        let from = (ObjectKind::ClientBlocks, name.as_str());
        found.add(from, "near", ObjectKind::AvailabilityZone, &blocks.near);
        for zone in blocks.latency_ms.keys() {
            found.add(from, "latency_ms", ObjectKind::AvailabilityZone, zone);
        }
    }
    for (name, site) in state.sites() {
        let from = (ObjectKind::Site, name.as_str());
        let zone = &site.availability_zone;
        found.add(
            from,
            "availability_zone",
            ObjectKind::AvailabilityZone,
            zone,
        );
    }
    for (name, shift) in state.shifts() {
        let from = (ObjectKind::Shift, name.as_str());
        found.add(from, "service", ObjectKind::Service, &shift.service);
        found.add(from, "from", ObjectKind::AvailabilityZone, &shift.from);
        found.add(from, "to", ObjectKind::AvailabilityZone, &shift.to);
    }
    found.references
}

#[derive(Default)]
struct Found {
    references: Vec<Reference>,
}

impl Found {
    fn add(
        &mut self,
        from: (ObjectKind, &str),
        key: &'static str,
        kind: ObjectKind,
        name: &impl ToString,
    ) {
        if let Ok(object) = from.1.parse() {
            self.references.push(Reference {
                from: ObjectId::new(from.0, object),
                key,
                kind,
                name: name.to_string(),
            });
        }
    }
}

fn resolve(state: &ConfigState, reference: &Reference) -> Option<Problem> {
    let Reference {
        from,
        key,
        kind,
        name,
    } = reference;
    let names = state.names(*kind);
    if names.contains(name) {
        return None;
    }
    let remedy = match nearest(name, names.iter().map(String::as_str)) {
        Some(near) => format!("write {near:?}, the nearest one, or declare [{kind}.{name}]"),
        None => format!("declare [{kind}.{name}] in this ticket or an earlier one"),
    };
    let message = format!("there is no {kind} {name:?}");
    Some(Problem::new(message, remedy).of(from).key(*key))
}

fn doubled_addresses(state: &ConfigState) -> Vec<Problem> {
    let mut seen = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, server) in state.backend_servers() {
        let Some(first) = seen.insert(server.address, name) else {
            continue;
        };
        // Two names for one server would each count its slots, and the server would be overloaded.
        let message = format!("{} is the address of {first} too", server.address);
        let problem = Problem::new(message, "give each backend server its own address");
        problems.extend(named(
            ObjectKind::BackendServer,
            name.as_str(),
            problem,
            "address",
        ));
    }
    problems
}

fn doubled_links(state: &ConfigState) -> Vec<Problem> {
    let mut seen = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, link) in state.links() {
        if link.from == link.to {
            let problem = Problem::new("starts and ends in one region", "name two regions");
            problems.extend(named(ObjectKind::Link, name.as_str(), problem, "to"));
        }
        let Some(first) = seen.insert((&link.from, &link.to), name) else {
            continue;
        };
        let message = format!("link {first} has the same ends");
        let problem = Problem::new(message, "keep one of the two");
        problems.extend(named(ObjectKind::Link, name.as_str(), problem, "to"));
    }
    problems
}

fn named(kind: ObjectKind, name: &str, problem: Problem, key: &str) -> Option<Problem> {
    let object = ObjectId::new(kind, name.parse().ok()?);
    Some(problem.of(&object).key(key))
}

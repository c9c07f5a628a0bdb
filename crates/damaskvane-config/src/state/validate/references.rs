//! Checks for references to undeclared objects, and for objects that declare the same thing twice.

use std::collections::BTreeMap;

use crate::document::nearest;
use crate::object::{ObjectId, ObjectKind};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// A reference of one object to another by name.
struct Reference {
    from: ObjectId,
    key: &'static str,
    kind: ObjectKind,
    name: String,
}

pub(super) fn check(state: &ConfigState) -> Vec<Problem> {
    let mut problems: Vec<Problem> = references(state)
        .iter()
        .filter_map(|reference| check_reference(state, reference))
        .collect();
    problems.extend(duplicate_addresses(state));
    problems.extend(duplicate_links(state));
    problems
}

fn references(state: &ConfigState) -> Vec<Reference> {
    let mut list = ReferenceList::default();
    for (name, zone) in state.availability_zones() {
        let from = (ObjectKind::AvailabilityZone, name.as_str());
        list.add(from, "region", ObjectKind::Region, &zone.region);
        for other in zone.latency_ms.keys() {
            list.add(from, "latency_ms", ObjectKind::AvailabilityZone, other);
        }
    }
    for (name, server) in state.backend_servers() {
        let from = (ObjectKind::BackendServer, name.as_str());
        list.add(from, "service", ObjectKind::Service, &server.service);
        let zone = &server.availability_zone;
        list.add(
            from,
            "availability_zone",
            ObjectKind::AvailabilityZone,
            zone,
        );
    }
    for (name, link) in state.links() {
        let from = (ObjectKind::Link, name.as_str());
        list.add(from, "from", ObjectKind::Region, &link.from);
        list.add(from, "to", ObjectKind::Region, &link.to);
    }
    for (name, blocks) in state.client_blocks() {
        let from = (ObjectKind::ClientBlocks, name.as_str());
        list.add(from, "near", ObjectKind::AvailabilityZone, &blocks.near);
        for zone in blocks.latency_ms.keys() {
            list.add(from, "latency_ms", ObjectKind::AvailabilityZone, zone);
        }
    }
    for (name, site) in state.sites() {
        let from = (ObjectKind::Site, name.as_str());
        let zone = &site.availability_zone;
        list.add(
            from,
            "availability_zone",
            ObjectKind::AvailabilityZone,
            zone,
        );
    }
    for (name, shift) in state.shifts() {
        let from = (ObjectKind::Shift, name.as_str());
        list.add(from, "service", ObjectKind::Service, &shift.service);
        list.add(from, "from", ObjectKind::AvailabilityZone, &shift.from);
        list.add(from, "to", ObjectKind::AvailabilityZone, &shift.to);
    }
    list.references
}

#[derive(Default)]
struct ReferenceList {
    references: Vec<Reference>,
}

impl ReferenceList {
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

fn check_reference(state: &ConfigState, reference: &Reference) -> Option<Problem> {
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

fn duplicate_addresses(state: &ConfigState) -> Vec<Problem> {
    let mut seen = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, server) in state.backend_servers() {
        let Some(first) = seen.insert(server.address, name) else {
            continue;
        };
        // The slots of a server with two names would be counted twice, and the server overloaded.
        let message = format!("{} is the address of {first} too", server.address);
        let problem = Problem::new(message, "give each backend server its own address");
        problems.extend(with_object_key(
            ObjectKind::BackendServer,
            name.as_str(),
            problem,
            "address",
        ));
    }
    problems
}

fn duplicate_links(state: &ConfigState) -> Vec<Problem> {
    let mut seen = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, link) in state.links() {
        if link.from == link.to {
            let problem = Problem::new("starts and ends in one region", "name two regions");
            problems.extend(with_object_key(
                ObjectKind::Link,
                name.as_str(),
                problem,
                "to",
            ));
        }
        let Some(first) = seen.insert((&link.from, &link.to), name) else {
            continue;
        };
        let message = format!("link {first} has the same from and to");
        let problem = Problem::new(message, "keep one of the two");
        problems.extend(with_object_key(
            ObjectKind::Link,
            name.as_str(),
            problem,
            "to",
        ));
    }
    problems
}

fn with_object_key(kind: ObjectKind, name: &str, problem: Problem, key: &str) -> Option<Problem> {
    let object = ObjectId::new(kind, name.parse().ok()?);
    Some(problem.of(&object).key(key))
}

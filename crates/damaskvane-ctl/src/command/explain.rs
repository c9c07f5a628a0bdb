//! `explain`: lists the objects and tickets that determine the lookup response to a client.

use core::fmt;

use damaskvane_config::object::{ObjectId, ObjectKind};
use damaskvane_core::ids;
use serde::Serialize;
use serde_json::Value;

use crate::command::diff::accepted_declaration;
use crate::error::CtlError;
use crate::store::Accepted;

/// Object that influences the lookup response.
#[derive(Debug, Clone, Serialize)]
pub struct Involved {
    /// Identifier of the object.
    pub object: ObjectId,
    /// Ticket that last changed the object.
    pub ticket: ids::TicketNumber,
    /// Influence of the object on the response, as text for the operator.
    pub part: String,
}

/// Explanation of the lookup response to a client.
#[derive(Debug, Clone, Serialize)]
pub struct ExplainReport {
    /// Service of the lookup.
    pub service: ids::ServiceId,
    /// Client block of the client.
    pub client: ids::ClientBlock,
    /// Accepted version that the explanation is based on.
    pub version: ids::ConfigVersion,
    /// Lookup response of an instance; `None` if no instance was queried.
    pub answer: Option<Value>,
    /// Objects that influence the response.
    pub involved: Vec<Involved>,
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service, client, ..
        } = self;
        write!(f, "{service} for {client} at version {}", self.version)?;
        if let Some(answer) = &self.answer {
            write!(f, "\nanswer {answer}")?;
        }
        for involved in &self.involved {
            let Involved {
                object,
                ticket,
                part,
            } = involved;
            write!(f, "\n{object}, ticket {ticket}: {part}")?;
        }
        Ok(())
    }
}

/// Collects the objects that determine the lookup response to a client.
///
/// # Errors
///
/// Fails if the service doesn't exist or the accepted configuration is invalid.
pub fn explain(
    accepted: &Accepted,
    service: ids::ServiceId,
    client: ids::ClientBlock,
    answer: Option<Value>,
) -> Result<ExplainReport, CtlError> {
    let state = accepted.state()?;
    let declared_service = state
        .services()
        .get(&service)
        .ok_or_else(|| CtlError::NoObject(format!("service/{service}")))?;
    let mut involved = Collector {
        accepted,
        involved: Vec::new(),
    };
    let ttl_ms = declared_service.lookup_ttl_ms.get();
    let policy = format!(
        "policy {:?}, answers kept for {ttl_ms} ms",
        declared_service.policy
    );
    involved.add(ObjectKind::Service, service.as_str(), policy)?;
    if let Some((name, blocks)) = state.find_client_blocks(&client) {
        let part = format!("holds the client, nearest to {}", blocks.near);
        involved.add(ObjectKind::ClientBlocks, name.as_str(), part)?;
    }
    for (name, site) in state.sites() {
        let zone = &site.availability_zone;
        let slots = state.slots_of(&service, zone);
        let part = format!("steers to {zone}, which has {slots} undrained slots");
        involved.add(ObjectKind::Site, name.as_str(), part)?;
    }
    for (name, shift) in state.shifts() {
        if shift.service == service {
            let part = format!(
                "moves {} permille {} to {}",
                shift.permille, shift.from, shift.to
            );
            involved.add(ObjectKind::Shift, name.as_str(), part)?;
        }
    }
    for (name, server) in state.backend_servers() {
        if server.service == service && server.draining {
            let part = format!("is drained in {}", server.availability_zone);
            involved.add(ObjectKind::BackendServer, name.as_str(), part)?;
        }
    }
    Ok(ExplainReport {
        version: accepted.head.version,
        service,
        client,
        answer,
        involved: involved.involved,
    })
}

struct Collector<'a> {
    accepted: &'a Accepted,
    involved: Vec<Involved>,
}

impl Collector<'_> {
    fn add(&mut self, kind: ObjectKind, name: &str, part: String) -> Result<(), CtlError> {
        let name = name
            .parse()
            .map_err(|_| CtlError::NoObject(name.to_owned()))?;
        let object = ObjectId::new(kind, name);
        if accepted_declaration(self.accepted, &object)?.is_some() {
            let ticket = self.accepted.head.base_of(&object);
            self.involved.push(Involved {
                object,
                ticket,
                part,
            });
        }
        Ok(())
    }
}

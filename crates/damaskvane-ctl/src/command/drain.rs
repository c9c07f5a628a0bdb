//! `drain` and `undrain`: tickets that change the key `draining` of one backend server.

use damaskvane_config::declaration::Declaration;
use damaskvane_config::object::{ObjectId, ObjectKind};
use damaskvane_core::ids;

use crate::command::diff::accepted_declaration;
use crate::command::submit::SubmitRequest;
use crate::error::CtlError;
use crate::store::Accepted;

/// Returns the submission that starts or ends the drain of a backend server.
///
/// # Errors
///
/// Fails if the backend server doesn't exist or its accepted declaration can't be read.
pub fn set_draining(
    accepted: &Accepted,
    server: &ids::BackendServerId,
    draining: bool,
) -> Result<SubmitRequest, CtlError> {
    let name = server
        .as_str()
        .parse()
        .map_err(|_| CtlError::NoObject(server.to_string()))?;
    let object = ObjectId::new(ObjectKind::BackendServer, name);
    let Some(Declaration::BackendServer(mut state)) = accepted_declaration(accepted, &object)?
    else {
        return Err(CtlError::NoObject(object.to_string()));
    };
    state.draining = draining;
    let text =
        format!("[backend_server.\"{server}\"]\n# as in force, and:\ndraining = {draining}\n");
    let state = Some(Declaration::BackendServer(state));
    Ok(SubmitRequest {
        changes: [(object, state)].into(),
        text,
        base: Some(accepted.head.version),
        ..SubmitRequest::default()
    })
}

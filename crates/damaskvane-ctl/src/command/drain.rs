//! `drain` and `undrain`: tickets that change one key of one backend server.

use damaskvane_config::declaration::Declaration;
use damaskvane_config::object::{ObjectId, ObjectKind};
use damaskvane_core::ids;

use crate::command::diff::declared;
use crate::command::submit::Submit;
use crate::error::CtlError;
use crate::store::Accepted;

/// The submission that drains a backend server or ends its drain.
///
/// # Errors
///
/// When there is no such backend server.
pub fn set_draining(
    accepted: &Accepted,
    server: &ids::BackendServerId,
    draining: bool,
) -> Result<Submit, CtlError> {
    let name = server
        .as_str()
        .parse()
        .map_err(|_| CtlError::NoObject(server.to_string()))?;
    let object = ObjectId::new(ObjectKind::BackendServer, name);
    let Some(Declaration::BackendServer(mut state)) = declared(accepted, &object)? else {
        return Err(CtlError::NoObject(object.to_string()));
    };
    state.draining = draining;
    let text =
        format!("[backend_server.\"{server}\"]\n# as in force, and:\ndraining = {draining}\n");
    let state = Some(Declaration::BackendServer(state));
    Ok(Submit {
        changes: [(object, state)].into(),
        text,
        base: Some(accepted.head.version),
        ..Submit::default()
    })
}

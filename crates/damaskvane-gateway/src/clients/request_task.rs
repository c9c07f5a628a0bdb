//! A client's request with all that sending it needs, which may go on after the response for an exchange that is still
//! in progress.

use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{Configuration, RegionSet, Route};
use damaskvane_routing::retry::Progress;
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;

use crate::clients::body::HeldBytes;
use crate::clients::caller::Caller;
use crate::clients::dispatch::token_patience;
use crate::clients::pending::LastServer;
use crate::clients::reply;
use crate::clients::routed_request::RoutedRequest;
use crate::clients::send_right::SendRight;
use crate::crashes::RequestCopy;
use crate::node::Node;
use crate::upstream::{OutgoingRequest, ResponseBody};

/// A request with its selected service, which was not sent yet.
#[derive(Debug)]
pub(super) struct RequestTask {
    pub(super) node: Rc<Node>,
    pub(super) started: TimeMs,
    pub(super) sent_to: LastServer,
    pub(super) configuration: Rc<Configuration>,
    pub(super) route: Rc<Route>,
    pub(super) object: Option<u64>,
    pub(super) service: ids::ServiceId,
    pub(super) outgoing: Rc<OutgoingRequest>,
    pub(super) allowed_regions: RegionSet,
    pub(super) deadline: TimeMs,
    pub(super) caller: Option<Caller>,
    pub(super) copy: RequestCopy,
    /// The memory of the body, which is counted until no exchange needs the body any more.
    pub(super) held: HeldBytes,
}

impl RequestTask {
    /// Sends the request and returns the response.
    ///
    /// An exchange whose response isn't needed ends in the background. All exchanges end at once if the returned future
    /// is dropped before the response, which happens when the client disconnects.
    pub(super) async fn respond(self) -> Response<ResponseBody> {
        let (sender, mut receiver) = oneshot::channel();
        let mut running = Box::pin(self.run(sender));
        let response = tokio::select! {
            biased;
            () = running.as_mut() => receiver.try_recv().ok(),
            response = &mut receiver => {
                tokio::task::spawn_local(running);
                response.ok()
            }
        };
        response.unwrap_or_else(|| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            reply::from_instance(status, "the request ended without a response\n")
        })
    }

    async fn run(self, sender: oneshot::Sender<Response<ResponseBody>>) {
        let node = &self.node;
        let right = SendRight::new(node, self.caller.clone(), token_patience(&self.route));
        let mut request = RoutedRequest {
            node,
            started: self.started,
            sent_to: &self.sent_to,
            configuration: &self.configuration,
            route: &self.route,
            object: self.object,
            service: self.service.clone(),
            outgoing: &self.outgoing,
            allowed_regions: &self.allowed_regions,
            deadline: self.deadline,
            progress: Progress::new(self.route.kind, self.route.attempts.max(1)),
            tried: Vec::new(),
            right: &right,
            copy: &self.copy,
            reserved: None,
            is_next_charged: false,
            failed_response: None,
            left_behind: None,
        };
        let response = request.run().await;
        let _ = sender.send(response);
        request.finish_left_behind().await;
        drop(self.held);
    }
}

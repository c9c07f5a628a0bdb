//! Scheduled deliveries and their handling when they are due.
//!
//! ```text
//! due time -> delivery -> entry instance (held while it is paused) or backend server
//! ```

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use damaskvane_engine::event;
use damaskvane_membership::view;

use crate::world::World;
use crate::world::entry::ProcessState;

/// An input to an entry instance.
#[derive(Debug)]
pub(super) enum Input {
    EngineTick,
    MembershipTick,
    ReadList,
    Configure,
    Engine(Box<event::Event>),
    Membership(Box<view::Event>),
    /// Another instance asks for the list.
    ListRequest(ids::InstanceId),
    Submit(ids::RequestId),
    /// The thread of an exchange is ready to send the request.
    SendExchange(Box<event::Exchange>),
}

/// A scheduled event of the simulation.
#[derive(Debug)]
pub(super) enum Delivery {
    ToEntry {
        to: ids::InstanceId,
        /// The only incarnation that may receive the input; `None` if any may.
        incarnation: Option<ids::Incarnation>,
        input: Input,
    },
    /// A request arrives at a backend server.
    Arrive {
        from: home::Home,
        exchange: Box<event::Exchange>,
    },
    Cancel {
        server: ids::BackendServerId,
        request_id: ids::RequestId,
    },
    /// A request on a backend server has completed or passed its deadline.
    RunEnds {
        server: ids::BackendServerId,
        execution: u64,
    },
    Crash(ids::BackendServerId),
    Recover(ids::BackendServerId),
    Resume(ids::InstanceId, ids::Incarnation),
    Restart(ids::InstanceId),
}

impl World {
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToEntry {
                to,
                incarnation,
                input,
            } => self.deliver_to_entry(to, incarnation, input),
            Delivery::Arrive { from, exchange } => self.arrive(from, *exchange),
            Delivery::Cancel { server, request_id } => self.cancel(&server, &request_id),
            Delivery::RunEnds { server, execution } => self.end_run(&server, execution),
            Delivery::Crash(server) => self.crash(&server),
            Delivery::Recover(server) => self.recover(&server),
            Delivery::Resume(instance, incarnation) => self.resume(&instance, incarnation),
            Delivery::Restart(instance) => self.restart(&instance),
        }
    }

    /// Passes an input to an entry instance.
    ///
    /// Inputs to a paused instance are held, as they would wait in its sockets, until the instance
    /// resumes.
    fn deliver_to_entry(
        &mut self,
        to: ids::InstanceId,
        incarnation: Option<ids::Incarnation>,
        input: Input,
    ) {
        let Some(entry) = self.entries.get_mut(&to) else {
            return;
        };
        if incarnation.is_some_and(|expected| expected != entry.incarnation()) {
            return;
        }
        match entry.process_state {
            ProcessState::Running => self.handle_input(&to, input),
            ProcessState::Paused => {
                let held = Delivery::ToEntry {
                    to,
                    incarnation,
                    input,
                };
                entry.held_inputs.push(held);
            }
            ProcessState::Ended => {
                if let Input::Submit(request) = input {
                    self.connection_lost(&request);
                }
            }
        }
    }

    fn handle_input(&mut self, to: &ids::InstanceId, input: Input) {
        match input {
            Input::EngineTick => {
                self.pass_to_engine(to, event::Event::Tick);
                self.schedule_tick(to, Input::EngineTick, super::entry::ENGINE_TICK);
                self.end_if_drained(to);
            }
            Input::MembershipTick => {
                self.pass_to_membership(to, view::Event::Tick);
                let period = super::entry::MEMBERSHIP_TICK;
                self.schedule_tick(to, Input::MembershipTick, period);
            }
            Input::ReadList => {
                self.read_list(to);
                self.schedule_tick(to, Input::ReadList, super::entry::LIST_PERIOD);
            }
            Input::Configure => self.configure(to),
            Input::Engine(event) => self.pass_to_engine(to, *event),
            Input::Membership(event) => self.pass_to_membership(to, *event),
            Input::ListRequest(from) => self.answer_list_request(to, &from),
            Input::Submit(request) => self.submit(to, &request),
            Input::SendExchange(exchange) => self.send_exchange(to, *exchange),
        }
    }

    fn schedule_tick(&mut self, to: &ids::InstanceId, input: Input, period: time::SpanMs) {
        self.send_to_entry(to, period, input);
    }

    /// Schedules an input to the current incarnation of an instance.
    pub(super) fn send_to_entry(
        &mut self,
        to: &ids::InstanceId,
        after: time::SpanMs,
        input: Input,
    ) {
        let incarnation = self.entries.get(to).map(super::entry::Entry::incarnation);
        let delivery = Delivery::ToEntry {
            to: to.clone(),
            incarnation,
            input,
        };
        self.schedule(after, delivery);
    }

    pub(super) fn send_to_incarnation(
        &mut self,
        to: &home::Home,
        after: time::SpanMs,
        input: Input,
    ) {
        let delivery = Delivery::ToEntry {
            to: to.instance.clone(),
            incarnation: Some(to.incarnation),
            input,
        };
        self.schedule(after, delivery);
    }
}

//! What is on its way, and what happens when it is there.
//!
//! ```text
//! due time -> delivery -> an entry instance (held while it is paused), a backend server or the platform
//! ```

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use damaskvane_engine::event;
use damaskvane_membership::view;

use crate::world::World;
use crate::world::entry::ProcessState;

/// Something that reaches an entry instance.
#[derive(Debug)]
pub(super) enum Input {
    EngineTick,
    MembershipTick,
    ReadList,
    Configure,
    Engine(Box<event::Event>),
    Membership(Box<view::Event>),
    Submit(ids::RequestId),
    /// The thread of an exchange is about to send it.
    SendExchange(Box<event::Exchange>),
}

/// Something that happens at a point in time.
#[derive(Debug)]
pub(super) enum Delivery {
    ToEntry {
        to: ids::InstanceId,
        /// The start it is meant for; nothing if any start takes it.
        incarnation: Option<ids::Incarnation>,
        input: Input,
    },
    /// A request reaches a backend server.
    Arrive {
        from: home::Home,
        exchange: Box<event::Exchange>,
    },
    Cancel {
        server: ids::BackendServerId,
        request_id: ids::RequestId,
    },
    /// A request on a backend server has run, or its time is over.
    RunEnds {
        server: ids::BackendServerId,
        execution: u64,
    },
    Crash(ids::BackendServerId),
    Revive(ids::BackendServerId),
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
            } => self.reach(to, incarnation, input),
            Delivery::Arrive { from, exchange } => self.arrive(from, *exchange),
            Delivery::Cancel { server, request_id } => self.cancel(&server, &request_id),
            Delivery::RunEnds { server, execution } => self.run_ends(&server, execution),
            Delivery::Crash(server) => self.crash(&server),
            Delivery::Revive(server) => self.revive(&server),
            Delivery::Resume(instance, incarnation) => self.resume(&instance, incarnation),
            Delivery::Restart(instance) => self.restart(&instance),
        }
    }

    /// What reaches a paused instance waits in its sockets and happens when it goes on.
    fn reach(&mut self, to: ids::InstanceId, incarnation: Option<ids::Incarnation>, input: Input) {
        let Some(entry) = self.entries.get_mut(&to) else {
            return;
        };
        if incarnation.is_some_and(|wanted| wanted != entry.incarnation()) {
            return;
        }
        match entry.process_state {
            ProcessState::Running => self.take(&to, input),
            ProcessState::Paused => {
                let held = Delivery::ToEntry {
                    to,
                    incarnation,
                    input,
                };
                entry.held.push(held);
            }
            ProcessState::Ended => {
                if let Input::Submit(request) = input {
                    self.connection_lost(&request);
                }
            }
        }
    }

    fn take(&mut self, to: &ids::InstanceId, input: Input) {
        match input {
            Input::EngineTick => {
                self.tell_engine(to, event::Event::Tick);
                self.tick_again(to, Input::EngineTick, super::entry::ENGINE_TICK);
                self.end_if_drained(to);
            }
            Input::MembershipTick => {
                self.tell_membership(to, view::Event::Tick);
                let period = super::entry::MEMBERSHIP_TICK;
                self.tick_again(to, Input::MembershipTick, period);
            }
            Input::ReadList => {
                self.read_list(to);
                self.tick_again(to, Input::ReadList, super::entry::LIST_PERIOD);
            }
            Input::Configure => self.configure(to),
            Input::Engine(event) => self.tell_engine(to, *event),
            Input::Membership(event) => self.tell_membership(to, *event),
            Input::Submit(request) => self.submit(to, &request),
            Input::SendExchange(exchange) => self.send_exchange(to, *exchange),
        }
    }

    fn tick_again(&mut self, to: &ids::InstanceId, input: Input, period: time::SpanMs) {
        self.send_to_entry(to, period, input);
    }

    /// Something for the present start of an instance.
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

    pub(super) fn send_to_start(&mut self, to: &home::Home, after: time::SpanMs, input: Input) {
        let delivery = Delivery::ToEntry {
            to: to.instance.clone(),
            incarnation: Some(to.incarnation),
            input,
        };
        self.schedule(after, delivery);
    }
}

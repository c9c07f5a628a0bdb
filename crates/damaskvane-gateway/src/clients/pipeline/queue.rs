//! The requests of a connection whose responses were not begun to be written, in order.

use core::pin::Pin;
use core::task::{Context, Poll};
use std::collections::VecDeque;

use hyper::Response;

use crate::clients::pipeline::reservation::Reservation;
use crate::upstream::ResponseBody;

/// The handling of a request, from its head to its response.
pub(super) type Handling = Pin<Box<dyn Future<Output = Response<ResponseBody>>>>;

enum Progress {
    Running(Handling),
    Answered(Response<ResponseBody>),
}

/// What is known of a request besides its handling.
#[derive(Debug)]
pub(super) struct Details {
    /// Whether the response has no body, whatever its headers say.
    pub(super) is_head: bool,
    /// Whether the client asks to close the connection after the response.
    pub(super) closes: bool,
    /// Whether later requests must not run before this one was answered.
    pub(super) blocks_later: bool,
    /// The memory for the response; `None` if no other response was waiting when the request was started.
    pub(super) reservation: Option<Reservation>,
}

/// Requests at work and responses that wait for their turn.
#[derive(Default)]
pub(super) struct Queue {
    entries: VecDeque<(Progress, Details)>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn push(&mut self, handling: Handling, details: Details) {
        self.entries
            .push_back((Progress::Running(handling), details));
    }

    /// Returns whether a later request must wait for one of these.
    pub(super) fn blocks_later(&self) -> bool {
        self.entries.iter().any(|(_, details)| details.blocks_later)
    }

    /// Lets all requests at work proceed.
    pub(super) fn poll_all(&mut self, context: &mut Context<'_>) {
        for (progress, details) in &mut self.entries {
            let Progress::Running(handling) = progress else {
                continue;
            };
            if let Poll::Ready(response) = handling.as_mut().poll(context) {
                if let Some(reservation) = &mut details.reservation {
                    reservation.fit(&response);
                }
                *progress = Progress::Answered(response);
            }
        }
    }

    /// Removes the first request if its response is there.
    pub(super) fn pop_answered(&mut self) -> Option<(Response<ResponseBody>, Details)> {
        let (progress, details) = self.entries.pop_front()?;
        match progress {
            Progress::Answered(response) => Some((response, details)),
            running @ Progress::Running(_) => {
                self.entries.push_front((running, details));
                None
            }
        }
    }
}

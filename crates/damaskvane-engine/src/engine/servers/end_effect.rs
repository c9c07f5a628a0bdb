//! The effect of the end of an exchange on its slot and on the health of its backend server.
//!
//! An exchange is one request sent to a backend server; its slot is the right to run the request there.
//!
//! ```text
//! answered, refused, not sent           -> the slot is free
//! lost, timeout, truncated, mismatched  -> the slot counts as in use until the server must have stopped
//! ```

use damaskvane_core::time;
use damaskvane_dispatch::connection;
use damaskvane_slots::exchange;
use damaskvane_steering::health;

use crate::event::ExchangeEnd;

/// Returns the effect of the end of an exchange on its slot and on the health of its server. Each exchange has
/// its own connection, so that an earlier exchange can't have caused a timeout or a lost connection.
pub(super) const fn classify_end(
    end: &ExchangeEnd,
    took: time::SpanMs,
) -> (exchange::Finish, health::Outcome) {
    let failure = match end {
        ExchangeEnd::Answered(_) => {
            return (exchange::Finish::Ended, health::Outcome::Answered { took });
        }
        ExchangeEnd::Refused => connection::Failure::Shed,
        ExchangeEnd::NotSent => connection::Failure::Refused,
        ExchangeEnd::Lost | ExchangeEnd::TruncatedResponse => connection::Failure::Closed {
            on_new_connection: true,
        },
        ExchangeEnd::Timeout => connection::Failure::Timeout {
            on_new_connection: true,
        },
        ExchangeEnd::MismatchedResponse => connection::Failure::MismatchedResponse,
    };
    let finish = if end.proves_not_run() {
        exchange::Finish::Ended
    } else {
        exchange::Finish::MayStillRun
    };
    match failure.action() {
        connection::Action::Ignore => (finish, health::Outcome::Refused),
        connection::Action::CountAsServerFailure | connection::Action::RetryOnNewConnection => {
            (finish, health::Outcome::Failed)
        }
    }
}

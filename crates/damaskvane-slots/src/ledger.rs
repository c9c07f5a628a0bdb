//! The ledger of a backend server's owner: the grants that the owner has made.
//!
//! The owner is the instance that grants the server's slots; a slot is the right to run one request on the
//! server. A new owner that did not receive the previous owner's ledger waits first, until all grants of the
//! previous owner have expired. Meanwhile it grants at most the slots of the grants that their holders reported.
//!
//! ```
//! use damaskvane_core::{ids, time, units};
//! use damaskvane_slots::{ledger, message};
//!
//! let key = |number| message::GrantKey {
//!     holder: "a-1".parse().expect("a valid name"),
//!     incarnation: ids::Incarnation::new(1),
//!     number: message::GrantNumber::new(number),
//! };
//! let (now, until) = (time::TimeMs::new(10), time::TimeMs::new(20));
//! let waiting = ledger::SlotLedger::waiting(units::Slots::new(3), Vec::new(), now);
//! let mut ledger = waiting.start(now).expect("nothing to wait for");
//! assert_eq!(ledger.grant(now, key(1), units::Slots::new(2), until), Ok(units::Slots::new(2)));
//! assert_eq!(ledger.grant(now, key(2), units::Slots::new(2), until), Ok(units::Slots::new(1)));
//! assert!(ledger.grant(now, key(3), units::Slots::new(1), until).is_err());
//! assert_eq!(ledger.grant(until, key(3), units::Slots::new(1), until), Ok(units::Slots::new(1)));
//! ```

mod grant;
mod slot_ledger;

pub use grant::{Full, Grant};
pub use slot_ledger::{Phase, Serving, SlotLedger, Waiting};

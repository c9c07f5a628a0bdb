//! A request body that records whether it was sent after the lease of its slot had expired.
//!
//! A slot is the right to run one request on a backend server, held under a lease.
//!
//! ```text
//! write the body -> read the clock: sent late if the lease has expired by then
//! ```

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use attohttpc::body;
use damaskvane_core::time;

use crate::clock;

/// The body of a request to a backend server, together with the end of the slot's lease.
#[derive(Debug)]
pub(super) struct LeasedBody {
    content: Vec<u8>,
    clock: clock::MonotonicClock,
    begin_before: time::TimeMs,
    sent_late: Arc<AtomicBool>,
}

impl LeasedBody {
    pub(super) fn new(
        content: &[u8],
        clock: clock::MonotonicClock,
        begin_before: time::TimeMs,
    ) -> Self {
        Self {
            content: content.to_vec(),
            clock,
            begin_before,
            sent_late: Arc::default(),
        }
    }

    /// Returns a flag that becomes true if the last byte was written at or after the end of the lease,
    /// `begin_before`.
    pub(super) fn sent_late(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.sent_late)
    }
}

impl body::Body for LeasedBody {
    fn kind(&mut self) -> io::Result<body::BodyKind> {
        Ok(body::BodyKind::KnownLength(self.content.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        writer.write_all(&self.content)?;
        writer.flush()?;
        if self.clock.now() >= self.begin_before {
            self.sent_late.store(true, Ordering::Release);
        }
        Ok(())
    }
}

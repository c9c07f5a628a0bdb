//! A request body that notes whether it was written under a lease that had lapsed.
//!
//! ```text
//! clock -> write -> clock again: late if the lease ended in between
//! ```

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use attohttpc::body;
use damaskvane_core::time;

use crate::clock;

/// The body of one exchange.
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

    /// Becomes true if the body was written too late.
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

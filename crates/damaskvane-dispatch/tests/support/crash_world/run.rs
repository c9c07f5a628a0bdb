//! One caller's request on its way.

use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{CopyId, RequestIdentity};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    pub copy: CopyId,
    pub is_crashing: bool,
    pub caller: usize,
    pub instance: usize,
    pub tried: Vec<usize>,
    pub waited_ms: u64,
    pub was_withdrawn: bool,
    pub is_repeated: bool,
}

impl Run {
    pub fn identity(&self) -> RequestIdentity {
        let path = if self.is_crashing { "/bad" } else { "/popular" };
        let request = Fingerprint::of_fields(["desk.example", "GET", path], b"");
        RequestIdentity::new(request, &format!("10.0.0.{}", self.caller))
    }
}

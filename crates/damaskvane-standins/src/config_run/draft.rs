//! Random drafts: some change the same objects, and some are valid only without each other.

use damaskvane_config::document::Document;
use damaskvane_config::manifest::Head;
use damaskvane_config::ticket::Draft;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The number of objects of each kind that drafts choose from; few, so that drafts overlap.
const NAME_COUNT: u32 = 4;

/// Creates a random draft against a head.
pub(super) fn draft(rng: &mut Pcg64Mcg, head: &Head, operator: usize, serial: u64) -> Draft {
    let text = text(rng);
    let document = Document::parse("draft", &text).unwrap_or_default();
    let changes = document.to_changes();
    let base = changes
        .keys()
        .map(|object| (object.clone(), head.base_of(object)))
        .collect();
    Draft {
        author: format!("operator-{operator}"),
        reason: format!("change {serial}"),
        submitted_at_unix_ms: serial,
        write_id: format!("write-{operator}-{serial}"),
        base_version: head.version,
        base,
        changes,
        text,
    }
}

fn text(rng: &mut Pcg64Mcg) -> String {
    let name = rng.random_range(0..NAME_COUNT);
    let other = rng.random_range(0..NAME_COUNT);
    let timeout_ms = rng.random_range(100..2_000);
    match rng.random_range(0..10) {
        0..4 => service(name, timeout_ms),
        4..6 => format!(
            "{}{}",
            service(name, timeout_ms),
            service(other, timeout_ms + 1)
        )
        .lines()
        .take(if name == other { 2 } else { 4 })
        .collect::<Vec<_>>()
        .join("\n"),
        6 | 7 => format!("[region.r{name}]\ndescription = \"{timeout_ms}\"\n"),
        8 => format!("[availability_zone.z{name}]\nregion = \"r{other}\"\n"),
        _ => format!("delete = [\"region/r{name}\"]\n"),
    }
}

fn service(name: u32, timeout_ms: u32) -> String {
    format!("[service.s{name}]\nrequest_timeout_ms = {timeout_ms}\n")
}

//! The log lines, counters and status of a backend server whose slots (rights to run a request) are not granted.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};

use damaskvane_core::{ids, time, units};
use damaskvane_entry::slot_watch;
use damaskvane_membership::view;
use damaskvane_slots::{exchange, settings};
use damaskvane_telemetry::counters;
use slog::{Drain, KV};

type Line = BTreeMap<String, String>;

/// Collects the message and fields of each log line.
#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<Line>>>);

struct Fields(Line);

impl slog::Serializer for Fields {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields(Line::new());
        let serialized = record.kv().serialize(record, &mut fields);
        assert!(serialized.is_ok());
        fields.0.insert("msg".into(), record.msg().to_string());
        self.0.lock().expect("not poisoned").push(fields.0);
        Ok(())
    }
}

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

/// Returns the slots of the only instance of a zone with one backend server, started at 0 ms.
fn only_instance() -> exchange::SlotExchange {
    let (name, incarnation) = ("a-1".parse::<ids::InstanceId>(), ids::Incarnation::new(1));
    let name = name.expect("a valid name");
    let mut slots =
        exchange::SlotExchange::new(name.clone(), incarnation, settings::SlotSettings::default());
    let limit = exchange::ServerSlots {
        server: "rider-desk-1".parse().expect("a valid name"),
        slots: units::Slots::new(3),
    };
    slots.handle(at(0), exchange::Event::Servers(vec![limit]));
    let own = view::RosterMember {
        is_starting: false,
        instance: name,
        incarnation,
        leaving: false,
        gone: None,
        stopped_by: None,
        has_acknowledged_own: true,
        is_unheard_newcomer: false,
    };
    let roster = view::Roster {
        members: vec![own],
        authority_until: Some(at(1_000_000)),
        is_listed: true,
        may_take_over: true,
    };
    slots.handle(at(0), exchange::Event::Roster(roster));
    slots
}

/// Guards against a log with a line at each look, and against one that leaves out the end of a wait.
#[test]
fn each_change_of_reason_is_logged_once() {
    let lines = Lines::default();
    let logger = slog::Logger::root(lines.clone().fuse(), slog::o!());
    let mut slots = only_instance();
    let mut watch = slot_watch::SlotWatch::default();
    for now in (0..8_000).step_by(10).map(at) {
        slots.handle(now, exchange::Event::Tick);
        if watch.is_due(now) {
            watch.log_changes(now, slots.status(now), &logger);
        }
    }
    let lines = lines.0.lock().expect("not poisoned").clone();
    let fields = |line: &Line| {
        let fields = ["msg", "backend_server", "phase", "reason", "remaining_ms"];
        fields.map(|field| line.get(field).cloned().unwrap_or_default())
    };
    let expected = [
        [
            "this instance grants no slots",
            "rider-desk-1",
            "waiting",
            "earlier_leases",
            "5300",
        ],
        [
            "this instance grants slots",
            "rider-desk-1",
            "serving",
            "",
            "",
        ],
    ];
    assert_eq!(lines.iter().map(fields).collect::<Vec<_>>(), expected);
}

/// Guards against a wait that is counted again at each publication.
#[test]
fn the_time_of_a_reason_is_counted_once() {
    let mut slots = only_instance();
    let mut watch = slot_watch::SlotWatch::default();
    let counters = counters::Counters::local();
    for now in (0..8_000).step_by(10).map(at) {
        slots.handle(now, exchange::Event::Tick);
        watch.count(&slots.counters().blocked_ms, &counters);
    }
    let counts = counters.snapshot();
    assert_eq!(
        counts.get("slots_blocked_ms.earlier_leases"),
        Some(&5_300),
        "{counts:?}"
    );
}

/// Guards against a status without the reason of a wait or the time that is left.
#[test]
fn the_status_has_the_phase_the_reason_and_the_time_left() {
    let slots = only_instance();
    let now = at(300);
    let status = slots.status(now).next().expect("a server");
    let json = slot_watch::to_json(now, &status);
    assert_eq!(json["phase"], "waiting");
    assert_eq!(json["blocked"]["reason"], "earlier_leases");
    assert_eq!(json["blocked"]["remaining_ms"], 5_000);
    assert_eq!(json["blocked"]["instances"], serde_json::json!([]));
}

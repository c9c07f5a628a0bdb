//! A table of late and unserved requests.

use core::fmt;
use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::line::Line;
use crate::losses::cause::Cause;
use crate::losses::event::{Event, UnreadableLine};
use crate::losses::history::History;

/// Length of a window in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// The number of losses with one cause, on one route, in one zone and window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Name of the route, or `-` if the line names none.
    pub route: String,
    /// Availability zone of the instances that handled the requests.
    pub zone: String,
    /// Start of the window in seconds after the first line of all logs.
    pub from_s: u64,
    /// Cause in its printed form, such as `not served: overloaded`.
    pub cause: String,
    /// Number of requests.
    pub requests: u64,
}

/// Route, zone, start of the window in seconds, and cause.
type LossKey = (String, String, u64, Cause);

/// Counts of late and unserved requests by route, zone, window and cause.
#[derive(Debug, Default)]
pub struct Table {
    losses: BTreeMap<LossKey, u64>,
    lines: u64,
    lines_left_out: u64,
    unreadable_lines: Vec<UnreadableLine>,
}

impl Table {
    /// Reads `logs`, pairs of a log's name and text.
    pub fn of<'a>(logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut table = Self::default();
        let mut events = Vec::new();
        for (name, text) in logs {
            events.extend(table.read(name, text));
        }
        // The sort is stable: lines of one log with equal timestamps keep their order.
        events.sort_by_key(|(event, _)| event.at_ms);
        let start_ms = events.iter().find_map(|(event, _)| event.at_ms);
        let mut history = History::default();
        for (event, is_last) in &events {
            let Some(cause) = history.record(event, *is_last) else {
                continue;
            };
            let since_ms =
                event.at_ms.unwrap_or(0) - start_ms.unwrap_or(0).min(event.at_ms.unwrap_or(0));
            let from_s = since_ms / WINDOW_MS * WINDOW_MS / 1_000;
            let key = (event.route.clone(), event.zone.clone(), from_s, cause);
            *table.losses.entry(key).or_default() += 1;
        }
        table
    }

    /// Returns the events of one log, each with whether the event is the log's last one on its request.
    fn read(&mut self, name: &str, text: &str) -> Vec<(Event, bool)> {
        // A file may contain lines of several instances; lines without an instance name share the zone of the last
        // start line without one.
        let mut zones: HashMap<String, String> = HashMap::new();
        let mut events: Vec<Event> = Vec::new();
        for (index, text) in text.lines().enumerate() {
            if text.trim().is_empty() {
                continue;
            }
            let Some(line) = Line::parse(text) else {
                self.unreadable_lines.push(UnreadableLine {
                    file: name.to_owned(),
                    line: index + 1,
                });
                continue;
            };
            let instance = line.text("instance").unwrap_or_default();
            if line.message() == "start" {
                let zone = line.text("zone").unwrap_or("-").to_owned();
                zones.insert(instance.to_owned(), zone);
            }
            self.lines_left_out += line.left_out();
            let zone = zones.get(instance).map_or("", String::as_str);
            let Some(event) = Event::from_line(&line, zone) else {
                continue;
            };
            self.lines += 1;
            events.push(event);
        }
        let mut last: HashMap<String, usize> = HashMap::new();
        for (index, event) in events.iter().enumerate() {
            if let Some(request) = &event.request {
                last.insert(request.clone(), index);
            }
        }
        let is_last = |(index, event): &(usize, Event)| {
            let request = event.request.as_ref();
            request.is_none_or(|request| last.get(request) == Some(index))
        };
        let numbered: Vec<_> = events.into_iter().enumerate().collect();
        let are_last: Vec<bool> = numbered.iter().map(is_last).collect();
        numbered
            .into_iter()
            .map(|(_, event)| event)
            .zip(are_last)
            .collect()
    }

    /// Returns the number of requests with this cause.
    #[must_use]
    pub fn count(&self, cause: Cause) -> u64 {
        let of_cause = self.losses.iter().filter(|((_, _, _, of), _)| *of == cause);
        of_cause.map(|(_, requests)| requests).sum()
    }

    /// Returns the number of requests with any cause.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.losses.values().sum()
    }

    /// Returns the share (0 to 1) of lines on requests and servers that the logs contain; instances omitted the rest
    /// under load.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        let all = self.lines + self.lines_left_out;
        if all == 0 {
            return 1.0;
        }
        self.lines as f64 / all as f64
    }

    /// Returns the positions of the lines that could not be read.
    #[must_use]
    pub fn unreadable_lines(&self) -> &[UnreadableLine] {
        &self.unreadable_lines
    }

    /// Returns a row for each route, zone, window and cause.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.losses
            .iter()
            .map(|((route, zone, from_s, cause), requests)| Row {
                route: route.clone(),
                zone: zone.clone(),
                from_s: *from_s,
                cause: cause.to_string(),
                requests: *requests,
            })
    }

    /// Losses by window and cause.
    pub(super) fn windows(&self) -> BTreeMap<u64, BTreeMap<Cause, u64>> {
        let mut windows: BTreeMap<u64, BTreeMap<Cause, u64>> = BTreeMap::new();
        for ((_, _, from_s, cause), requests) in &self.losses {
            *windows
                .entry(*from_s)
                .or_default()
                .entry(*cause)
                .or_default() += requests;
        }
        windows
    }

    fn sum_by<'a, K: Ord>(
        &'a self,
        key: impl Fn(&'a LossKey) -> K,
    ) -> BTreeMap<K, BTreeMap<Cause, u64>> {
        let mut sums: BTreeMap<K, BTreeMap<Cause, u64>> = BTreeMap::new();
        for (loss_key, requests) in &self.losses {
            *sums
                .entry(key(loss_key))
                .or_default()
                .entry(loss_key.3)
                .or_default() += requests;
        }
        sums
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.total().max(1) as f64;
        writeln!(f, "{:<28} {:>8} {:>6}", "cause", "requests", "share")?;
        let mut causes: Vec<(Cause, u64)> = self.sum_by(|_| ()).into_values().flatten().collect();
        causes.sort_by_key(|(_, requests)| std::cmp::Reverse(*requests));
        for (cause, requests) in &causes {
            let share = *requests as f64 * 100.0 / total;
            writeln!(f, "{cause:<28} {requests:>8} {share:>5.1}%")?;
        }
        writeln!(f, "{:<28} {:>8}", "all", self.total())?;
        for (title, sums) in [
            ("route", self.sum_by(|key| key.0.clone())),
            ("zone", self.sum_by(|key| key.1.clone())),
        ] {
            writeln!(f, "\n{title}")?;
            for (name, causes) in sums {
                writeln!(f, "{name}: {}", join_counts(&causes))?;
            }
        }
        writeln!(f, "\nfrom second")?;
        for (from_s, causes) in self.windows() {
            writeln!(f, "{from_s}: {}", join_counts(&causes))?;
        }
        write!(
            f,
            "\n{} lines on requests and servers read, {} left out under load: {:.0}% seen",
            self.lines,
            self.lines_left_out,
            self.coverage() * 100.0
        )
    }
}

fn join_counts(causes: &BTreeMap<Cause, u64>) -> String {
    let mut causes: Vec<_> = causes.iter().collect();
    causes.sort_by_key(|(_, requests)| std::cmp::Reverse(**requests));
    let items = causes
        .iter()
        .map(|(cause, requests)| format!("{requests} {cause}"));
    items.collect::<Vec<_>>().join(", ")
}

//! The table of losses.

use core::fmt;
use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::line::Line;
use crate::losses::cause::Cause;
use crate::losses::event::{Event, Rejected};
use crate::losses::history::History;

/// The span of a window.
const WINDOW_MS: u64 = 2_000;

/// Requests that were lost for one cause, at one place and time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The route.
    pub route: String,
    /// The availability zone of the instance that had them.
    pub zone: String,
    /// Seconds from the first line of all logs to the start of the window.
    pub from_s: u64,
    /// Why they were late or not served.
    pub cause: String,
    /// How many.
    pub requests: u64,
}

type Place = (String, String, u64, Cause);

/// Requests that were late or not served, by cause.
#[derive(Debug, Default)]
pub struct Table {
    losses: BTreeMap<Place, u64>,
    lines: u64,
    lines_left_out: u64,
    rejected: Vec<Rejected>,
}

impl Table {
    /// Reads logs, each with its name and its text.
    pub fn of<'a>(logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut table = Self::default();
        let mut events = Vec::new();
        for (name, text) in logs {
            events.extend(table.read(name, text));
        }
        // Stable: lines of one log with the same time keep their order.
        events.sort_by_key(|(event, _)| event.at_ms);
        let start_ms = events.iter().find_map(|(event, _)| event.at_ms);
        let mut history = History::default();
        for (event, is_last) in &events {
            let Some(cause) = history.note(event, *is_last) else {
                continue;
            };
            let since_ms =
                event.at_ms.unwrap_or(0) - start_ms.unwrap_or(0).min(event.at_ms.unwrap_or(0));
            let from_s = since_ms / WINDOW_MS * WINDOW_MS / 1_000;
            let place = (event.route.clone(), event.zone.clone(), from_s, cause);
            *table.losses.entry(place).or_default() += 1;
        }
        table
    }

    /// The lines that matter of one log, and whether each is the last one on its request there.
    fn read(&mut self, name: &str, text: &str) -> Vec<(Event, bool)> {
        // A file may hold lines of several instances; one without a name is that of the file.
        let mut zones: HashMap<String, String> = HashMap::new();
        let mut events: Vec<Event> = Vec::new();
        for (index, text) in text.lines().enumerate() {
            if text.trim().is_empty() {
                continue;
            }
            let Some(line) = Line::parse(text) else {
                self.rejected.push(Rejected {
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
            let Some(event) = Event::of(&line, zone) else {
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
        let flags: Vec<bool> = numbered.iter().map(is_last).collect();
        numbered
            .into_iter()
            .map(|(_, event)| event)
            .zip(flags)
            .collect()
    }

    /// Requests that were lost for this cause.
    #[must_use]
    pub fn count(&self, cause: Cause) -> u64 {
        let of_cause = self.losses.iter().filter(|((_, _, _, of), _)| *of == cause);
        of_cause.map(|(_, requests)| requests).sum()
    }

    /// All losses.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.losses.values().sum()
    }

    /// The part of all lines on requests that the logs hold; the rest was left out under load.
    #[must_use]
    pub fn coverage(&self) -> f64 {
        let all = self.lines + self.lines_left_out;
        if all == 0 {
            return 1.0;
        }
        self.lines as f64 / all as f64
    }

    /// Lines that could not be read.
    #[must_use]
    pub fn rejected(&self) -> &[Rejected] {
        &self.rejected
    }

    /// A row for each route, zone, window and cause.
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

    fn by<'a, K: Ord>(&'a self, key: impl Fn(&'a Place) -> K) -> BTreeMap<K, BTreeMap<Cause, u64>> {
        let mut sums: BTreeMap<K, BTreeMap<Cause, u64>> = BTreeMap::new();
        for (place, requests) in &self.losses {
            *sums
                .entry(key(place))
                .or_default()
                .entry(place.3)
                .or_default() += requests;
        }
        sums
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.total().max(1) as f64;
        writeln!(f, "{:<28} {:>8} {:>6}", "cause", "requests", "share")?;
        let mut causes: Vec<(Cause, u64)> = self.by(|_| ()).into_values().flatten().collect();
        causes.sort_by_key(|(_, requests)| std::cmp::Reverse(*requests));
        for (cause, requests) in &causes {
            let share = *requests as f64 * 100.0 / total;
            writeln!(f, "{cause:<28} {requests:>8} {share:>5.1}%")?;
        }
        writeln!(f, "{:<28} {:>8}", "all", self.total())?;
        for (title, sums) in [
            ("route", self.by(|place| place.0.clone())),
            ("zone", self.by(|place| place.1.clone())),
        ] {
            writeln!(f, "\n{title}")?;
            for (name, causes) in sums {
                writeln!(f, "{name}: {}", listed(&causes))?;
            }
        }
        writeln!(f, "\nfrom second")?;
        for (from_s, causes) in self.windows() {
            writeln!(f, "{from_s}: {}", listed(&causes))?;
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

fn listed(causes: &BTreeMap<Cause, u64>) -> String {
    let mut causes: Vec<_> = causes.iter().collect();
    causes.sort_by_key(|(_, requests)| std::cmp::Reverse(**requests));
    let words = causes
        .iter()
        .map(|(cause, requests)| format!("{requests} {cause}"));
    words.collect::<Vec<_>>().join(", ")
}

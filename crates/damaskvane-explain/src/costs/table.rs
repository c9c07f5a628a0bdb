//! The table of costs.

use core::fmt;
use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::line::Line;
use crate::losses::Rejected;

/// The span of a window, in seconds.
const WINDOW_S: u64 = 5;

/// What was caused by instances of one zone in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The cause, as the instances name it.
    pub cause: String,
    /// The availability zone of the instances.
    pub zone: String,
    /// Seconds from the first line of all logs to the start of the window.
    pub from_s: u64,
    /// Bytes, calls or connections.
    pub count: u64,
}

/// What is known of an instance between two lines.
#[derive(Debug, Default)]
struct Instance {
    zone: String,
    told: HashMap<String, u64>,
}

/// What instances caused, by cause, zone and time.
#[derive(Debug, Default)]
pub struct Table {
    instances: HashMap<String, Instance>,
    counts: BTreeMap<(String, String, u64), u64>,
    first_ms: Option<u64>,
    lines: u64,
    rejected: Vec<Rejected>,
}

impl Table {
    /// Reads one line of a log; lines on other matters are passed over.
    pub fn read_line(&mut self, file: &str, number: usize, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        let read = Line::parse(text).is_some_and(|line| self.take(&line));
        if !read {
            self.rejected.push(Rejected {
                file: file.to_owned(),
                line: number,
            });
        }
    }

    /// Takes in a line; `false` if it tells of costs and can't be read.
    fn take(&mut self, line: &Line) -> bool {
        let Some(name) = line.text("instance") else {
            return !matches!(line.message(), "start" | "costs");
        };
        match line.message() {
            "start" => {
                // A new start counts anew.
                let instance = Instance {
                    zone: line.text("zone").unwrap_or("-").to_owned(),
                    told: HashMap::new(),
                };
                self.instances.insert(name.to_owned(), instance);
                self.window(line);
                true
            }
            "costs" => {
                let figures = line.text("figures").and_then(read_figures);
                let Some(figures) = figures else {
                    return false;
                };
                let from_s = self.window(line);
                self.lines += 1;
                self.add(name, from_s, figures);
                true
            }
            _ => true,
        }
    }

    fn window(&mut self, line: &Line) -> u64 {
        let at_ms = line.at_ms().unwrap_or_default();
        let first_ms = *self.first_ms.get_or_insert(at_ms);
        at_ms.saturating_sub(first_ms) / 1_000 / WINDOW_S * WINDOW_S
    }

    fn add(&mut self, name: &str, from_s: u64, figures: Vec<(String, u64)>) {
        let instance = self.instances.entry(name.to_owned()).or_default();
        for (cause, count) in figures {
            let told = instance.told.insert(cause.clone(), count);
            let more = count.saturating_sub(told.unwrap_or_default());
            if more > 0 {
                let place = (cause, instance.zone.clone(), from_s);
                *self.counts.entry(place).or_default() += more;
            }
        }
    }

    /// All that a cause has caused.
    #[must_use]
    pub fn total(&self, cause: &str) -> u64 {
        let of_cause = self.counts.iter().filter(|((of, _, _), _)| of == cause);
        of_cause.map(|(_, count)| count).sum()
    }

    /// Lines that could not be read.
    #[must_use]
    pub fn rejected(&self) -> &[Rejected] {
        &self.rejected
    }

    /// Lines on costs that were read.
    #[must_use]
    pub const fn lines(&self) -> u64 {
        self.lines
    }

    /// A row for each cause, zone and window.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.counts
            .iter()
            .map(|((cause, zone, from_s), count)| Row {
                cause: cause.clone(),
                zone: zone.clone(),
                from_s: *from_s,
                count: *count,
            })
    }

    fn by<K: Ord>(&self, key: impl Fn(&str, &str, u64) -> K) -> BTreeMap<K, u64> {
        let mut sums = BTreeMap::new();
        for ((cause, zone, from_s), count) in &self.counts {
            *sums.entry(key(cause, zone, *from_s)).or_default() += count;
        }
        sums
    }
}

fn read_figures(text: &str) -> Option<Vec<(String, u64)>> {
    let figures = text.split_whitespace().map(|figure| {
        let (cause, count) = figure.split_once('=')?;
        Some((cause.to_owned(), count.parse().ok()?))
    });
    figures.collect()
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<44} {:>14}", "cause", "count")?;
        for (cause, count) in self.by(|cause, _, _| cause.to_owned()) {
            writeln!(f, "{cause:<44} {count:>14}")?;
        }
        writeln!(f, "\n{:<44} {:>14}", "kind and zone", "count")?;
        let by_zone = self.by(|cause, zone, _| format!("{} {zone}", kind(cause)));
        for (place, count) in by_zone {
            writeln!(f, "{place:<44} {count:>14}")?;
        }
        writeln!(f, "\n{:<44} {:>14}", "kind and second", "count")?;
        let by_time = self.by(|cause, _, from_s| (kind(cause).to_owned(), from_s));
        for ((kind, from_s), count) in by_time {
            writeln!(f, "{:<44} {count:>14}", format!("{kind} {from_s}"))?;
        }
        write!(
            f,
            "\n{} lines of {} instances read",
            self.lines,
            self.instances.len()
        )
    }
}

/// The kind of a cause: bytes, calls or openings.
pub(super) fn kind(cause: &str) -> &str {
    cause.split('.').next().unwrap_or(cause)
}

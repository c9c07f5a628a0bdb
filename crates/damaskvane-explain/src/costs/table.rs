//! A table of the billed resources that instances used.

use core::fmt;
use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::line::Line;
use crate::losses::UnreadableLine;

/// Length of a window in seconds.
const WINDOW_S: u64 = 5;

/// The use of one resource by the instances of one zone in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Cause of the use, in the form in which instances log it, such as `calls.servers.list.ok`.
    pub cause: String,
    /// Availability zone of the instances.
    pub zone: String,
    /// Start of the window in seconds after the first line of all logs.
    pub from_s: u64,
    /// Number of bytes, store calls or opened connections.
    pub count: u64,
}

/// An instance's zone and the totals of its last line on costs.
#[derive(Debug, Default)]
struct Instance {
    zone: String,
    last_counts: HashMap<String, u64>,
}

/// Counts of used resources by cause, zone and window.
#[derive(Debug, Default)]
pub struct Table {
    instances: HashMap<String, Instance>,
    counts: BTreeMap<(String, String, u64), u64>,
    first_ms: Option<u64>,
    lines: u64,
    unreadable_lines: Vec<UnreadableLine>,
}

impl Table {
    /// Reads one line of a log and ignores lines that are neither on costs nor on an instance's start.
    pub fn read_line(&mut self, file: &str, number: usize, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        let read = Line::parse(text).is_some_and(|line| self.record_line(&line));
        if !read {
            self.unreadable_lines.push(UnreadableLine {
                file: file.to_owned(),
                line: number,
            });
        }
    }

    /// Records a line, and returns `false` if a line on costs or on a start lacks a field that the table needs.
    fn record_line(&mut self, line: &Line) -> bool {
        let Some(name) = line.text("instance") else {
            return !matches!(line.message(), "start" | "costs");
        };
        match line.message() {
            "start" => {
                // The totals of a restarted instance begin at zero.
                let instance = Instance {
                    zone: line.text("zone").unwrap_or("-").to_owned(),
                    last_counts: HashMap::new(),
                };
                self.instances.insert(name.to_owned(), instance);
                self.window_start_s(line);
                true
            }
            "costs" => {
                let figures = line.text("figures").and_then(read_figures);
                let Some(figures) = figures else {
                    return false;
                };
                let from_s = self.window_start_s(line);
                self.lines += 1;
                self.add_figures(name, from_s, figures);
                true
            }
            _ => true,
        }
    }

    /// Returns the start of the line's window in seconds, and makes the first recorded line the origin of all windows.
    fn window_start_s(&mut self, line: &Line) -> u64 {
        let at_ms = line.at_ms().unwrap_or_default();
        let first_ms = *self.first_ms.get_or_insert(at_ms);
        at_ms.saturating_sub(first_ms) / 1_000 / WINDOW_S * WINDOW_S
    }

    fn add_figures(&mut self, name: &str, from_s: u64, figures: Vec<(String, u64)>) {
        let instance = self.instances.entry(name.to_owned()).or_default();
        for (cause, count) in figures {
            let last_count = instance.last_counts.insert(cause.clone(), count);
            let increase = count.saturating_sub(last_count.unwrap_or_default());
            if increase > 0 {
                let key = (cause, instance.zone.clone(), from_s);
                *self.counts.entry(key).or_default() += increase;
            }
        }
    }

    /// Returns the count of a cause over all zones and windows.
    #[must_use]
    pub fn total(&self, cause: &str) -> u64 {
        let of_cause = self.counts.iter().filter(|((of, _, _), _)| of == cause);
        of_cause.map(|(_, count)| count).sum()
    }

    /// Returns the positions of the lines that could not be read.
    #[must_use]
    pub fn unreadable_lines(&self) -> &[UnreadableLine] {
        &self.unreadable_lines
    }

    /// Returns the number of lines on costs that were read.
    #[must_use]
    pub const fn lines(&self) -> u64 {
        self.lines
    }

    /// Returns a row for each cause, zone and window.
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

    fn sum_by<K: Ord>(&self, key: impl Fn(&str, &str, u64) -> K) -> BTreeMap<K, u64> {
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
        for (cause, count) in self.sum_by(|cause, _, _| cause.to_owned()) {
            writeln!(f, "{cause:<44} {count:>14}")?;
        }
        writeln!(f, "\n{:<44} {:>14}", "kind and zone", "count")?;
        let by_zone = self.sum_by(|cause, zone, _| format!("{} {zone}", kind(cause)));
        for (key, count) in by_zone {
            writeln!(f, "{key:<44} {count:>14}")?;
        }
        writeln!(f, "\n{:<44} {:>14}", "kind and second", "count")?;
        let by_time = self.sum_by(|cause, _, from_s| (kind(cause).to_owned(), from_s));
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

/// Returns the kind of a cause, which is the part before the first dot: `bytes`, `calls` or `openings`.
pub(super) fn kind(cause: &str) -> &str {
    cause.split('.').next().unwrap_or(cause)
}

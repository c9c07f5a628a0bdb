//! What a run measured, as JSON lines and as the measured part of the page.

use std::fs;

use serde::Deserialize;

use crate::capacity::{self, EventFigures, Quantity, Rates, Slope, SteadyFigures};
use crate::error::BenchError;
use crate::fit;

/// What was measured.
#[derive(Debug, Default)]
pub(super) struct Measured {
    pub(super) slopes: Vec<Slope>,
    pub(super) steady: SteadyFigures,
    pub(super) events: Option<Box<EventFigures>>,
}

/// A line that [`Measured::print_json`] printed.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Line {
    Slope {
        quantity: String,
        points: Vec<fit::Point>,
    },
    Rest {
        steady: SteadyFigures,
        events: Option<Box<EventFigures>>,
    },
}

impl Measured {
    /// Reads what earlier runs printed; of two measurements of the same, the later file counts.
    pub(super) fn read(files: &[String]) -> Result<Self, BenchError> {
        let mut measured = Self::default();
        for file in files {
            let text = fs::read_to_string(file).map_err(|cause| BenchError::file(file, &cause))?;
            for line in text.lines() {
                let line = serde_json::from_str(line);
                measured.take(line.map_err(|cause| BenchError::file(file, &cause))?);
            }
        }
        Ok(measured)
    }

    fn take(&mut self, line: Line) {
        match line {
            Line::Slope { quantity, points } => {
                self.slopes.retain(|slope| slope.quantity.key != quantity);
                let quantity = Quantity::named(&quantity);
                self.slopes
                    .extend(quantity.map(|quantity| Slope::new(quantity, points)));
            }
            Line::Rest { steady, events } => {
                if !steady.shapes.is_empty() {
                    self.steady = steady;
                }
                self.events = events.or(self.events.take());
            }
        }
    }

    /// Prints a line for each slope and one for the rest.
    pub(super) fn print_json(&self) {
        for slope in &self.slopes {
            println!("{}", slope.to_json());
        }
        let rest = serde_json::json!({ "steady": self.steady, "events": self.events });
        println!("{rest}");
    }

    /// The measured part of the page.
    pub(super) fn text(&self) -> String {
        let mut text = capacity::table(&self.slopes);
        text.push_str(&self.kinds_table());
        if let Some(events) = &self.events {
            text.push_str(&events_table(events));
        }
        text
    }

    fn kinds_table(&self) -> String {
        if self.steady.shapes.is_empty() {
            return String::new();
        }
        let mut text =
            "\nControl bytes a second of one instance by message kind, sent / received:\n\n"
                .to_owned();
        text.push_str("| regions x zones x instances | daemons | kinds |\n|---|---|---|\n");
        for (shape, rates) in &self.steady.shapes {
            let busy = rates
                .kinds
                .iter()
                .filter(|(_, (sent, received))| sent + received >= 1.0);
            let kinds: Vec<String> = busy
                .map(|(kind, (sent, received))| format!("{kind} {sent:.0} / {received:.0}"))
                .collect();
            text.push_str(&format!(
                "| {}x{}x{} | {} | {} |\n",
                shape.regions,
                shape.zones,
                shape.entries,
                shape.daemons(),
                kinds.join(", ")
            ));
        }
        text
    }
}

fn events_table(events: &EventFigures) -> String {
    let mut text = format!("\nEvents on a fleet of {} daemons:\n\n", events.daemons);
    text.push_str("| event | relay B/s | other B/s | busiest B/s | store reads/s | store writes/s | most store calls in a second |\n|---|---|---|---|---|---|---|\n");
    let rows = [
        ("steady state".to_owned(), &events.steady, None),
        (
            format!("zone of {} lost, 10 s after", events.lost),
            &events.after_loss,
            Some(events.loss_peak_calls),
        ),
        (
            format!("store back after {:.0} s, 10 s after", events.outage_s),
            &events.after_return,
            Some(events.return_peak_calls),
        ),
        (
            format!(
                "{} restarted in turn, {:.0} ms each",
                events.rolled, events.restart_ms
            ),
            &events.rolling,
            Some(events.rolling_peak_calls),
        ),
    ];
    for (title, rates, peak) in rows {
        text.push_str(&event_row(&title, rates, peak));
    }
    text
}

fn event_row(title: &str, rates: &Rates, peak: Option<f64>) -> String {
    format!(
        "| {title} | {} | {} | {:.0} | {:.1} | {:.1} | {} |\n",
        optional(rates.control_relay),
        optional(rates.control_other),
        rates.control_max,
        rates.store_reads,
        rates.store_writes,
        optional(peak),
    )
}

fn optional(value: Option<f64>) -> String {
    value.map_or("none".to_owned(), |value| format!("{value:.0}"))
}

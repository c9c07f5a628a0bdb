//! The `capacity` sub-command.

use std::fs;
use std::process;
use std::time::Duration;

use damaskvane_telemetry::command_line;

use crate::arguments;
use crate::capacity::measured::Measured;
use crate::capacity::{self, Shape};
use crate::cluster::children;
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench capacity: the slopes behind docs/CAPACITY.md, with the real programs

  --parts A,...      steady, changes, blocks, declared, load, events [all]
  --shapes RxZxE,... fleets: regions, zones in each, instances in each zone
                     [3x2x1,3x2x2,5x2x4,1x1x19,8x3x2,5x3x8,8x3x11]
  --seconds N        how long each size is measured [10]
  --objects N,...    objects in a ticket [1,10,100,1000]
  --blocks N,...     client blocks [10000,100000,1000000,3600000]
  --declared N,...   client blocks declared by name [10000,30000,50000,70000]
  --lookups N,...    look-ups a second at one daemon [1,500,1000,2000]
  --requests N,...   requests a second at each of two daemons [1,50,100,200]
  --fleet RxZxE      the fleet for events [5x2x4]
  --outage-s N       how long the store is cut [10]
  --from FILE,...    takes what earlier runs printed with --json in place of measuring
  --page FILE        writes the measured table between the page's markers
  --seed N, --json, --help, --version

At most 300 processes; a fleet of 264 daemons takes a minute.";

const FLAGS: [&str; 12] = [
    "--parts",
    "--shapes",
    "--seconds",
    "--objects",
    "--blocks",
    "--declared",
    "--lookups",
    "--requests",
    "--fleet",
    "--outage-s",
    "--from",
    "--page",
];
/// The most daemons of one fleet, so that all processes stay under 300.
const MOST_DAEMONS: usize = 280;
/// The fleets measured by default: 6, 12, 40, 19, 48, 120 and 264 daemons. The fourth has a zone of the
/// target's size, the fifth and the last as many zones as the target.
const SHAPES: [Shape; 7] = [
    shape(3, 2, 1),
    shape(3, 2, 2),
    shape(5, 2, 4),
    shape(1, 1, 19),
    shape(8, 3, 2),
    shape(5, 3, 8),
    shape(8, 3, 11),
];
const PARTS: [&str; 6] = ["steady", "changes", "blocks", "declared", "load", "events"];

const fn shape(regions: usize, zones: usize, entries: usize) -> Shape {
    Shape {
        regions,
        zones,
        entries,
    }
}

#[derive(Debug)]
struct Settings {
    parts: Vec<String>,
    shapes: Vec<Shape>,
    seconds: u64,
    objects: Vec<usize>,
    blocks: Vec<u32>,
    declared: Vec<u32>,
    lookups: Vec<u64>,
    requests: Vec<u64>,
    fleet: Shape,
    outage_s: u64,
    from: Vec<String>,
    page: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            parts: PARTS.map(str::to_owned).to_vec(),
            shapes: SHAPES.to_vec(),
            seconds: 10,
            objects: vec![1, 10, 100, 1_000],
            blocks: vec![10_000, 100_000, 1_000_000, 3_600_000],
            declared: vec![10_000, 30_000, 50_000, 70_000],
            lookups: vec![1, 500, 1_000, 2_000],
            requests: vec![1, 50, 100, 200],
            fleet: SHAPES[2],
            outage_s: 10,
            from: Vec::new(),
            page: None,
        }
    }
}

/// Measures the parts and prints each slope.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut settings = Settings::default();
    let shared = arguments::parse(parser, &FLAGS, |flag, parser| {
        set(&mut settings, flag, parser)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    children::end_with_this_process().map_err(|cause| BenchError::file("signals", &cause))?;
    check(&settings)?;
    let measured = if settings.from.is_empty() {
        measure(&settings)?
    } else {
        Measured::read(&settings.from)?
    };
    if shared.json {
        measured.print_json();
    } else {
        print!("{}", measured.text());
    }
    if let Some(page) = &settings.page {
        write_page(page, &measured)?;
    }
    let over = measured
        .slopes
        .iter()
        .any(|slope| slope.within_budget() == Some(false));
    Ok(process::ExitCode::from(u8::from(over)))
}

fn set(
    settings: &mut Settings,
    flag: &str,
    parser: &mut lexopt::Parser,
) -> Result<bool, command_line::UsageError> {
    match flag {
        "parts" => settings.parts = arguments::values(parser)?,
        "shapes" => settings.shapes = arguments::values(parser)?,
        "seconds" => settings.seconds = arguments::value(parser)?,
        "objects" => settings.objects = arguments::values(parser)?,
        "blocks" => settings.blocks = arguments::values(parser)?,
        "declared" => settings.declared = arguments::values(parser)?,
        "lookups" => settings.lookups = arguments::values(parser)?,
        "requests" => settings.requests = arguments::values(parser)?,
        "fleet" => settings.fleet = arguments::value(parser)?,
        "outage-s" => settings.outage_s = arguments::value(parser)?,
        "from" => settings.from = arguments::values(parser)?,
        "page" => settings.page = Some(arguments::value(parser)?),
        _ => return Ok(false),
    }
    Ok(true)
}

fn check(settings: &Settings) -> Result<(), command_line::UsageError> {
    let malformed = |text: String| Err(command_line::UsageError::Malformed(text));
    if let Some(part) = settings
        .parts
        .iter()
        .find(|part| !PARTS.contains(&part.as_str()))
    {
        return malformed(format!("{part:?} is no part; write {}", PARTS.join(", ")));
    }
    let shapes = settings.shapes.iter().chain([&settings.fleet]);
    let largest = shapes.map(|shape| shape.daemons()).max();
    if largest.is_some_and(|largest| largest > MOST_DAEMONS) {
        return malformed(format!(
            "at most {MOST_DAEMONS} daemons, to stay under 300 processes"
        ));
    }
    Ok(())
}

fn measure(settings: &Settings) -> Result<Measured, BenchError> {
    let wanted = |part: &str| settings.parts.iter().any(|wanted| wanted == part);
    let mut measured = Measured::default();
    if wanted("blocks") {
        measured
            .slopes
            .extend(capacity::measure_blocks(&settings.blocks)?);
    }
    if wanted("declared") {
        measured
            .slopes
            .extend(capacity::measure_declared(&settings.declared)?);
    }
    if wanted("load") {
        let slopes =
            capacity::measure_load(&settings.lookups, &settings.requests, settings.seconds)?;
        measured.slopes.extend(slopes);
    }
    if wanted("changes") {
        measured
            .slopes
            .extend(capacity::measure_changes(&settings.objects)?);
    }
    if wanted("events") {
        let outage = Duration::from_secs(settings.outage_s);
        measured.events = Some(Box::new(capacity::measure_events(settings.fleet, outage)?));
    }
    if wanted("steady") {
        measured.steady = capacity::measure_steady(&settings.shapes, settings.seconds)?;
        measured.slopes.extend(measured.steady.slopes());
    }
    Ok(measured)
}

fn write_page(file: &str, measured: &Measured) -> Result<(), BenchError> {
    let page = fs::read_to_string(file).map_err(|cause| BenchError::file(file, &cause))?;
    let page = capacity::rewrite(&page, &measured.text());
    let page = page.ok_or_else(|| BenchError::file(file, &"the page lacks its two markers"))?;
    fs::write(file, page).map_err(|cause| BenchError::file(file, &cause))
}

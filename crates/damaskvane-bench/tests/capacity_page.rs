//! docs/CAPACITY.md has the shape that `damaskvane-bench capacity --page` writes; its figures may differ.

use std::fs;
use std::path::Path;

use damaskvane_bench::capacity;

const ROLES: [&str; 8] = [
    "entry serving look-ups",
    "entry dispatching",
    "owner",
    "relay",
    "digest aggregator",
    "booting instance",
    "operator's command",
    "store",
];
const SITUATIONS: [&str; 4] = [
    "steady state",
    "minute after a rack, zone or region is lost",
    "store back after an hour",
    "rolling upgrade",
];

fn page() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    fs::read_to_string(file).expect("docs/CAPACITY.md")
}

fn measured(page: &str) -> &str {
    let (_, rest) = page
        .split_once(capacity::PAGE_BEGIN)
        .expect("the first marker");
    let (measured, _) = rest
        .split_once(capacity::PAGE_END)
        .expect("the second marker");
    measured
}

fn cells(row: &str) -> usize {
    row.matches('|').count()
}

#[test]
fn the_measured_table_has_a_row_for_each_quantity() {
    let page = page();
    let measured = measured(&page);
    let head = measured
        .lines()
        .position(|line| line == capacity::TABLE_HEAD);
    let rows: Vec<&str> = measured
        .lines()
        .skip(head.expect("the head of the table") + 2)
        .take_while(|line| line.starts_with('|'))
        .collect();
    let remedy = "run `damaskvane-bench capacity --page docs/CAPACITY.md`";
    assert_eq!(rows.len(), capacity::QUANTITIES.len(), "{remedy}");
    for (row, quantity) in rows.iter().zip(capacity::QUANTITIES) {
        let title = format!("| {} ({}) |", quantity.title, quantity.unit);
        assert!(row.starts_with(&title), "{row}: {remedy}");
        assert_eq!(cells(row), cells(capacity::TABLE_HEAD), "{row}: {remedy}");
    }
}

#[test]
fn each_role_has_a_row_in_the_page() {
    let page = page();
    let head = page
        .lines()
        .find(|line| line.starts_with("| role |"))
        .expect("the table of roles");
    for situation in SITUATIONS {
        assert!(head.contains(situation), "no column {situation:?}");
    }
    for role in ROLES {
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| {role} |")));
        let row = row.unwrap_or_else(|| panic!("no row for {role:?}"));
        assert_eq!(cells(row), cells(head), "{row}");
    }
}

#[test]
fn a_table_of_nothing_says_that_nothing_was_measured() {
    let table = capacity::table(&[]);
    assert_eq!(
        table.matches("| not measured |").count(),
        2 * capacity::QUANTITIES.len()
    );
}

#[test]
fn a_page_without_markers_is_not_rewritten() {
    assert_eq!(capacity::rewrite("# Capacity\n", "table"), None);
    let page = format!(
        "a\n{}\nold\n{}\nb\n",
        capacity::PAGE_BEGIN,
        capacity::PAGE_END
    );
    let once = capacity::rewrite(&page, "new").expect("both markers");
    assert_eq!(
        capacity::rewrite(&once, "new").as_deref(),
        Some(once.as_str())
    );
}

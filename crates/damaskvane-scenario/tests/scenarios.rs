//! Runs every script under `scenarios/`; the first lines of each script describe how the failure comes about
//! and what a user notices.

use std::{fs, path};

use damaskvane_scenario::{play, script};

fn plays(path: &path::Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let file = path.file_name().map(|name| name.to_string_lossy());
    let file = file.unwrap_or_default();
    assert!(
        text.starts_with('#'),
        "{file}: open with a comment on how the failure comes about"
    );
    let script = script::Script::read(&file, &text)?;
    play::play(&script)?;
    Ok(())
}

datatest_stable::harness! {
    { test = plays, root = "../../scenarios", pattern = r"^.*\.scn$" },
}

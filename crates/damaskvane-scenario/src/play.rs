//! Plays a script in a world.
//!
//! ```
//! use damaskvane_scenario::{play, script};
//!
//! let script = script::Script::read("a.scn", "expect runs k1 = 1\n")?;
//! let failure = play::play(&script).unwrap_err();
//! assert!(failure.to_string().contains("a.scn:1"));
//! # Ok::<(), script::ScriptError>(())
//! ```

mod check;

use damaskvane_core::time;

use crate::script;
use crate::world;

/// Until every backend server has an owner that has heard the others.
const SETTLING: time::SpanMs = time::SpanMs::new(8_000);

/// {file}:{line}: {text}: {found}; read the scenario's comments and the decision code it names
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Failure {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The statement.
    pub text: String,
    /// What was found in place of what it says.
    pub found: String,
}

/// Plays a script; after each statement no promise may be broken.
///
/// # Errors
///
/// The first statement that was not fulfilled, with what was found.
pub fn play(script: &script::Script) -> Result<(), Failure> {
    let mut world = world::World::default();
    let mut is_settled = false;
    for line in &script.lines {
        let is_set_up = matches!(line.statement, script::Statement::SetUp(_));
        if !is_set_up && !is_settled {
            world.advance(SETTLING);
            is_settled = true;
        }
        let found = step(&mut world, &line.statement)
            .err()
            .or_else(|| world.violations().into_iter().next());
        if let Some(found) = found {
            return Err(Failure {
                file: script.file.clone(),
                line: line.number,
                text: line.text.clone(),
                found,
            });
        }
    }
    Ok(())
}

fn step(world: &mut world::World, statement: &script::Statement) -> Result<(), String> {
    match statement {
        script::Statement::SetUp(set_up) => world.set_up(set_up.clone()),
        script::Statement::Request(request) => world.send(request),
        script::Statement::Disconnect(label) => world.disconnect(label),
        script::Statement::Fault(fault) => world.inject_fault(fault),
        script::Statement::Control(control) => world.apply_control(control),
        script::Statement::Advance(span) => world.advance(*span),
        script::Statement::Expect(expectation) => check::check(world, expectation)?,
    }
    Ok(())
}

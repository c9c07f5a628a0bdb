//! Runs a parsed script in a simulated world and reports the first statement that fails.
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

/// Virtual time after the set-up until each backend server has an owner that has received messages of the
/// other instances.
const SETTLING_TIME: time::SpanMs = time::SpanMs::new(8_000);

/// {file}:{line}: {text}: {found}; read the scenario's comments and the decision code it names
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Failure {
    /// The file name of the scenario.
    pub file: String,
    /// The line number of the failed statement, counted from 1.
    pub line: usize,
    /// The text of the failed statement, without surrounding white space.
    pub text: String,
    /// The value found instead of the expected one, or the violated guarantee.
    pub found: String,
}

/// Runs the statements of a script in order and checks all guarantees after each statement.
///
/// # Errors
///
/// Returns the first statement whose expectation is not met or after which a guarantee is violated.
pub fn play(script: &script::Script) -> Result<(), Failure> {
    let mut world = world::World::default();
    let mut is_settled = false;
    for line in &script.lines {
        let is_set_up = matches!(line.statement, script::Statement::SetUp(_));
        if !is_set_up && !is_settled {
            world.advance(SETTLING_TIME);
            is_settled = true;
        }
        let found = execute(&mut world, &line.statement)
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

fn execute(world: &mut world::World, statement: &script::Statement) -> Result<(), String> {
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

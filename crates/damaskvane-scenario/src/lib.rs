//! The scenario language and its runner over the pure decision code, in virtual time.
//!
//! # Crate guide
//!
//! - [`script`]: the language; `docs/SCENARIOS.md` describes it.
//! - [`world`]: the runner: real engines and memberships, fakes at their interfaces.
//! - [`play`]: plays a script in a world and says what was not as expected.
//! - [`random`]: seeded random traffic and faults in the same world.
//!
//! ```
//! use damaskvane_scenario::{play, script};
//!
//! let script = script::Script::read("empty.scn", "advance 100ms\n")?;
//! assert!(play::play(&script).is_ok());
//! # Ok::<(), script::ScriptError>(())
//! ```

pub mod play;
pub mod random;
pub mod script;
pub mod world;

//! Failure scenarios: a script language and a simulator that runs the decision code in virtual time.
//!
//! # Crate guide
//!
//! - [`script`]: parses the language, which `docs/SCENARIOS.md` describes.
//! - [`world`]: simulates entry instances with their real engines and memberships, behind fake interfaces.
//! - [`play`]: runs a script in a world and reports the first expectation that is not met.
//! - [`random`]: generates seeded random traffic and faults in the same world.
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

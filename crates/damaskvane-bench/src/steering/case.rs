//! One run of the experiment.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! assert_eq!(steering::Length::default().run_s, 120);
//! ```

use crate::steering::deployment::DeploymentName;
use crate::steering::fault::Fault;
use crate::steering::strategy::Strategy;

/// One run: where, how, under which fault and load, with which seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// The deployment.
    pub deployment: DeploymentName,
    /// How look-ups are answered.
    pub strategy: Strategy,
    /// What goes wrong.
    pub fault: Fault,
    /// Demand in hundredths of all declared capacity.
    pub load_percent: u32,
    /// The seed of everything random.
    pub seed: u64,
}

/// How long a run is, in virtual seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Length {
    /// Before measuring starts.
    pub warm_s: u64,
    /// The whole run.
    pub run_s: u64,
}

impl Default for Length {
    fn default() -> Self {
        Self {
            warm_s: 20,
            run_s: 120,
        }
    }
}

//! Observed run times by workspace and kind.
//!
//! Declared run times are often inaccurate, so the planner uses the 90th percentile of the observed
//! run times and falls back to the declared time only before the first observation.
//!
//! ```
//! use godwitstep_core::estimate::Estimates;
//! use std::time::Duration;
//!
//! let mut estimates = Estimates::default();
//! estimates.observe("council", "pattern-nesting", Duration::from_secs(40));
//! let run = estimates.run_time("council", "pattern-nesting", Some(1));
//! assert_eq!(run, Some(Duration::from_secs(40)));
//! ```

use crate::id::Name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of observations for each kind: enough for a 90th percentile that follows changes
/// within a shift.
const MAX_OBSERVATIONS: usize = 32;

/// Observed run times by workspace and kind. See the [module](self) page.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    observed: BTreeMap<Name, BTreeMap<Name, VecDeque<Duration>>>,
}

impl Estimates {
    /// Records the run time of a completed job.
    pub fn observe(&mut self, workspace: &str, kind: &str, run: Duration) {
        let kinds = self.observed.entry(workspace.into()).or_default();
        let times = kinds.entry(kind.into()).or_default();
        if times.len() == MAX_OBSERVATIONS {
            times.pop_front();
        }
        times.push_back(run);
    }

    /// Returns the 90th percentile of the observed run times, or the declared run time (unit:
    /// seconds) if nothing was observed.
    #[must_use]
    pub fn run_time(&self, workspace: &str, kind: &str, declared: Option<u64>) -> Option<Duration> {
        let kinds = self.observed.get(workspace);
        let Some(times) = kinds.and_then(|kinds| kinds.get(kind)) else {
            return declared.map(Duration::from_secs);
        };
        let mut sorted: Vec<_> = times.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get((sorted.len() * 9).div_ceil(10) - 1).copied()
    }
}

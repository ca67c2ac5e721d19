//! Faults in declared resources, all of them found at once.

use super::{
    Domain, Guarantee, Job, Kind, MAX_DURATION, MAX_NAME, MAX_OBJECTIVE, MAX_TASK_ACCELERATORS,
    MAX_TASKS, Shape, Workspace,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

const MAX_GUARANTEE_COUNT: u32 = 4_096;
const MAX_QUEUED: u32 = 100_000;
const MAX_KINDS: usize = 64;
const MAX_GUARANTEES: usize = 64;

/// One value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// JSON path of the value, from the root of the document.
    pub path: String,
    /// The value as given.
    pub value: String,
    /// What would be allowed.
    pub allowed: String,
}

impl Fault {
    /// Returns a fault at a path.
    #[must_use]
    pub fn new(
        path: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} is not allowed; allowed: {}",
            self.path, self.value, self.allowed
        )
    }
}

/// Checks a name of a resource or machine.
#[must_use]
pub fn name(path: &str, value: &str) -> Option<Fault> {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let fits = !value.is_empty() && value.len() <= MAX_NAME && value.bytes().all(legal);
    (!fits).then(|| {
        Fault::new(
            path,
            format!("{value:?}"),
            "1 to 128 letters, digits, '-', '_' or '.'",
        )
    })
}

fn range<T: PartialOrd + fmt::Display + Copy>(
    faults: &mut Vec<Fault>,
    path: &str,
    value: T,
    low: T,
    high: T,
) {
    if value < low || value > high {
        faults.push(Fault::new(path, value, format!("{low} to {high}")));
    }
}

impl Shape {
    fn check(&self, at: &str, faults: &mut Vec<Fault>) {
        range(faults, &format!("{at}.tasks"), self.tasks, 1, MAX_TASKS);
        range(
            faults,
            &format!("{at}.accelerators"),
            self.accelerators,
            1,
            MAX_TASK_ACCELERATORS,
        );
    }
}

impl Guarantee {
    fn check(&self, at: &str, faults: &mut Vec<Fault>) {
        self.shape.check(&format!("{at}.shape"), faults);
        range(
            faults,
            &format!("{at}.count"),
            self.count,
            1,
            MAX_GUARANTEE_COUNT,
        );
    }
}

impl Kind {
    fn check(&self, at: &str, faults: &mut Vec<Fault>) {
        faults.extend(name(&format!("{at}.name"), &self.name));
        let most = u64::try_from(MAX_OBJECTIVE.as_millis()).unwrap_or(u64::MAX);
        range(
            faults,
            &format!("{at}.objective_ms"),
            self.objective_ms,
            1,
            most,
        );
        if !self.refund.is_finite() || self.refund < 0.0 {
            faults.push(Fault::new(
                format!("{at}.refund"),
                self.refund,
                "a number of at least 0",
            ));
        }
    }
}

impl Workspace {
    /// Returns every fault of the spec, with paths from its root `spec`.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        range(
            &mut faults,
            "spec.kinds.length",
            self.kinds.len(),
            1,
            MAX_KINDS,
        );
        range(
            &mut faults,
            "spec.guarantees.length",
            self.guarantees.len(),
            0,
            MAX_GUARANTEES,
        );
        range(
            &mut faults,
            "spec.max_queued",
            self.max_queued,
            1,
            MAX_QUEUED,
        );
        let mut seen = BTreeSet::new();
        for (index, kind) in self.kinds.iter().enumerate() {
            kind.check(&format!("spec.kinds[{index}]"), &mut faults);
            if !seen.insert(&kind.name) {
                faults.push(Fault::new(
                    format!("spec.kinds[{index}].name"),
                    &kind.name,
                    "a name not used before",
                ));
            }
        }
        for (index, guarantee) in self.guarantees.iter().enumerate() {
            guarantee.check(&format!("spec.guarantees[{index}]"), &mut faults);
        }
        faults
    }
}

impl Domain {
    /// Returns every fault of the spec, with paths from its root `spec`.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        name("spec.region", &self.region).into_iter().collect()
    }
}

impl Job {
    /// Returns every fault of the spec, with paths from its root `spec`.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        faults.extend(name("spec.workspace", &self.workspace));
        faults.extend(name("spec.kind", &self.kind));
        self.shape.check("spec.shape", &mut faults);
        for (field, value) in [("run_s", self.run_s), ("deadline_s", self.deadline_s)] {
            if let Some(seconds) = value {
                range(
                    &mut faults,
                    &format!("spec.{field}"),
                    seconds,
                    1,
                    MAX_DURATION.as_secs(),
                );
            }
        }
        faults
    }
}

//! Validation of specs. Each check reports all invalid values at once.

use super::{
    Domain, Guarantee, Job, Kind, MAX_DURATION, MAX_NAME_BYTES, MAX_OBJECTIVE,
    MAX_TASK_ACCELERATORS, MAX_TASKS, Shape, Workspace,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

const MAX_GUARANTEE_COUNT: u32 = 4_096;
const MAX_QUEUED: u32 = 100_000;
const MAX_KINDS: usize = 64;
const MAX_GUARANTEES: usize = 64;

/// An invalid value in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// JSON path of the value, from the root of the document.
    pub path: String,
    /// The invalid value as given.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Fault {
    /// Returns a fault for the value at a path.
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

/// Validates the name of a resource or machine. Returns a fault if it is invalid.
#[must_use]
pub fn check_name(path: &str, value: &str) -> Option<Fault> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid = !value.is_empty() && value.len() <= MAX_NAME_BYTES && value.bytes().all(is_allowed);
    (!valid).then(|| {
        Fault::new(
            path,
            format!("{value:?}"),
            "1 to 128 letters, digits, '-', '_' or '.'",
        )
    })
}

fn check_range<T: PartialOrd + fmt::Display + Copy>(
    faults: &mut Vec<Fault>,
    path: &str,
    value: T,
    min: T,
    max: T,
) {
    if value < min || value > max {
        faults.push(Fault::new(path, value, format!("{min} to {max}")));
    }
}

impl Shape {
    fn add_faults(&self, path: &str, faults: &mut Vec<Fault>) {
        check_range(faults, &format!("{path}.tasks"), self.tasks, 1, MAX_TASKS);
        check_range(
            faults,
            &format!("{path}.accelerators"),
            self.accelerators,
            1,
            MAX_TASK_ACCELERATORS,
        );
    }
}

impl Guarantee {
    fn add_faults(&self, path: &str, faults: &mut Vec<Fault>) {
        self.shape.add_faults(&format!("{path}.shape"), faults);
        check_range(
            faults,
            &format!("{path}.count"),
            self.count,
            1,
            MAX_GUARANTEE_COUNT,
        );
    }
}

impl Kind {
    fn add_faults(&self, path: &str, faults: &mut Vec<Fault>) {
        faults.extend(check_name(&format!("{path}.name"), &self.name));
        let max_ms = u64::try_from(MAX_OBJECTIVE.as_millis()).unwrap_or(u64::MAX);
        check_range(
            faults,
            &format!("{path}.objective_ms"),
            self.objective_ms,
            1,
            max_ms,
        );
        if !self.refund.is_finite() || self.refund < 0.0 {
            faults.push(Fault::new(
                format!("{path}.refund"),
                self.refund,
                "a number of at least 0",
            ));
        }
    }
}

impl Workspace {
    /// Returns all faults of the spec, with paths from its root `spec`.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_range(
            &mut faults,
            "spec.kinds.length",
            self.kinds.len(),
            1,
            MAX_KINDS,
        );
        check_range(
            &mut faults,
            "spec.guarantees.length",
            self.guarantees.len(),
            0,
            MAX_GUARANTEES,
        );
        check_range(
            &mut faults,
            "spec.max_queued",
            self.max_queued,
            1,
            MAX_QUEUED,
        );
        let mut names = BTreeSet::new();
        for (index, kind) in self.kinds.iter().enumerate() {
            kind.add_faults(&format!("spec.kinds[{index}]"), &mut faults);
            if !names.insert(&kind.name) {
                faults.push(Fault::new(
                    format!("spec.kinds[{index}].name"),
                    &kind.name,
                    "a name not used before",
                ));
            }
        }
        for (index, guarantee) in self.guarantees.iter().enumerate() {
            guarantee.add_faults(&format!("spec.guarantees[{index}]"), &mut faults);
        }
        faults
    }
}

impl Domain {
    /// Returns all faults of the spec, with paths from its root `spec`.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        check_name("spec.region", &self.region)
            .into_iter()
            .collect()
    }
}

impl Job {
    /// Returns all faults of the spec, with paths from its root `spec`.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        faults.extend(check_name("spec.workspace", &self.workspace));
        faults.extend(check_name("spec.kind", &self.kind));
        self.shape.add_faults("spec.shape", &mut faults);
        for (field, value) in [("run_s", self.run_s), ("deadline_s", self.deadline_s)] {
            if let Some(seconds) = value {
                check_range(
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

//! Scenario files: a deployment, its work, and the departures of failure domains.

use godwitstep_core::id::{DomainId, KindId, WorkspaceId};
use godwitstep_core::resource::{Shape, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A scenario. Its fields are documented in `examples/scenarios/README.md`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, for reports.
    pub name: String,
    /// Length of the shift in which jobs arrive. Unit: seconds.
    pub duration_s: u64,
    /// Longest time after the shift in which jobs may end. Unit: seconds.
    pub drain_s: u64,
    /// Failure domains in the order in which they are filled.
    pub domains: Vec<Site>,
    /// Workers in each rack.
    pub workers_per_rack: u32,
    /// Accelerators of each worker.
    pub accelerators: u32,
    /// One-way latency of messages. Unit: milliseconds.
    pub latency_ms: u64,
    /// Longest time of an append to the log. Unit: milliseconds.
    pub append_ms: u64,
    /// Longest time that saving a job's state takes. Unit: milliseconds.
    pub checkpoint_ms: u64,
    /// Declared workspaces.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Streams of jobs.
    pub streams: Vec<Stream>,
    /// Departures of failure domains.
    pub departures: Vec<Departure>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: DomainId,
    /// Its workers.
    pub workers: u32,
}

/// Jobs of one form that arrive at random.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Workspace that submits them.
    pub workspace: WorkspaceId,
    /// Their kind, declared by the workspace.
    pub kind: KindId,
    /// Their shape.
    pub shape: Shape,
    /// Mean time between arrivals. Unit: seconds.
    pub every_s: f64,
    /// Jobs that arrive together.
    #[serde(default = "one")]
    pub burst: u32,
    /// Median of their true run times. Unit: seconds.
    pub run_p50_s: f64,
    /// Ratio of the 84th percentile of the run times to the median; 1 for equal run times.
    pub run_spread: f64,
    /// Least and greatest ratio of declared to true run times.
    pub declared: [f64; 2],
    /// Time from acceptance within which a job should end. Unit: seconds.
    #[serde(default)]
    pub deadline_s: Option<u64>,
    /// Whether jobs can be saved and continued elsewhere.
    #[serde(default)]
    pub checkpointable: bool,
    /// Whether jobs may be stopped to make room.
    #[serde(default)]
    pub preemptible: bool,
    /// Whether a run that was cut off may be started again.
    #[serde(default)]
    pub idempotent: bool,
}

/// A failure domain that leaves service and returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Departure {
    /// The failure domain.
    pub domain: DomainId,
    /// When it leaves. Unit: seconds.
    pub at_s: u64,
    /// When it returns. Unit: seconds.
    pub back_s: u64,
}

const fn one() -> u32 {
    1
}

/// Why a scenario can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON of a scenario.
    #[error("scenario can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Fields contradict each other.
    #[error("{path} is not allowed: {why}")]
    Invalid {
        /// Path of the field.
        path: String,
        /// What is wrong with it.
        why: &'static str,
    },
}

impl Scenario {
    /// Reads a scenario from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a scenario or if a name in it is not declared.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let scenario: Self = serde_json::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), Error> {
        let invalid = |path: String, why| Err(Error::Invalid { path, why });
        for (name, workspace) in &self.workspaces {
            if !workspace.faults().is_empty() {
                return invalid(format!("workspaces.{name}"), "not a workspace's spec");
            }
        }
        for (number, stream) in self.streams.iter().enumerate() {
            let path = format!("streams[{number}]");
            let workspace = self.workspaces.get(&stream.workspace);
            if workspace.is_none_or(|workspace| workspace.kind(&stream.kind).is_none()) {
                return invalid(path, "the workspace does not declare the kind");
            }
            if stream.every_s <= 0.0 || stream.run_p50_s <= 0.0 || stream.run_spread < 1.0 {
                return invalid(path, "times must be positive and the spread at least 1");
            }
        }
        for (number, departure) in self.departures.iter().enumerate() {
            let path = format!("departures[{number}]");
            let known = self
                .domains
                .iter()
                .any(|site| site.name == departure.domain);
            if !known || departure.back_s <= departure.at_s {
                return invalid(path, "needs a declared domain and a later return");
            }
        }
        Ok(())
    }
}

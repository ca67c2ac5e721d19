//! Scenario files: a deployment, its workload, and the departures of failure domains.

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
    /// Time in which jobs arrive. Unit: seconds.
    pub duration_s: u64,
    /// Longest time after `duration_s` that remaining jobs have to end. Unit: seconds.
    pub drain_s: u64,
    /// Failure domains, in the order in which they are filled.
    pub domains: Vec<FailureDomain>,
    /// Number of workers in each rack.
    pub workers_per_rack: u32,
    /// Number of accelerators of each worker.
    pub accelerators: u32,
    /// One-way latency of messages. Unit: milliseconds.
    pub latency_ms: u64,
    /// Longest time of an append to the log. Unit: milliseconds.
    pub append_ms: u64,
    /// Longest time to checkpoint a job. Unit: milliseconds.
    pub checkpoint_ms: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Streams of arriving jobs.
    pub streams: Vec<Stream>,
    /// Departures of failure domains from service.
    pub departures: Vec<Departure>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Name of the failure domain.
    pub name: DomainId,
    /// Number of its workers.
    pub workers: u32,
}

/// Jobs with the same specification that arrive as a Poisson process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Workspace that submits the jobs.
    pub workspace: WorkspaceId,
    /// Kind of the jobs, declared by the workspace.
    pub kind: KindId,
    /// Shape of the jobs.
    pub shape: Shape,
    /// Mean time between arrivals. Unit: seconds.
    pub every_s: f64,
    /// Number of jobs that arrive together.
    #[serde(default = "default_burst")]
    pub burst: u32,
    /// Median of the true run times. Unit: seconds.
    pub run_p50_s: f64,
    /// Ratio of the 84th percentile of the run times to the median; 1 for equal run times.
    pub run_spread: f64,
    /// Minimum and maximum ratio of declared to true run time.
    pub declared: [f64; 2],
    /// Time from acceptance within which a job should be done. Unit: seconds.
    #[serde(default)]
    pub deadline_s: Option<u64>,
    /// Whether jobs can be checkpointed and continued on other workers.
    #[serde(default)]
    pub checkpointable: bool,
    /// Whether jobs may be preempted.
    #[serde(default)]
    pub preemptible: bool,
    /// Whether an interrupted run may be started again.
    #[serde(default)]
    pub idempotent: bool,
}

/// A failure domain that leaves service and returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Departure {
    /// Name of the failure domain.
    pub domain: DomainId,
    /// When it leaves service. Unit: seconds from the start of the scenario.
    pub at_s: u64,
    /// When it returns to service. Unit: seconds from the start of the scenario.
    pub back_s: u64,
}

const fn default_burst() -> u32 {
    1
}

/// Error of a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON, or has other fields than a scenario.
    #[error("malformed scenario: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A field has a value that is not allowed.
    #[error("invalid scenario: {path}: {reason}")]
    Invalid {
        /// Path of the field.
        path: String,
        /// Why the value is not allowed.
        reason: &'static str,
    },
}

impl Scenario {
    /// Parses and validates the JSON text of a scenario.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a scenario, a value is not allowed, or a stream or a
    /// departure refers to something that the scenario does not declare.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let scenario: Self = serde_json::from_str(text)?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), Error> {
        let invalid = |path: String, reason| Err(Error::Invalid { path, reason });
        for (name, workspace) in &self.workspaces {
            if !workspace.faults().is_empty() {
                return invalid(
                    format!("workspaces.{name}"),
                    "not a valid workspace specification",
                );
            }
        }
        for (number, stream) in self.streams.iter().enumerate() {
            let path = format!("streams[{number}]");
            let workspace = self.workspaces.get(&stream.workspace);
            if workspace.is_none_or(|workspace| workspace.kind(&stream.kind).is_none()) {
                return invalid(path, "the workspace does not declare the kind");
            }
            if stream.every_s <= 0.0 || stream.run_p50_s <= 0.0 || stream.run_spread < 1.0 {
                return invalid(
                    path,
                    "every_s and run_p50_s must be positive and run_spread at least 1",
                );
            }
        }
        for (number, departure) in self.departures.iter().enumerate() {
            let path = format!("departures[{number}]");
            let declared = self
                .domains
                .iter()
                .any(|domain| domain.name == departure.domain);
            if !declared || departure.back_s <= departure.at_s {
                return invalid(path, "domain must be declared and back_s later than at_s");
            }
        }
        Ok(())
    }
}

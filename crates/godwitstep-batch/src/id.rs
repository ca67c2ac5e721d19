//! Identifiers of jobs, tasks and runs, and of the workers that execute them.
//!
//! ```
//! use godwitstep_batch::id::{Task, parse_job_id};
//!
//! let task = Task { job: parse_job_id("5c0e7a21d94b36f8").unwrap(), step: 1, index: 17 };
//! assert_eq!(task.to_string(), "5c0e7a21d94b36f8.1.17");
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Identifier of a job, chosen by its caller and written as 16 hexadecimal digits.
pub type JobId = u64;
/// Number of a run of a task, starting at 1 and incremented with each start.
pub type Run = u32;
/// Fencing token of a decider, increasing with each claim.
pub type Epoch = u64;
/// Fencing token of an agent's call to its worker.
pub type Token = u64;
/// Name of a host.
pub type Host = Arc<str>;
/// Identity of an agent's process: its start in Unix milliseconds and a random number. Has no order, because the
/// time of day may be set back.
pub type AgentProcess = (u64, u64);
/// Name of a failure domain.
pub type Domain = Arc<str>;
/// Name of a workspace.
pub type Workspace = Arc<str>;
/// Name of a queue.
pub type Queue = Arc<str>;
/// Name of a set of interchangeable workers.
pub type Pool = Arc<str>;
/// Offset of a record in a partition of the log.
pub type Offset = u64;

/// Number of hexadecimal digits in the identifier of a job.
const JOB_DIGITS: usize = 16;

/// Parses the identifier of a job. Returns `None` unless it is 16 lower-case hexadecimal digits.
#[must_use]
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let valid = text.len() == JOB_DIGITS
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    valid
        .then(|| JobId::from_str_radix(text, 16).ok())
        .flatten()
}

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the step in the job.
    pub step: u16,
    /// Index of the task in the step.
    pub index: u16,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.step, self.index)
    }
}

/// One start of a worker's process. All runs of earlier incarnations on the same host have ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Host on which the worker runs.
    pub host: Host,
    /// Name under which the worker registered; a restarted worker may use the same name.
    pub worker: Arc<str>,
    /// Start of the worker's process in Unix milliseconds; distinguishes incarnations with the same name.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}/{}", self.worker, self.host, self.started_ms)
    }
}

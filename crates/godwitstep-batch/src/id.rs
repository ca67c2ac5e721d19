//! Names of jobs, tasks, runs and the places where they run.
//!
//! ```
//! use godwitstep_batch::id::{Task, job};
//!
//! let task = Task { job: job("5c0e7a21d94b36f8").unwrap(), step: 1, index: 17 };
//! assert_eq!(task.to_string(), "5c0e7a21d94b36f8.1.17");
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Name of a job, chosen by its caller: 16 hexadecimal digits.
pub type JobId = u64;
/// Number of a run of a task. Starts at 1 and rises with each start.
pub type Run = u32;
/// Fencing token of a decider. Rises with each claim.
pub type Epoch = u64;
/// Name of a host.
pub type Host = Arc<str>;
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

/// Number of hexadecimal digits in the name of a job.
const JOB_DIGITS: usize = 16;

/// Reads the name of a job.
#[must_use]
pub fn job(text: &str) -> Option<JobId> {
    let legal = text.len() == JOB_DIGITS
        && text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    legal
        .then(|| JobId::from_str_radix(text, 16).ok())
        .flatten()
}

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Job of the task.
    pub job: JobId,
    /// Number of the step in the job.
    pub step: u16,
    /// Number of the task in the step.
    pub index: u16,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.step, self.index)
    }
}

/// One life of a worker. Everything that ran in an earlier life of the same host has ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Host of the worker.
    pub host: Host,
    /// Name under which the worker registered. A worker may start again under the same name.
    pub worker: Arc<str>,
    /// Wall-clock start of the worker in Unix milliseconds; tells lives of one name apart.
    pub born: u64,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}/{}", self.worker, self.host, self.born)
    }
}

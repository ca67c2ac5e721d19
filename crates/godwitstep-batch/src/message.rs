//! Messages between agents and the decider.
//!
//! An agent sends its full state as a [`Report`] and the decider replies with the full desired state, a
//! [`Directive`], so a lost exchange is repaired by the next one.
//!
//! ```
//! use godwitstep_batch::message::{self, Report};
//!
//! let report = Report { host: "host-1".into(), sequence: 4, ..Report::default() };
//! let bytes = message::encode(&report);
//! assert_eq!(message::decode::<Report>(&bytes).unwrap(), report);
//! ```

use crate::demand::Demand;
use crate::id::{AgentProcess, Domain, Epoch, Host, Incarnation, Offset, Pool, Run, Task, Token};
use bytes::Bytes;
use serde::de::{self, DeserializeOwned, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Full state of an agent and its worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Host on which the agent and its worker run.
    pub host: Host,
    /// Start of the agent's process in Unix milliseconds. Only deciders of earlier versions order processes by it.
    pub incarnation: u64,
    /// Random number of the agent's process; 0 from agents of earlier versions.
    pub nonce: u64,
    /// Sequence number of the report, increasing within a process of the agent.
    pub sequence: u64,
    /// Highest epoch that the agent has received.
    pub epoch: Epoch,
    /// Worker on the agent's host; `None` before it has registered and after it has deregistered.
    pub worker: Option<Worker>,
    /// Last incarnation that deregistered; none of its runs is active any more.
    #[serde(rename = "left")]
    pub deregistered: Option<Incarnation>,
    /// Incarnations that crashed lately; none of their runs is active any more.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<Crash>,
    /// Whether the decider may hold the reply back until it has an order (long poll).
    pub wait: bool,
}

impl Report {
    /// Returns the process of the agent that sent the report.
    #[must_use]
    pub const fn process(&self) -> AgentProcess {
        (self.incarnation, self.nonce)
    }
}

/// A worker that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation that crashed.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Runs that were active, or may have been because their start was not answered.
    pub runs: Vec<CrashedRun>,
}

/// A run that a crash of its worker ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Task that ran.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Time from the first answer that listed the run to the crash in milliseconds; 0 if none did.
    pub age_ms: u64,
}

/// Properties that a worker registers with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Current incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Pool to which the worker belongs.
    pub pool: Pool,
    /// Failure domain of the worker.
    pub domain: Domain,
    /// Total resources, whether in use or not.
    #[serde(rename = "room")]
    pub capacity: Demand,
    /// Labels that steps can require; at most [`MAX_LABELS`].
    #[serde(deserialize_with = "deserialize_labels")]
    pub labels: Vec<Arc<str>>,
    /// Rack of the worker; workers without one count as being on different racks.
    pub rack: Option<Arc<str>>,
    /// Whether the worker is shutting down and accepts no new runs.
    pub draining: bool,
}

/// Maximum number of labels of a worker. An encoded label takes a byte or more, in memory fifty times as much, so that a
/// report of millions of labels would take all memory of a small host.
pub const MAX_LABELS: usize = 64;

/// Deserializes labels up to [`MAX_LABELS`].
fn deserialize_labels<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Arc<str>>, D::Error> {
    struct Labels;

    impl<'de> Visitor<'de> for Labels {
        type Value = Vec<Arc<str>>;

        fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
            write!(formatter, "a list of at most {MAX_LABELS} labels")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
            let mut labels = Vec::new();
            while let Some(label) = list.next_element()? {
                if labels.len() >= MAX_LABELS {
                    return Err(de::Error::invalid_length(labels.len() + 1, &self));
                }
                labels.push(label);
            }
            Ok(labels)
        }
    }

    deserializer.deserialize_seq(Labels)
}

/// A worker and its runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Properties from the newest registration.
    #[serde(rename = "about")]
    pub info: WorkerInfo,
    /// Whether the agent can reach the worker; if not, the lists below may be out of date.
    #[serde(rename = "contact")]
    pub reachability: Reachability,
    /// Active runs.
    pub running: Vec<Running>,
    /// Ended runs whose record the decider has not confirmed.
    pub ended: Vec<Ended>,
    /// Runs that the agent was ordered to start but that never began and never will.
    pub refused: Vec<Refused>,
}

/// Whether an agent can reach its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reachability {
    /// The worker's current incarnation has not been polled successfully yet.
    #[serde(rename = "Unseen")]
    Unknown,
    /// The most recent polls were answered.
    #[serde(rename = "Answers")]
    Reachable,
    /// The most recent polls were not answered; runs may still be active.
    #[serde(rename = "Silent")]
    Unreachable,
    /// The worker's last lease has expired since its last answer, so nothing runs there.
    #[serde(rename = "Lapsed")]
    LeaseExpired,
}

/// An active run of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Task that runs.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Newest checkpoint; empty if there is none.
    pub saved: Arc<str>,
    /// Completed share of the work in percent, at most 100; stays 0 for tasks that don't write checkpoints.
    #[serde(deserialize_with = "deserialize_percent")]
    pub percent: u8,
}

/// Deserializes a percentage; higher values, which no agent sends, count as 100.
fn deserialize_percent<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u8, D::Error> {
    u8::deserialize(deserializer).map(|percent| percent.min(100))
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The run completed its work.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The worker's lease expired.
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of the run's gang ended.
    #[serde(rename = "Broken")]
    GangEnded,
    /// The other members of the run's gang did not start in time.
    #[serde(rename = "Alone")]
    GangTimeout,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// Sequence number of the end within the worker's incarnation, starting at 1.
    pub number: u64,
    /// Task that ran.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Why the run ended.
    pub how: EndReason,
    /// Newest checkpoint; empty if there is none.
    pub saved: Arc<str>,
}

/// Why a run never began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker is unhealthy and ignored the order.
    Unhealthy,
    /// The worker has too few free resources.
    #[serde(rename = "Room")]
    InsufficientCapacity,
    /// The worker can't parse the order.
    Malformed,
    /// The worker has already stopped or ended this run or a later one of the task.
    Superseded,
    /// The order was withdrawn before the run began.
    Withdrawn,
}

/// A run that never began.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Task that was to run.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Why the run did not begin.
    #[serde(rename = "why")]
    pub reason: Refusal,
}

/// Desired state that the decider sends to an agent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Directive {
    /// Epoch of the decider. An agent ignores directives below the highest epoch that it has received.
    pub epoch: Epoch,
    /// First fencing token of the agent's process for calls to its worker; 0 from deciders of earlier versions.
    pub token: Token,
    /// Sequence number of the newest report of the agent's process; bounds the age of the orders. 0, which no
    /// report has, if the decider does not use the reports of the process, or not yet.
    pub sequence: u64,
    /// Incarnation of the worker to which the orders apply.
    #[serde(rename = "life")]
    pub incarnation: Option<Incarnation>,
    /// Runs to start that the report did not list.
    pub start: Vec<Start>,
    /// Runs to stop.
    pub stop: Vec<(Task, Run)>,
    /// Highest sequence number up to which all ends are recorded in the log.
    pub recorded: u64,
    /// Addresses of entries that know the current decider.
    pub entries: Vec<SocketAddr>,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task to run.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Specification that is passed to the worker unchanged.
    pub spec: Arc<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub saved: Arc<str>,
}

/// Reply to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry is the decider.
    Directive(Directive),
    /// The entry is not the decider.
    #[serde(rename = "Elsewhere")]
    NotDecider {
        /// Epoch and address of the current decider, if the entry knows them.
        decider: Option<(Epoch, SocketAddr)>,
    },
}

/// Callers' records that an entry forwards to the decider: keys and values as they are appended to the log.
pub type Records = Vec<(String, Value)>;

/// Request to another entry for the records of a log stream from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// Name of the log stream.
    pub stream: String,
    /// Offset of the first requested record.
    pub from: Offset,
}

/// Records of a log stream from a requested offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tail {
    /// Keys and values; `None` for a record that can't be decoded.
    pub items: Vec<Option<(String, Value)>>,
    /// Offset after the last record.
    pub end: Offset,
}

/// Value of a record. Serialized as a byte string, because the derived form takes up to twice the space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value(pub Bytes);

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(ValueVisitor)
    }
}

struct ValueVisitor;

impl Visitor<'_> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Value, E> {
        Ok(Value(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Value, E> {
        Ok(Value(bytes.into()))
    }
}

/// Error of a message that can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("message can't be decoded: {0}")]
pub struct Error(String);

/// Encodes a message as CBOR.
///
/// # Panics
///
/// Never, because CBOR can represent all message types.
#[must_use]
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("CBOR can represent every message");
    bytes.into()
}

/// Decodes a message from CBOR.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message of this type.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    ciborium::from_reader(bytes).map_err(|error| Error(error.to_string()))
}

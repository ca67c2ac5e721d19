//! What agents and the decider tell each other.
//!
//! An agent sends its whole [`Report`] and the decider answers with everything that it wants of that
//! agent, so a lost exchange is repaired by the next one.
//!
//! ```
//! use godwitstep_batch::message::{self, Report};
//!
//! let report = Report { host: "host-1".into(), sequence: 4, ..Report::default() };
//! let bytes = message::encode(&report);
//! assert_eq!(message::decode::<Report>(&bytes).unwrap(), report);
//! ```

use crate::demand::Demand;
use crate::id::{Domain, Epoch, Host, Life, Offset, Pool, Run, Task};
use bytes::Bytes;
use serde::de::{self, DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// What an agent knows of its worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Host of the agent.
    pub host: Host,
    /// Start of the agent's process in Unix milliseconds.
    pub incarnation: u64,
    /// Rises with each report of one incarnation.
    pub sequence: u64,
    /// Highest epoch that the agent has heard of.
    pub epoch: Epoch,
    /// Worker beside the agent; `None` before it is known and after it has left.
    pub worker: Option<Worker>,
    /// Last life that the worker ended by itself; nothing of it runs any more.
    pub left: Option<Life>,
    /// Whether the answer may wait until there is an order.
    pub wait: bool,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct About {
    /// Current life.
    pub life: Life,
    /// Pool that it serves.
    pub pool: Pool,
    /// Failure domain.
    pub domain: Domain,
    /// Everything that it has, whether in use or not.
    pub room: Demand,
    /// Labels.
    pub labels: Vec<Arc<str>>,
    /// Rack; workers without one share none.
    pub rack: Option<Arc<str>>,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// A worker and what runs there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// What it says of itself.
    pub about: About,
    /// Whether the agent reaches it, which tells what the lists are worth.
    pub contact: Contact,
    /// Runs under way.
    pub running: Vec<Running>,
    /// Runs that ended and whose record has not been confirmed.
    pub ended: Vec<Ended>,
    /// Runs that the agent was told to start and that never began and never will.
    pub refused: Vec<Refused>,
}

/// Whether an agent reaches its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Contact {
    /// The lists have not been read in the worker's current life.
    Unseen,
    /// The newest calls were answered.
    Answers,
    /// The newest calls were not answered; runs may go on.
    Silent,
    /// The last lease has ended since the worker answered, so nothing runs there.
    Lapsed,
}

/// A run under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Newest saved progress; empty for none.
    pub saved: Arc<str>,
    /// How much of its work is done; stays 0 for tasks that don't save their progress. Unit: percent.
    pub percent: u8,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// Number of the end in the life of the worker. Starts at 1.
    pub number: u64,
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// How it ended.
    pub how: How,
    /// Newest saved progress; empty for none.
    pub saved: Arc<str>,
}

/// Why a run never began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker says that it has no room.
    Room,
    /// The worker can't read the order.
    Malformed,
    /// The worker has already stopped or ended that run or a later one.
    Superseded,
    /// The order was withdrawn before the run began.
    Withdrawn,
}

/// A run that never began.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Why.
    pub why: Refusal,
}

/// What the decider wants of an agent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Directive {
    /// Epoch of the decider. An agent ignores all below the highest that it has heard of.
    pub epoch: Epoch,
    /// Number of the report that this answers, to bound the age of the orders.
    pub sequence: u64,
    /// Life of the worker that the orders are for.
    pub life: Option<Life>,
    /// Runs to start that the report did not show.
    pub start: Vec<Start>,
    /// Runs to stop.
    pub stop: Vec<(Task, Run)>,
    /// Ends up to this number are recorded.
    pub recorded: u64,
    /// Entries that can tell who decides.
    pub entries: Vec<SocketAddr>,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// What to run.
    pub spec: Arc<str>,
    /// Progress to start from; empty for none.
    pub saved: Arc<str>,
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The entry decides.
    Directive(Directive),
    /// The entry does not decide; it knows of this decider, if any.
    Elsewhere {
        /// Epoch and address of the decider.
        decider: Option<(Epoch, SocketAddr)>,
    },
}

/// Records of callers that an entry hands to the decider: keys and values as they go to the log.
pub type Records = Vec<(String, Value)>;

/// Asks another entry for what follows an offset of a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// Name of the stream.
    pub stream: String,
    /// First offset.
    pub from: Offset,
}

/// What follows an offset of a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tail {
    /// Keys and values, `None` for a record that can't be read.
    pub items: Vec<Option<(String, Value)>>,
    /// Offset after the last record of the stream.
    pub end: Offset,
}

/// Bytes of a record. Written as one string of bytes; the derived form would take up to twice the room.
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
        formatter.write_str("a string of bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Value, E> {
        Ok(Value(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Value, E> {
        Ok(Value(bytes.into()))
    }
}

/// Why a message can't be read.
#[derive(Debug, thiserror::Error)]
#[error("message can't be decoded: {0}")]
pub struct Error(String);

/// Writes a message.
///
/// # Panics
///
/// Never: messages have no part that CBOR can't hold.
#[must_use]
pub fn encode<M: Serialize>(message: &M) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message fits into CBOR");
    bytes.into()
}

/// Reads a message.
///
/// # Errors
///
/// Returns an error for bytes that are no such message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    ciborium::from_reader(bytes).map_err(|error| Error(error.to_string()))
}

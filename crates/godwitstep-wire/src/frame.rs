//! The frames and their encoding.

use bytes::Bytes;
use godwitstep_core::authority::Standing;
use godwitstep_core::id::{
    Accelerators, Attempt, DomainId, Epoch, Incarnation, JobId, Key, Name, Offset, RegionId,
    ServiceId, Version,
};
use godwitstep_core::planner::{End, Running, Worker};
use godwitstep_core::reason::Reason;
use godwitstep_core::router::{KeyState, Target, UnreachableTarget};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of the protocol; a peer with another one is refused with both versions named.
pub const VERSION: u16 = 1;
/// Greatest size of a request's or answer's body. Unit: bytes.
pub const MAX_BODY: usize = 1024 * 1024;
/// Greatest size of an encoded frame. Unit: bytes.
pub const MAX_FRAME: usize = MAX_BODY + 16 * 1024;
/// Greatest nesting of arrays and maps in a frame. Frames use less than half of it.
///
/// Each open array may reserve up to 1 MiB on the word of its header alone, so this bounds what
/// a hostile frame of a few bytes can reserve.
const MAX_NESTING: usize = 16;

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message is longer than a frame may be.
    #[error("frame of {size} bytes exceeds the limit of {MAX_FRAME}")]
    TooLarge {
        /// Size of the message in bytes.
        size: usize,
    },
    /// The bytes are not CBOR of a frame.
    #[error("frame can't be decoded: {0}")]
    Malformed(String),
    /// Bytes follow the frame.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers and operators.
    Entry,
    /// Stands beside a target or worker.
    Agent,
}

/// Identity of one end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the process.
    pub name: Name,
    /// What it is.
    pub role: Role,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Region that it is in.
    pub region: RegionId,
    /// Failure domain that it is in.
    pub domain: DomainId,
}

/// Identity of a request on the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Life of the entry that took the request.
    pub incarnation: Incarnation,
    /// Number of the request in that life.
    pub sequence: u64,
}

/// What an agent stands beside. Sent after the handshake and whenever it changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// The target, if there is one.
    pub target: Option<Target>,
    /// The worker, if there is one.
    pub worker: Option<Worker>,
    /// What the worker holds and runs.
    pub inventory: Vec<Running>,
    /// Whether the target and the worker take no new work.
    pub leaving: bool,
    /// Newest epoch that the agent knew when it made the inventory. A decider passes over an
    /// inventory made under an older epoch than its own.
    pub epoch: Epoch,
}

/// Requests that a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Of all entries.
    pub busy: u32,
    /// Of the entry that receives this.
    pub ours: u32,
}

/// What an entry says about what may start. Part of its heartbeat to agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// The sender's standing.
    pub standing: Standing,
    /// Newest folded offset of the stream `config`; a lower one than seen before is passed over.
    pub version: Version,
    /// Failure domains of the region that are out of service at that version.
    pub out: Vec<DomainId>,
    /// Newest epoch of the region that the sender has folded; 0 for none.
    pub epoch: Epoch,
    /// Whether the sender decides for the region under that epoch.
    pub deciding: bool,
}

/// Sent every 500 ms in both directions.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Counts the heartbeats of this link.
    pub sequence: u64,
    /// From an agent: its target's load.
    pub load: Option<Load>,
    /// From an agent: accelerators of its worker that are busy.
    pub busy_accelerators: Option<Accelerators>,
    /// From an entry: what may start.
    pub rules: Option<Rules>,
    /// From an entry to an entry: targets that are linked to the sender.
    pub targets: Vec<Target>,
}

/// A request on its way to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its identity; replies carry the same.
    pub id: RequestId,
    /// Service that is asked.
    pub service: ServiceId,
    /// The caller's idempotency key, prefixed by the workspace and a slash.
    pub key: Key,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time since the entry took the request.
    pub age: Duration,
    /// Time that is left until the deadline.
    pub left: Duration,
    /// The caller's body.
    pub body: Bytes,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target's whole answer.
    Answered {
        /// The body.
        body: Bytes,
    },
    /// It ran and the target says that it failed.
    Failed {
        /// The target's words, cut to 4 KiB.
        body: Bytes,
    },
    /// It was not started and never will be under this identity.
    NotStarted {
        /// Why.
        reason: Reason,
    },
    /// It may have run.
    Unknown {
        /// Why that is not known.
        reason: Reason,
    },
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The request.
    pub id: RequestId,
    /// What became of it.
    pub outcome: Outcome,
    /// Time that the target took.
    pub served: Duration,
}

/// A part of a job on one worker, under the epoch of the decider that asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Epoch of the decider; an agent refuses an older one than the newest it has seen.
    pub epoch: Epoch,
    /// The job.
    pub job: JobId,
    /// Number of the run.
    pub attempt: Attempt,
    /// Tasks of the part.
    pub tasks: u32,
    /// Accelerators of the whole part.
    pub accelerators: Accelerators,
    /// Expected run time that is handed to the worker.
    pub run: Option<Duration>,
}

/// Records of a stream, passed on by an entry to a peer that can't read the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// Name of the stream.
    pub stream: Name,
    /// Newest tail that the sender knows.
    pub tail: Offset,
    /// Time since the log gave that tail.
    pub age: Duration,
    /// Next offset that the receiver should ask for or that follows the records.
    pub next: Offset,
    /// Offsets and JSON texts of the records, in order.
    pub records: Vec<(Offset, String)>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Listener to dialler, first frame of a link.
    Challenge {
        /// Protocol version of the listener.
        version: u16,
        /// Random bytes.
        nonce: [u8; 32],
    },
    /// Dialler to listener.
    Hello {
        /// Protocol version of the dialler.
        version: u16,
        /// Who dials.
        peer: Peer,
        /// Random bytes.
        nonce: [u8; 32],
        /// Proof that the dialler knows the link key.
        mac: [u8; 32],
    },
    /// Listener to dialler; the link is open.
    Welcome {
        /// Who listens.
        peer: Peer,
        /// Proof that the listener knows the link key.
        mac: [u8; 32],
    },
    /// What an agent stands beside.
    Announce(Announce),
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Entry to agent.
    Request(Request),
    /// Agent to entry.
    Reply(Reply),
    /// Entry to agent: nobody waits for the request any more.
    Cancel {
        /// The request.
        id: RequestId,
    },
    /// Entry to agent: only this request may run the key from now on.
    Fence {
        /// The request that will own the key.
        id: RequestId,
        /// The key, prefixed by the workspace and a slash.
        key: Key,
    },
    /// Agent to entry. After `Running` or `Answered` a [`Frame::Reply`] for the same id follows.
    Fenced {
        /// The request.
        id: RequestId,
        /// What the agent knows of the key.
        state: KeyState,
    },
    /// Decider to agent: hold accelerators for a part.
    Reserve(Part),
    /// Decider to agent: start a held part.
    Commit(Part),
    /// Decider to agent: the whole gang runs.
    Settle(Part),
    /// Decider to agent: give up a hold.
    Release(Part),
    /// Decider to agent: stop a part.
    Stop {
        /// The part.
        part: Part,
        /// Whether its state is to be saved first.
        checkpoint: bool,
    },
    /// Agent to decider: accelerators are held.
    Held(Part),
    /// Agent to decider: the part does not run.
    Denied {
        /// The part.
        part: Part,
        /// Why.
        reason: Reason,
    },
    /// Agent to decider: the part runs.
    Started(Part),
    /// Agent to every entry: a part ended. Repeated until acknowledged.
    Ended {
        /// The part.
        part: Part,
        /// How.
        end: End,
    },
    /// Decider to agent: the end of a part is known.
    EndKnown(Part),
    /// Entry to entry: records of a stream.
    Records(Records),
    /// Entry to entry: asks for records from an offset on.
    Want {
        /// Name of the stream.
        stream: Name,
        /// First offset that is missing.
        from: Offset,
    },
    /// Entry to entry: targets that the sender has lost within the key window. A receiver that has
    /// started since learns in this way which keys it can't tell anything about.
    Gone(Vec<UnreachableTarget>),
    /// The sender closes the link on purpose.
    Goodbye,
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Never: encoding to memory can't fail for these types.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes).expect("frames encode to memory");
        bytes.into()
    }

    /// Decodes one frame that fills `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` are too long, are not CBOR of a frame, or hold more than one.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_FRAME {
            return Err(Error::TooLarge { size: bytes.len() });
        }
        let frame = ciborium::de::from_reader_with_recursion_limit(&mut bytes, MAX_NESTING)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        match bytes.len() {
            0 => Ok(frame),
            left => Err(Error::Trailing(left)),
        }
    }
}

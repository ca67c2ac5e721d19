//! Frames and their encoding.

use bytes::Bytes;
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::id::{
    Accelerators, Attempt, DomainId, Epoch, Incarnation, JobId, Key, Name, Offset, RegionId,
    ServiceId, Version,
};
use godwitstep_core::planner::{End, Running, Worker};
use godwitstep_core::reason::Reason;
use godwitstep_core::router::{KeyState, Target, UnreachableTarget};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of the protocol. A peer with a different version is refused with an error that names
/// both.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of the body of a request or response. Unit: bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum size of an encoded frame. Unit: bytes.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 16 * 1024;
/// Maximum nesting depth of arrays and maps in a frame. Valid frames use less than half of it.
///
/// The decoder may reserve up to 1 MiB for each open array on the basis of its header alone, so
/// this bounds the memory that a malicious frame of a few bytes can reserve.
const MAX_NESTING: usize = 16;

/// Error of bytes that can't be decoded as one frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Size of the message in bytes.
        size: usize,
    },
    /// The bytes are not the CBOR encoding of a frame.
    #[error("frame can't be decoded: {0}")]
    Malformed(String),
    /// Bytes follow the frame.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Receives requests from callers and operators.
    Entry,
    /// Manages a target, a worker or both.
    Agent,
}

/// Identity of one end of a link.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the process.
    pub name: Name,
    /// Role of the process.
    pub role: Role,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Region that it is in.
    pub region: RegionId,
    /// Failure domain that it is in.
    pub domain: DomainId,
}

/// Identifies a request on the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Incarnation of the entry that received the request.
    pub incarnation: Incarnation,
    /// Number of the request in that incarnation.
    pub sequence: u64,
}

/// The target and worker of an agent. Sent after the handshake and whenever they change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// The target; `None` if the agent has none or it is not available.
    pub target: Option<Target>,
    /// The worker; `None` if the agent has none or it is not available.
    pub worker: Option<Worker>,
    /// Parts that the worker holds accelerators for or runs.
    pub inventory: Vec<Running>,
    /// Whether the target and the worker accept no new work.
    pub leaving: bool,
    /// Newest epoch that the agent had received when it made the inventory. A decider ignores an
    /// inventory with an older epoch than its own.
    pub epoch: Epoch,
}

/// Numbers of requests that a target is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests from all entries.
    pub busy: u32,
    /// Requests from the entry that receives this load.
    pub from_receiver: u32,
}

/// Conditions under which an agent may start work. Part of an entry's heartbeat to agents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Whether the sender may start work.
    #[serde(rename = "standing")]
    pub operating_mode: OperatingMode,
    /// Newest offset of the stream `config` that the sender has applied. Rules with a lower version
    /// than an agent has received before don't change its list of domains.
    pub version: Version,
    /// Failure domains of the region that are out of service at that version.
    #[serde(rename = "out")]
    pub out_of_service: Vec<DomainId>,
    /// Newest epoch of the region that the sender has applied; 0 for none.
    pub epoch: Epoch,
    /// Whether the sender is the decider of the region under that epoch.
    pub deciding: bool,
}

/// Periodic liveness message. Sent every 500 ms in both directions.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat on this link.
    pub sequence: u64,
    /// From an agent: its target's load.
    pub load: Option<Load>,
    /// From an agent: number of busy accelerators of its worker.
    pub busy_accelerators: Option<Accelerators>,
    /// From an entry: conditions under which work may start.
    pub rules: Option<Rules>,
    /// From an entry to an entry: targets that are linked to the sender.
    pub targets: Vec<Target>,
}

/// A caller's request, forwarded to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request; its reply carries the same id.
    pub id: RequestId,
    /// Service that is requested.
    pub service: ServiceId,
    /// The caller's idempotency key, prefixed by the workspace and a slash.
    pub key: Key,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time since the entry received the request.
    pub age: Duration,
    /// Time remaining until the deadline.
    pub left: Duration,
    /// Body of the caller's request.
    pub body: Bytes,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target returned a complete response.
    Answered {
        /// Body of the response.
        body: Bytes,
    },
    /// The request ran and the target reported a failure.
    Failed {
        /// Error text of the target, truncated to 4 KiB.
        body: Bytes,
    },
    /// The request was not started and will never be started under this id.
    NotStarted {
        /// Why it was not started.
        reason: Reason,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: Reason,
    },
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Identifies the request.
    pub id: RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Service time at the target.
    pub served: Duration,
}

/// A part of a job on one worker, with the epoch of the decider that sends the command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Epoch of the decider. An agent refuses an older one than the newest that it has received.
    pub epoch: Epoch,
    /// Name of the job.
    pub job: JobId,
    /// Number of the run.
    pub attempt: Attempt,
    /// Number of tasks of the part.
    pub tasks: u32,
    /// Number of accelerators of all its tasks together.
    pub accelerators: Accelerators,
    /// Expected run time, which the agent passes to the worker.
    pub run: Option<Duration>,
}

/// Records of a stream, forwarded by an entry to a peer that can't read the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// Name of the stream.
    pub stream: Name,
    /// Latest tail of the stream known to the sender.
    pub tail: Offset,
    /// Time since the log service reported that tail.
    pub age: Duration,
    /// Offset that follows the records, or from which the receiver should request records.
    pub next: Offset,
    /// Offsets and JSON texts of the records, in the order of the stream.
    pub records: Vec<(Offset, String)>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// Listener to dialler: first frame of the handshake.
    Challenge {
        /// Protocol version of the listener.
        version: u16,
        /// Random bytes of the listener.
        nonce: [u8; 32],
    },
    /// Dialler to listener: identity and proof of the dialler.
    Hello {
        /// Protocol version of the dialler.
        version: u16,
        /// Identity of the dialler.
        peer: Peer,
        /// Random bytes of the dialler.
        nonce: [u8; 32],
        /// MAC that proves that the dialler has the link key.
        mac: [u8; 32],
    },
    /// Listener to dialler: the dialler is accepted and the link is open.
    Welcome {
        /// Identity of the listener.
        peer: Peer,
        /// MAC that proves that the listener has the link key.
        mac: [u8; 32],
    },
    /// Agent to entry: its target and worker.
    Announce(Announce),
    /// Both directions: the sender is alive.
    Heartbeat(Heartbeat),
    /// Entry to agent: run a request.
    Request(Request),
    /// Agent to entry: outcome of a request.
    Reply(Reply),
    /// Entry to agent: the request is cancelled, because no caller waits for it any more.
    Cancel {
        /// Identifies the request.
        id: RequestId,
    },
    /// Entry to agent: from now on, only this request may run under the key.
    Fence {
        /// Identifies the request that will own the key.
        id: RequestId,
        /// The key, prefixed by the workspace and a slash.
        key: Key,
    },
    /// Agent to entry: result of a fence. After `Running` or `Answered`, a [`Frame::Reply`] with
    /// the same id follows.
    Fenced {
        /// Identifies the request.
        id: RequestId,
        /// State of the key at the agent.
        state: KeyState,
    },
    /// Decider to agent: reserve accelerators for a part.
    Reserve(Part),
    /// Decider to agent: start a reserved part.
    Commit(Part),
    /// Decider to agent: the whole gang runs, so the part may keep running.
    Settle(Part),
    /// Decider to agent: release a reservation.
    Release(Part),
    /// Decider to agent: stop a part.
    Stop {
        /// Part to stop.
        part: Part,
        /// Whether its state is saved first.
        checkpoint: bool,
    },
    /// Agent to decider: accelerators are reserved for the part.
    Held(Part),
    /// Agent to decider: the part is refused and does not run.
    Denied {
        /// Part that is refused.
        part: Part,
        /// Why it is refused.
        reason: Reason,
    },
    /// Agent to decider: the part runs.
    Started(Part),
    /// Agent to every entry: a part ended. Repeated until acknowledged by [`Frame::EndKnown`].
    Ended {
        /// Part that ended.
        part: Part,
        /// How the part ended.
        end: End,
    },
    /// Decider to agent: acknowledges the end of a part.
    EndKnown(Part),
    /// Entry to entry: records of a stream.
    Records(Records),
    /// Entry to entry: requests records from an offset on.
    Want {
        /// Name of the stream.
        stream: Name,
        /// First offset that is missing.
        from: Offset,
    },
    /// Entry to entry: targets that the sender has lost within the retention time of keys. A
    /// receiver that has started since then needs the list to know for which keys it can't rule out
    /// an earlier run.
    Gone(Vec<UnreachableTarget>),
    /// Both directions: the sender closes the link intentionally.
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
        ciborium::into_writer(self, &mut bytes).expect("encoding to memory does not fail");
        bytes.into()
    }

    /// Decodes one frame that fills `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` are too long, are not the CBOR encoding of a frame, or contain
    /// more than one frame.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(Error::TooLarge { size: bytes.len() });
        }
        let frame = ciborium::de::from_reader_with_recursion_limit(&mut bytes, MAX_NESTING)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        match bytes.len() {
            0 => Ok(frame),
            remaining => Err(Error::Trailing(remaining)),
        }
    }
}

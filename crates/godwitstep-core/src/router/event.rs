//! Events that the router handles and actions that it returns.

use crate::authority::OperatingMode;
use crate::id::{Attempt, DomainId, Incarnation, Key, KindId, ServiceId, TargetId, WorkspaceId};
use crate::reason::Reason;
use crate::resource::Workspace;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a request, unique within one incarnation of an entry.
pub type Sequence = u64;

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Number of the request, unique within this incarnation of the entry.
    pub sequence: Sequence,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Kind of work, declared by the workspace.
    pub kind: KindId,
    /// The caller's idempotency key.
    pub key: Key,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How many times the caller has sent this key, this time included. With 1 the caller
    /// guarantees that the key was never sent before.
    pub attempt: Attempt,
    /// Time on this process's clock by which the caller must have the answer.
    pub deadline: Duration,
}

/// A process that serves requests, as announced by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Service that it provides.
    pub service: ServiceId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Number of requests that it serves concurrently. At least 1.
    pub slots: u32,
}

/// An incarnation of a target that may have run keys and can't be fenced, because no link to it
/// exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableTarget {
    /// Name of the target.
    pub id: TargetId,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Service that it provided.
    pub service: ServiceId,
    /// Time since it was last seen.
    pub age: Duration,
}

/// An agent's reply to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The target answered. The caller of the router keeps the body.
    Answered,
    /// The request ran and the target reported a failure.
    Failed,
    /// The request was not started, and this send will never start it.
    NotStarted(Reason),
    /// The request may have run.
    Unknown,
}

/// State of an idempotency key at an agent that received a fence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Not received before. From now on only the request that sent the fence may run it.
    Fenced,
    /// It runs for another request. The reply follows when that run ends.
    Running,
    /// It ran, and its answer follows.
    Answered,
    /// It ran and failed.
    Failed,
    /// It was received before, but it is unknown whether it ran, or its answer is no longer stored.
    Unknown,
}

/// Input of the router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was received completely, and its caller is authorized for the workspace.
    Arrive(Request),
    /// The caller closed its connection.
    CallerDisconnected {
        /// Sequence number of the request.
        sequence: Sequence,
    },
    /// A workspace was declared, changed or removed.
    Workspace {
        /// Name of the workspace.
        id: WorkspaceId,
        /// New spec; `None` if the workspace was removed.
        spec: Option<Workspace>,
    },
    /// A failure domain is put into or out of service.
    Domain {
        /// Name of the failure domain.
        id: DomainId,
        /// Whether requests may be sent to its targets.
        in_service: bool,
    },
    /// The entry's [`OperatingMode`] changed, which decides whether new work may start.
    OperatingMode(OperatingMode),
    /// An agent announced a target, or a new incarnation of one.
    TargetUp(Target),
    /// A peer entry is linked to this target. Without a link of its own, this entry can't fence
    /// keys there.
    TargetSeenByPeer(Target),
    /// A peer entry lost its link to a target within the key window. It informs an entry that
    /// has just started of targets that were lost before its start.
    TargetUnreachable(UnreachableTarget),
    /// A heartbeat with the load of a target.
    Load {
        /// Name of the target.
        id: TargetId,
        /// Number of requests that it runs for all entries.
        busy: u32,
        /// Number of requests among them that this entry sent.
        ours: u32,
    },
    /// A target is shutting down and accepts no new requests.
    TargetLeaving {
        /// Name of the target.
        id: TargetId,
    },
    /// The link to a target's agent is lost.
    TargetLost {
        /// Name of the target.
        id: TargetId,
        /// Incarnation of the agent whose link was lost. Ignored if it is not the current one.
        incarnation: Incarnation,
    },
    /// An agent replied to a request.
    Reply {
        /// Sequence number of the request.
        sequence: Sequence,
        /// Target whose agent replied.
        target: TargetId,
        /// How the request ended at the target.
        reply: Reply,
    },
    /// An agent replied to a fence.
    Fenced {
        /// Sequence number of the request.
        sequence: Sequence,
        /// Target whose agent replied.
        target: TargetId,
        /// State of the key at the agent.
        state: KeyState,
    },
    /// This entry is stopping and accepts no new requests.
    Stop,
    /// Periodic timer, at least every 20 ms.
    Tick,
}

/// Why a request was not run, and when to retry.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which the caller may retry; `None` if a retry makes no sense.
    pub retry_after: Option<Duration>,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The target answered. The caller of the router keeps the body.
    Answered {
        /// Target that answered.
        target: TargetId,
    },
    /// The request ran and failed.
    Failed {
        /// Target that ran it.
        target: TargetId,
    },
    /// The request did not run, and never will under this sequence number.
    NotRun(Refusal),
    /// The request may have run.
    Unknown {
        /// Why the outcome is not known.
        reason: Reason,
    },
}

/// Output of the router, to be executed by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a target's agent.
    Send {
        /// Sequence number of the request.
        sequence: Sequence,
        /// Target that runs the request.
        target: TargetId,
    },
    /// Send an agent the fence of the request's key.
    Fence {
        /// Sequence number of the request.
        sequence: Sequence,
        /// Target whose agent fences the key.
        target: TargetId,
    },
    /// Notify an agent that no caller waits for the request any more.
    Cancel {
        /// Sequence number of the request.
        sequence: Sequence,
        /// Target whose agent is notified.
        target: TargetId,
    },
    /// Answer the caller. Exactly once for each request that arrived.
    Answer {
        /// Sequence number of the request.
        sequence: Sequence,
        /// Answer for the caller.
        outcome: Outcome,
    },
}

//! What the router hears and what it asks for.

use crate::authority::Standing;
use crate::id::{Attempt, DomainId, Incarnation, Key, KindId, ServiceId, TargetId, WorkspaceId};
use crate::reason::Reason;
use crate::resource::Workspace;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a request within one life of an entry.
pub type Sequence = u64;

/// A caller's request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Number of the request, unique in the life of this entry.
    pub sequence: Sequence,
    /// Service that is asked.
    pub service: ServiceId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Kind of work, declared by the workspace.
    pub kind: KindId,
    /// The caller's idempotency key.
    pub key: Key,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How many times the caller has sent this key, this time included; 1 promises that the key
    /// was never sent before.
    pub attempt: Attempt,
    /// When the answer must be with the caller, on this process's clock.
    pub deadline: Duration,
}

/// A process that serves requests, as its agent announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// Service that it serves.
    pub service: ServiceId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Requests that it serves at the same time. At least 1.
    pub slots: u32,
}

/// A life of a target that can't be asked about keys, and may have run some.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// Name of the target.
    pub id: TargetId,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// Service that it served.
    pub service: ServiceId,
    /// Time since it was last known.
    pub age: Duration,
}

/// What an agent says about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The target answered; the body is kept outside the core.
    Answered,
    /// The request ran and the target says that it failed.
    Failed,
    /// The request was not started and never will be under this send.
    NotStarted(Reason),
    /// The request may have run.
    Unknown,
}

/// What an agent knows of an idempotency key when it is asked to fence it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Not seen; from now on only the asking request may run it.
    Fenced,
    /// It runs for another request; the reply follows when it ends.
    Running,
    /// It ran and its answer follows.
    Answered,
    /// It ran and failed.
    Failed,
    /// It was seen and the agent can't tell whether it ran, or can't give its answer any more.
    Unknown,
}

/// What the router hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was received whole and its caller may use the workspace.
    Arrive(Request),
    /// The caller closed its connection.
    CallerGone {
        /// The request.
        sequence: Sequence,
    },
    /// A workspace is declared, changed, or removed (`None`).
    Workspace {
        /// Its name.
        id: WorkspaceId,
        /// Its spec.
        spec: Option<Workspace>,
    },
    /// A failure domain is put in or out of service.
    Domain {
        /// Its name.
        id: DomainId,
        /// Whether work may start in it.
        in_service: bool,
    },
    /// Whether new work may start, by what is known of the log.
    Standing(Standing),
    /// An agent announced a target, or the same target under a new incarnation.
    TargetUp(Target),
    /// A peer entry knows a target that has no link to this entry.
    TargetElsewhere(Target),
    /// A peer entry has lost a target within the key window. An entry that has just started
    /// learns in this way what it did not see itself.
    TargetGone(Gone),
    /// A heartbeat of an agent.
    Load {
        /// The target.
        id: TargetId,
        /// Requests that it runs, of all entries.
        busy: u32,
        /// Requests of this entry among them.
        ours: u32,
    },
    /// A target takes no new work.
    TargetLeaving {
        /// The target.
        id: TargetId,
    },
    /// The link to a target's agent is lost.
    TargetLost {
        /// The target.
        id: TargetId,
        /// Life of its agent that was lost.
        incarnation: Incarnation,
    },
    /// An agent replied to a request.
    Reply {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: TargetId,
        /// What became of it.
        reply: Reply,
    },
    /// An agent replied to a fence.
    Fenced {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: TargetId,
        /// What it knows of the key.
        state: KeyState,
    },
    /// This entry is stopping and takes no new requests.
    Stop,
    /// Time has passed. Comes at least every 20 ms.
    Tick,
}

/// Why a request was not run, and when to come back.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may try again, if that makes sense.
    pub retry_after: Option<Duration>,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The whole answer of the target, kept outside the core.
    Answered {
        /// Target that gave it.
        target: TargetId,
    },
    /// It ran and failed.
    Failed {
        /// Target that ran it.
        target: TargetId,
    },
    /// It was not run and never will be under this request.
    NotRun(Refusal),
    /// It may have run.
    Unknown {
        /// Why that is not known.
        reason: Reason,
    },
}

/// What the router asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a target's agent.
    Send {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: TargetId,
    },
    /// Ask an agent to fence the request's key.
    Fence {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: TargetId,
    },
    /// Tell an agent that nobody waits for the request any more.
    Cancel {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: TargetId,
    },
    /// Answer the caller. Exactly once for each request that arrived.
    Answer {
        /// The request.
        sequence: Sequence,
        /// The final answer.
        outcome: Outcome,
    },
}

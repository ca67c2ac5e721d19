//! Requests that the agent runs on its target, and their replies.

use super::state::Agent;
use super::target::{Health, Target};
use crate::link::LinkId;
use bytes::Bytes;
use godwitstep_core::id::{Incarnation, Key};
use godwitstep_core::key::{Admission, AdmissionRequest, End, Owner, Table};
use godwitstep_core::reason::Reason;
use godwitstep_wire::{Frame, Outcome, Reply, Request, RequestId};
use smol::LocalExecutor;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Time for which a reply is kept for an entry without a link. Longer than a reconnect takes.
const UNSENT_TTL: Duration = Duration::from_secs(5);
/// Greatest number of replies kept for entries without a link; the oldest are dropped first.
const MAX_UNSENT: usize = 256;

struct UnsentReply {
    incarnation: Incarnation,
    reply: Frame,
    expires: Duration,
}

/// Running requests, the states of idempotency keys, and replies that wait for a link.
pub(super) struct Requests {
    keys: Table,
    /// Requests that each occupy a slot of the target.
    running: BTreeSet<RequestId>,
    unsent: VecDeque<UnsentReply>,
}

impl Requests {
    /// Returns the empty state of an agent that started at the given time.
    pub(super) fn new(started: Duration) -> Self {
        Self {
            keys: Table::new(started),
            running: BTreeSet::new(),
            unsent: VecDeque::new(),
        }
    }

    /// Returns the number of running requests.
    pub(super) fn busy(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of running requests from one incarnation of an entry.
    pub(super) fn busy_from(&self, incarnation: Incarnation) -> u32 {
        let from_entry = self
            .running
            .iter()
            .filter(|id| id.incarnation == incarnation);
        u32::try_from(from_entry.count()).unwrap_or(u32::MAX)
    }

    /// Returns the ids of the running requests.
    pub(super) fn running(&self) -> impl Iterator<Item = RequestId> {
        self.running.iter().copied()
    }

    /// Drops the unsent reply to a request that nobody waits for. A running request continues,
    /// because its caller may retry with the same key to get the result.
    pub(super) fn drop_unsent(&mut self, id: RequestId) {
        self.unsent
            .retain(|unsent| !matches!(&unsent.reply, Frame::Reply(reply) if reply.id == id));
    }

    /// Keeps a reply for an entry that currently has no link.
    pub(super) fn keep_unsent(&mut self, incarnation: Incarnation, reply: Frame, now: Duration) {
        if self.unsent.len() == MAX_UNSENT {
            self.unsent.pop_front();
        }
        self.unsent.push_back(UnsentReply {
            incarnation,
            reply,
            expires: now + UNSENT_TTL,
        });
    }

    /// Removes and returns the replies kept for an entry.
    pub(super) fn take_unsent(&mut self, incarnation: Incarnation) -> Vec<Frame> {
        let (removed, remaining) = std::mem::take(&mut self.unsent)
            .into_iter()
            .partition(|unsent: &UnsentReply| unsent.incarnation == incarnation);
        self.unsent = remaining;
        let removed: VecDeque<UnsentReply> = removed;
        removed.into_iter().map(|unsent| unsent.reply).collect()
    }

    /// Drops unsent replies that have expired.
    pub(super) fn expire(&mut self, now: Duration) {
        self.unsent.retain(|unsent| unsent.expires > now);
    }
}

/// Starts a request, or replies at once if it can't start.
pub(super) fn accept(
    agent: &Rc<Agent>,
    executor: &LocalExecutor<'static>,
    link: LinkId,
    request: Request,
) {
    if agent.requests.borrow().running.contains(&request.id) {
        // The request was sent again on another link; the reply is sent when it ends.
        return;
    }
    // These checks come before the key table, so that a refused request leaves a fence in place.
    if let Some(reason) = refusal(agent, link, &request) {
        return reply(agent, request.id, Outcome::NotStarted { reason });
    }
    let admission_request = AdmissionRequest {
        owner: owner(request.id),
        key: request.key.clone(),
        idempotent: request.idempotent,
        age: request.age,
    };
    let admission = agent
        .requests
        .borrow_mut()
        .keys
        .admit(agent.now(), &admission_request);
    let outcome = match admission {
        Admission::Run => {
            agent.requests.borrow_mut().running.insert(request.id);
            executor.spawn(run(Rc::clone(agent), request)).detach();
            return;
        }
        Admission::Running => return,
        Admission::Answered(body) => Outcome::Answered { body },
        Admission::Failed => Outcome::Failed { body: Bytes::new() },
        Admission::Unknown => Outcome::Unknown {
            reason: unknown_key_outcome(),
        },
        Admission::Refuse(reason) => Outcome::NotStarted { reason },
    };
    reply(agent, request.id, outcome);
}

/// Replies with the state of a key, and fences the key for the given request if no request with it
/// has run.
pub(super) fn fence(agent: &Agent, id: RequestId, key: &Key) {
    let now = agent.now();
    let (state, answer) = agent.requests.borrow_mut().keys.fence(now, owner(id), key);
    agent.send_to(id.incarnation, Frame::Fenced { id, state });
    if let Some(body) = answer {
        reply(agent, id, Outcome::Answered { body });
    }
}

/// Returns why a request can't start now; `None` if it can.
fn refusal(agent: &Agent, link: LinkId, request: &Request) -> Option<Reason> {
    if let Some(reason) = agent.start_refusal(link) {
        return Some(reason);
    }
    let served_target = agent.settings.target.as_ref();
    let Some(target) = served_target.filter(|target| target.service == request.service) else {
        return Some(Reason::NoTarget);
    };
    match agent.health.get() {
        Health::Gone => Some(Reason::TargetLost),
        Health::Leaving => Some(Reason::Stopping),
        Health::Ready if request.left.is_zero() => Some(Reason::DeadlineUnreachable),
        Health::Ready if agent.requests.borrow().busy() >= target.slots => {
            Some(Reason::LimitReached)
        }
        Health::Ready => None,
    }
}

/// Runs a request on the target and replies to all requests that wait for its result.
async fn run(agent: Rc<Agent>, request: Request) {
    let (id, key, idempotent) = (request.id, request.key.clone(), request.idempotent);
    let started = agent.now();
    let outcome = match &agent.target {
        Some(target) => Target::run(target, request).await,
        None => Outcome::NotStarted {
            reason: Reason::NoTarget,
        },
    };
    let now = agent.now();
    let waiters = agent
        .requests
        .borrow_mut()
        .finish(id, &key, idempotent, &outcome, now);
    let served = now.saturating_sub(started);
    for id in std::iter::once(id).chain(waiters) {
        let outcome = outcome.clone();
        let reply = Reply {
            id,
            outcome,
            served,
        };
        agent.send_to(id.incarnation, Frame::Reply(reply));
    }
}

impl Requests {
    /// Records the end of a run and returns the other requests that wait for its result.
    fn finish(
        &mut self,
        id: RequestId,
        key: &Key,
        idempotent: bool,
        outcome: &Outcome,
        now: Duration,
    ) -> Vec<RequestId> {
        self.running.remove(&id);
        let end = match outcome {
            // Copied, because the body is a slice of a much larger read buffer, which would stay
            // allocated.
            Outcome::Answered { body } => End::Answered(Bytes::copy_from_slice(body)),
            Outcome::Failed { .. } => End::Failed,
            Outcome::NotStarted { .. } => End::NotStarted,
            Outcome::Unknown { .. } => End::Unknown,
        };
        let must_fence = end == End::NotStarted && !idempotent;
        let waiters = self.keys.finish(now, owner(id), key, end);
        if must_fence {
            // The request may have fenced the key on all agents and may run on another one next, so
            // an earlier request with this key must not start here.
            let _ = self.keys.fence(now, owner(id), key);
        }
        waiters.into_iter().map(request_id).collect()
    }
}

fn reply(agent: &Agent, id: RequestId, outcome: Outcome) {
    let served = Duration::ZERO;
    let reply = Reply {
        id,
        outcome,
        served,
    };
    agent.send_to(id.incarnation, Frame::Reply(reply));
}

const fn owner(id: RequestId) -> Owner {
    Owner {
        incarnation: id.incarnation,
        sequence: id.sequence,
    }
}

const fn request_id(owner: Owner) -> RequestId {
    RequestId {
        incarnation: owner.incarnation,
        sequence: owner.sequence,
    }
}

fn unknown_key_outcome() -> Reason {
    Reason::Other {
        detail: "the key was used before, and what became of it is not known".to_owned(),
    }
}

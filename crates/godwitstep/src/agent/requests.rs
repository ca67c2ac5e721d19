//! Requests on their way through the agent.

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

/// Time for which a reply is kept for an entry that has no link. Longer than a reconnect takes.
const KEEP: Duration = Duration::from_secs(5);
/// Greatest number of such replies.
const MAX_KEPT: usize = 256;

struct Unsent {
    incarnation: Incarnation,
    reply: Frame,
    until: Duration,
}

/// Requests that run, what is known of their keys, and replies that wait for a link.
pub(super) struct Requests {
    keys: Table,
    /// Each occupies a slot of the target.
    running: BTreeSet<RequestId>,
    unsent: VecDeque<Unsent>,
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

    /// Returns how many requests run.
    pub(super) fn busy(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many of them came from one life of an entry.
    pub(super) fn busy_of(&self, incarnation: Incarnation) -> u32 {
        let ours = self
            .running
            .iter()
            .filter(|id| id.incarnation == incarnation);
        u32::try_from(ours.count()).unwrap_or(u32::MAX)
    }

    /// Returns the running requests.
    pub(super) fn running(&self) -> impl Iterator<Item = RequestId> {
        self.running.iter().copied()
    }

    /// Forgets the kept reply to a request for which nobody waits. A running request goes on,
    /// because its caller may ask for the result with the same key.
    pub(super) fn cancel(&mut self, id: RequestId) {
        self.unsent
            .retain(|unsent| !matches!(&unsent.reply, Frame::Reply(reply) if reply.id == id));
    }

    /// Keeps a reply for an entry that has no link at the moment.
    pub(super) fn keep(&mut self, incarnation: Incarnation, reply: Frame, now: Duration) {
        if self.unsent.len() == MAX_KEPT {
            self.unsent.pop_front();
        }
        self.unsent.push_back(Unsent {
            incarnation,
            reply,
            until: now + KEEP,
        });
    }

    /// Takes the replies that were kept for an entry.
    pub(super) fn take_unsent(&mut self, incarnation: Incarnation) -> Vec<Frame> {
        let (taken, left) = std::mem::take(&mut self.unsent)
            .into_iter()
            .partition(|unsent: &Unsent| unsent.incarnation == incarnation);
        self.unsent = left;
        let taken: VecDeque<Unsent> = taken;
        taken.into_iter().map(|unsent| unsent.reply).collect()
    }

    /// Drops what was kept for too long.
    pub(super) fn expire(&mut self, now: Duration) {
        self.unsent.retain(|unsent| unsent.until > now);
    }
}

/// Starts a request, or replies at once where it does not start.
pub(super) fn take(
    agent: &Rc<Agent>,
    executor: &LocalExecutor<'static>,
    link: LinkId,
    request: Request,
) {
    if agent.requests.borrow().running.contains(&request.id) {
        // Sent again on another link; the reply follows when it ends.
        return;
    }
    // These checks come before the key table, so that a refusal leaves a fence in force.
    if let Some(reason) = refusal(agent, link, &request) {
        return reply(agent, request.id, Outcome::NotStarted { reason });
    }
    let ask = AdmissionRequest {
        owner: owner(request.id),
        key: request.key.clone(),
        idempotent: request.idempotent,
        age: request.age,
    };
    let admit = agent.requests.borrow_mut().keys.admit(agent.now(), &ask);
    let outcome = match admit {
        Admission::Run => {
            agent.requests.borrow_mut().running.insert(request.id);
            executor.spawn(run(Rc::clone(agent), request)).detach();
            return;
        }
        Admission::Running => return,
        Admission::Answered(body) => Outcome::Answered { body },
        Admission::Failed => Outcome::Failed { body: Bytes::new() },
        Admission::Unknown => Outcome::Unknown {
            reason: forgotten(),
        },
        Admission::Refuse(reason) => Outcome::NotStarted { reason },
    };
    reply(agent, request.id, outcome);
}

/// Tells what is known of a key, and gives it to the asking request if it has not run.
pub(super) fn fence(agent: &Agent, id: RequestId, key: &Key) {
    let now = agent.now();
    let (state, answer) = agent.requests.borrow_mut().keys.fence(now, owner(id), key);
    agent.send_to(id.incarnation, Frame::Fenced { id, state });
    if let Some(body) = answer {
        reply(agent, id, Outcome::Answered { body });
    }
}

/// Reports why a request does not start now, if that is so.
fn refusal(agent: &Agent, link: LinkId, request: &Request) -> Option<Reason> {
    if let Some(reason) = agent.obstacle(link) {
        return Some(reason);
    }
    let served = agent.settings.target.as_ref();
    let Some(target) = served.filter(|target| target.service == request.service) else {
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

/// Runs a request on the target and replies to all that wait for it.
async fn run(agent: Rc<Agent>, request: Request) {
    let (id, key, idempotent) = (request.id, request.key.clone(), request.idempotent);
    let before = agent.now();
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
        .end(id, &key, idempotent, &outcome, now);
    let served = now.saturating_sub(before);
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
    /// Records the end of a run and returns the other requests that wait for it.
    fn end(
        &mut self,
        id: RequestId,
        key: &Key,
        idempotent: bool,
        outcome: &Outcome,
        now: Duration,
    ) -> Vec<RequestId> {
        self.running.remove(&id);
        let end = match outcome {
            // A copy, because the body is a slice of a read buffer that is many times its size and
            // would be kept as a whole.
            Outcome::Answered { body } => End::Answered(Bytes::copy_from_slice(body)),
            Outcome::Failed { .. } => End::Failed,
            Outcome::NotStarted { .. } => End::NotStarted,
            Outcome::Unknown { .. } => End::Unknown,
        };
        let fenced = end == End::NotStarted && !idempotent;
        let waiters = self.keys.finish(now, owner(id), key, end);
        if fenced {
            // The request may have fenced the key on all agents and run elsewhere now, so an
            // earlier request with this key must not start here.
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

fn forgotten() -> Reason {
    Reason::Other {
        detail: "the key was used before, and what became of it is not known".to_owned(),
    }
}

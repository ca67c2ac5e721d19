//! Requests that have not been answered yet.

use super::RequestHead;
use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::burn::{Observation, Verdict};
use godwitstep_core::id::Key;
use godwitstep_core::router::{Outcome, Sequence};
use godwitstep_wire as wire;
use smol::channel::Sender;
use std::time::Duration;

/// Data that came with a target's reply to a request.
#[derive(Debug, Clone)]
pub struct TargetReply {
    /// Sequence number of the request.
    pub sequence: Sequence,
    /// Answer of the target, or its error text.
    pub body: Bytes,
    /// Time that the target spent on the request, if it ran.
    pub served: Option<Duration>,
}

/// A request that has been passed to the router.
#[derive(Debug)]
pub struct Pending {
    pub head: RequestHead,
    /// Key as sent to agents, prefixed by the workspace.
    pub key: Key,
    /// Body of the caller's request, kept for another attempt.
    pub body: Bytes,
    pub arrived: Duration,
    pub sent: Option<Duration>,
    pub answer: Sender<(Outcome, Bytes)>,
}

impl Pending {
    /// Returns the frame that carries the request to an agent.
    pub fn frame(&self, id: wire::RequestId, now: Duration) -> wire::Request {
        wire::Request {
            id,
            service: self.head.service.clone(),
            key: self.key.clone(),
            idempotent: self.head.idempotent,
            age: now.saturating_sub(self.arrived),
            left: (self.arrived + self.head.deadline).saturating_sub(now),
            body: self.body.clone(),
        }
    }

    /// Returns the observation to count for the request, or `None` if the caller cancelled it
    /// before its objective had passed.
    pub fn observe(
        &self,
        now: Duration,
        outcome: &Outcome,
        served: Option<Duration>,
    ) -> Option<Observation> {
        let elapsed = now.saturating_sub(self.arrived);
        let late = elapsed > self.head.objective;
        let verdict = match outcome {
            Outcome::Answered { .. } if late => Verdict::Late,
            Outcome::Answered { .. } => Verdict::OnTime,
            Outcome::Failed { .. } => Verdict::Failed,
            Outcome::Unknown {
                reason: Reason::Cancelled,
            } => late.then_some(Verdict::Late)?,
            Outcome::NotRun(refusal) if refusal.reason == Reason::Cancelled => {
                late.then_some(Verdict::Late)?
            }
            Outcome::NotRun(_) => Verdict::Refused,
            Outcome::Unknown { .. } => Verdict::Unknown,
        };
        let queue = self.sent.map(|sent| sent.saturating_sub(self.arrived));
        let link = self
            .sent
            .zip(served)
            .map(|(sent, served)| now.saturating_sub(sent).saturating_sub(served));
        let (workspace, kind) = (self.head.workspace.clone(), self.head.kind.clone());
        let observation = Observation::new(workspace, kind, verdict);
        Some(
            observation
                .refund(self.head.refund)
                .steps(queue, link, served),
        )
    }
}

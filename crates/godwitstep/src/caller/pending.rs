//! Callers that wait for their answer.

use super::Ask;
use bytes::Bytes;
use godwitstep_core::Reason;
use godwitstep_core::burn::{Observation, Verdict};
use godwitstep_core::id::Key;
use godwitstep_core::router::{Outcome, Sequence};
use godwitstep_wire as wire;
use smol::channel::Sender;
use std::time::Duration;

/// What a target gave with its reply to a request.
#[derive(Debug, Clone)]
pub struct Given {
    /// The request.
    pub sequence: Sequence,
    /// Its answer or its words.
    pub body: Bytes,
    /// Time that it took.
    pub served: Option<Duration>,
}

/// A request that has been handed to the router.
#[derive(Debug)]
pub struct Pending {
    pub ask: Ask,
    /// Key with the prefix that agents see.
    pub key: Key,
    /// The caller's body, kept for sending again.
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
            service: self.ask.service.clone(),
            key: self.key.clone(),
            idempotent: self.ask.idempotent,
            age: now.saturating_sub(self.arrived),
            left: (self.arrived + self.ask.deadline).saturating_sub(now),
            body: self.body.clone(),
        }
    }

    /// Returns what is counted of the request, or `None` if its caller went away in time.
    pub fn observe(
        &self,
        now: Duration,
        outcome: &Outcome,
        served: Option<Duration>,
    ) -> Option<Observation> {
        let elapsed = now.saturating_sub(self.arrived);
        let late = elapsed > self.ask.objective;
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
        let (workspace, kind) = (self.ask.workspace.clone(), self.ask.kind.clone());
        let observation = Observation::new(workspace, kind, verdict);
        Some(
            observation
                .refund(self.ask.refund)
                .steps(queue, link, served),
        )
    }
}

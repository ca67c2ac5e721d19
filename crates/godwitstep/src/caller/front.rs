//! Drives the router: passes events in and executes the resulting actions.

use super::pending::{Pending, TargetReply};
use bytes::Bytes;
use fastrand::Rng;
use godwitstep_core::Clock;
use godwitstep_core::burn::Ledger;
use godwitstep_core::id::{EntryId, Incarnation, Key, TargetId};
use godwitstep_core::router::{Action, Event, KeyState, Reply, Router, Sequence, Settings};
use godwitstep_wire as wire;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Interval between ticks of the router.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a [`Frontend`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the entry.
    pub entry: EntryId,
    /// Incarnation of the entry, part of every request identifier.
    pub incarnation: Incarnation,
    /// Router settings, such as limits and timeouts.
    pub settings: Settings,
    /// Seed of the router's random choices.
    pub seed: u64,
}

/// Command to an agent, sent over its link.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentCommand {
    /// Run a request.
    Send {
        /// Target that the agent serves.
        target: TargetId,
        /// Request to run.
        request: wire::Request,
    },
    /// Fence a key, so that earlier requests with it can't start any more.
    Fence {
        /// Target that the agent serves.
        target: TargetId,
        /// Identifier of the request that will own the key.
        id: wire::RequestId,
        /// Key to fence, prefixed by the workspace and a slash.
        key: Key,
    },
    /// Cancel a request whose caller no longer waits.
    Cancel {
        /// Target that the agent serves.
        target: TargetId,
        /// Identifier of the cancelled request.
        id: wire::RequestId,
    },
}

/// Accepts callers' requests, drives the [`Router`] and answers the callers.
///
/// Commands to agents go to the sink, which may call back into this type.
pub struct Frontend {
    pub(super) incarnation: Incarnation,
    pub(super) clock: Arc<dyn Clock>,
    sink: Box<dyn Fn(AgentCommand)>,
    /// Commands that have not been passed to the sink yet.
    outbox: RefCell<VecDeque<AgentCommand>>,
    /// Whether a call to the sink is in progress.
    sending: Cell<bool>,
    pub(super) state: RefCell<State>,
    pub(super) stopping: Cell<bool>,
}

pub(super) struct State {
    pub(super) router: Router,
    pub(super) rng: Rng,
    pub(super) pending: BTreeMap<Sequence, Pending>,
    /// Sequence number of the newest request.
    pub(super) last_sequence: Sequence,
    ledger: Ledger,
}

impl Frontend {
    /// Returns an instance without targets and workspaces.
    #[must_use]
    pub fn new(
        options: Options,
        clock: Arc<dyn Clock>,
        sink: impl Fn(AgentCommand) + 'static,
    ) -> Self {
        let state = State {
            router: Router::new(options.settings, options.seed),
            rng: Rng::with_seed(options.seed),
            pending: BTreeMap::new(),
            last_sequence: 0,
            ledger: Ledger::new(options.entry, options.incarnation),
        };
        Self {
            incarnation: options.incarnation,
            clock,
            sink: Box::new(sink),
            outbox: RefCell::default(),
            sending: Cell::new(false),
            state: RefCell::new(state),
            stopping: Cell::new(false),
        }
    }

    /// Passes an event to the router and executes the resulting actions.
    pub fn handle(&self, event: Event) {
        if event == Event::Stop {
            self.stopping.set(true);
        }
        self.apply(event, None);
    }

    /// Handles an agent's reply to a request. Replies to an earlier incarnation of this entry are
    /// ignored.
    pub fn reply(&self, target: TargetId, reply: wire::Reply) {
        if reply.id.incarnation != self.incarnation {
            return;
        }
        let (body, reply_kind) = match reply.outcome {
            wire::Outcome::Answered { body } => (body, Reply::Answered),
            wire::Outcome::Failed { body } => (body, Reply::Failed),
            wire::Outcome::NotStarted { reason } => (Bytes::new(), Reply::NotStarted(reason)),
            wire::Outcome::Unknown { .. } => (Bytes::new(), Reply::Unknown),
        };
        let served = matches!(reply_kind, Reply::Answered | Reply::Failed).then_some(reply.served);
        let sequence = reply.id.sequence;
        let target_reply = TargetReply {
            sequence,
            body,
            served,
        };
        let reply = reply_kind;
        let event = Event::Reply {
            sequence,
            target,
            reply,
        };
        self.apply(event, Some(&target_reply));
    }

    /// Handles an agent's reply to a fence. Replies to an earlier incarnation of this entry are
    /// ignored.
    pub fn fenced(&self, target: TargetId, id: wire::RequestId, state: KeyState) {
        if id.incarnation == self.incarnation {
            let sequence = id.sequence;
            self.handle(Event::Fenced {
                sequence,
                target,
                state,
            });
        }
    }

    /// Ticks the router at a fixed interval; never returns.
    pub async fn run(&self) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.handle(Event::Tick);
        }
    }

    /// Waits until all requests are answered, for at most `limit`. Returns the number of requests
    /// that are still unanswered and will be aborted.
    pub async fn drain(&self, limit: Duration) -> usize {
        let end = self.clock.now() + limit;
        while self.open() > 0 && self.clock.now() < end {
            Timer::after(TICK_INTERVAL).await;
        }
        let open = self.open();
        if open > 0 {
            tracing::warn!(open, "stopping; requests in progress are aborted");
        }
        open
    }

    /// Returns the number of requests that have not been answered.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state.borrow().pending.len()
    }

    /// Calls `read` with the router and returns its result.
    pub fn inspect<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&self.state.borrow().router)
    }

    /// Returns a copy of the service-level counters of this entry.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.state.borrow().ledger.clone()
    }

    fn apply(&self, event: Event, target_reply: Option<&TargetReply>) {
        let now = self.clock.now();
        {
            let mut state = self.state.borrow_mut();
            let mut actions = Vec::new();
            state.router.handle(now, event, &mut actions);
            if let Some(violation) = state.router.violation() {
                tracing::error!(violation, "an invariant of the router is broken");
                debug_assert!(false, "an invariant of the router is broken: {violation}");
            }
            let wall = self.clock.wall();
            let command = |action| state.execute(self.incarnation, now, wall, action, target_reply);
            let commands = actions.into_iter().filter_map(command);
            self.outbox.borrow_mut().extend(commands);
        }
        self.flush();
    }

    /// Passes the queued commands to the sink. If the sink calls back with events, the call that is
    /// already in progress passes on the resulting commands, which preserves their order and bounds
    /// the stack depth.
    fn flush(&self) {
        if self.sending.replace(true) {
            return;
        }
        loop {
            let command = self.outbox.borrow_mut().pop_front();
            let Some(command) = command else {
                break;
            };
            (self.sink)(command);
        }
        self.sending.set(false);
    }
}

impl State {
    fn execute(
        &mut self,
        incarnation: Incarnation,
        now: Duration,
        wall: SystemTime,
        action: Action,
        target_reply: Option<&TargetReply>,
    ) -> Option<AgentCommand> {
        let id = |sequence| wire::RequestId {
            incarnation,
            sequence,
        };
        match action {
            Action::Send { sequence, target } => {
                let pending = self.pending.get_mut(&sequence)?;
                pending.sent = Some(now);
                let request = pending.frame(id(sequence), now);
                Some(AgentCommand::Send { target, request })
            }
            Action::Fence { sequence, target } => {
                let key = self.pending.get(&sequence)?.key.clone();
                let id = id(sequence);
                Some(AgentCommand::Fence { target, id, key })
            }
            Action::Cancel { sequence, target } => {
                let id = id(sequence);
                Some(AgentCommand::Cancel { target, id })
            }
            Action::Answer { sequence, outcome } => {
                let pending = self.pending.remove(&sequence)?;
                let target_reply =
                    target_reply.filter(|target_reply| target_reply.sequence == sequence);
                let served = target_reply.and_then(|target_reply| target_reply.served);
                if let Some(observation) = pending.observe(now, &outcome, served) {
                    if let (Some(queue), Some(link)) = (observation.queue, observation.link) {
                        metrics::histogram!("godwitstep_added_seconds").record(queue + link);
                    }
                    self.ledger.record(wall, &observation);
                }
                let body = target_reply
                    .map(|target_reply| target_reply.body.clone())
                    .unwrap_or_default();
                // Fails only if the caller has disconnected and dropped the receiver.
                let _ = pending.answer.try_send((outcome, body));
                None
            }
        }
    }
}

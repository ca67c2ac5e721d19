//! The driver of the router.

use super::pending::{Given, Pending};
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

/// Time between ticks of the router.
const TICK: Duration = Duration::from_millis(20);
/// What a front is made from.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the entry.
    pub entry: EntryId,
    /// Life of the entry.
    pub incarnation: Incarnation,
    /// Settings of the router.
    pub settings: Settings,
    /// Seed of the router's random choices.
    pub seed: u64,
}

/// What is to be sent to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Send a request.
    Send {
        /// The target.
        target: TargetId,
        /// The request.
        request: wire::Request,
    },
    /// Ask for a fence.
    Fence {
        /// The target.
        target: TargetId,
        /// The request that will own the key.
        id: wire::RequestId,
        /// The key, prefixed by the workspace and a slash.
        key: Key,
    },
    /// Tell that nobody waits any more.
    Cancel {
        /// The target.
        target: TargetId,
        /// The request.
        id: wire::RequestId,
    },
}

/// Takes callers' requests, drives the [`Router`] and answers.
///
/// Orders to agents go to the sink, which may call the front again.
pub struct Front {
    pub(super) incarnation: Incarnation,
    pub(super) clock: Arc<dyn Clock>,
    sink: Box<dyn Fn(Order)>,
    /// Orders that the sink has not been given yet.
    outbox: RefCell<VecDeque<Order>>,
    /// Whether the sink is being called.
    sending: Cell<bool>,
    pub(super) state: RefCell<State>,
    /// Bytes of bodies that are held or announced.
    pub(super) held: Cell<usize>,
    pub(super) stopping: Cell<bool>,
}

pub(super) struct State {
    pub(super) router: Router,
    pub(super) rng: Rng,
    pub(super) pending: BTreeMap<Sequence, Pending>,
    /// Number of the newest request.
    pub(super) last: Sequence,
    ledger: Ledger,
}

impl Front {
    /// Returns a front without targets and workspaces.
    #[must_use]
    pub fn new(options: Options, clock: Arc<dyn Clock>, sink: impl Fn(Order) + 'static) -> Self {
        let state = State {
            router: Router::new(options.settings, options.seed),
            rng: Rng::with_seed(options.seed),
            pending: BTreeMap::new(),
            last: 0,
            ledger: Ledger::new(options.entry, options.incarnation),
        };
        Self {
            incarnation: options.incarnation,
            clock,
            sink: Box::new(sink),
            outbox: RefCell::default(),
            sending: Cell::new(false),
            state: RefCell::new(state),
            held: Cell::new(0),
            stopping: Cell::new(false),
        }
    }

    /// Passes an event to the router and carries out what it asks for.
    pub fn handle(&self, event: Event) {
        if event == Event::Stop {
            self.stopping.set(true);
        }
        self.apply(event, None);
    }

    /// Takes in a reply of an agent. One to an earlier life of this entry is passed over.
    pub fn reply(&self, target: TargetId, reply: wire::Reply) {
        if reply.id.incarnation != self.incarnation {
            return;
        }
        let (body, what) = match reply.outcome {
            wire::Outcome::Answered { body } => (body, Reply::Answered),
            wire::Outcome::Failed { body } => (body, Reply::Failed),
            wire::Outcome::NotStarted { reason } => (Bytes::new(), Reply::NotStarted(reason)),
            wire::Outcome::Unknown { .. } => (Bytes::new(), Reply::Unknown),
        };
        let served = matches!(what, Reply::Answered | Reply::Failed).then_some(reply.served);
        let sequence = reply.id.sequence;
        let given = Given {
            sequence,
            body,
            served,
        };
        let reply = what;
        let event = Event::Reply {
            sequence,
            target,
            reply,
        };
        self.apply(event, Some(&given));
    }

    /// Takes in an agent's reply to a fence. One to an earlier life of this entry is passed over.
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

    /// Ticks the router for ever.
    pub async fn run(&self) {
        loop {
            Timer::after(TICK).await;
            self.handle(Event::Tick);
        }
    }

    /// Waits until all requests are answered, for at most `limit`. Returns the number of requests
    /// that are still open and will be cut off.
    pub async fn drain(&self, limit: Duration) -> usize {
        let end = self.clock.now() + limit;
        while self.open() > 0 && self.clock.now() < end {
            Timer::after(TICK).await;
        }
        let open = self.open();
        if open > 0 {
            tracing::warn!(open, "stopping cuts off requests in progress");
        }
        open
    }

    /// Returns the number of requests that have not been answered.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state.borrow().pending.len()
    }

    /// Gives access to the router's state.
    pub fn inspect<T>(&self, look: impl FnOnce(&Router) -> T) -> T {
        look(&self.state.borrow().router)
    }

    /// Returns a copy of the service-level counters of this entry.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.state.borrow().ledger.clone()
    }

    fn apply(&self, event: Event, given: Option<&Given>) {
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
            let order = |action| state.perform(self.incarnation, now, wall, action, given);
            let orders = actions.into_iter().filter_map(order);
            self.outbox.borrow_mut().extend(orders);
        }
        self.flush();
    }

    /// Gives the orders to the sink. If the sink comes back with events, what they lead to is sent
    /// by the call that is already under way: orders keep their sequence and the stack its depth.
    fn flush(&self) {
        if self.sending.replace(true) {
            return;
        }
        loop {
            let order = self.outbox.borrow_mut().pop_front();
            let Some(order) = order else {
                break;
            };
            (self.sink)(order);
        }
        self.sending.set(false);
    }
}

impl State {
    fn perform(
        &mut self,
        incarnation: Incarnation,
        now: Duration,
        wall: SystemTime,
        action: Action,
        given: Option<&Given>,
    ) -> Option<Order> {
        let id = |sequence| wire::RequestId {
            incarnation,
            sequence,
        };
        match action {
            Action::Send { sequence, target } => {
                let pending = self.pending.get_mut(&sequence)?;
                pending.sent = Some(now);
                let request = pending.frame(id(sequence), now);
                Some(Order::Send { target, request })
            }
            Action::Fence { sequence, target } => {
                let key = self.pending.get(&sequence)?.key.clone();
                let id = id(sequence);
                Some(Order::Fence { target, id, key })
            }
            Action::Cancel { sequence, target } => {
                let id = id(sequence);
                Some(Order::Cancel { target, id })
            }
            Action::Answer { sequence, outcome } => {
                let pending = self.pending.remove(&sequence)?;
                let given = given.filter(|given| given.sequence == sequence);
                let served = given.and_then(|given| given.served);
                if let Some(observation) = pending.observe(now, &outcome, served) {
                    if let (Some(queue), Some(link)) = (observation.queue, observation.link) {
                        metrics::histogram!("godwitstep_added_seconds").record(queue + link);
                    }
                    self.ledger.record(wall, &observation);
                }
                let body = given.map(|given| given.body.clone()).unwrap_or_default();
                // The receiver is gone if the caller is.
                let _ = pending.answer.try_send((outcome, body));
                None
            }
        }
    }
}

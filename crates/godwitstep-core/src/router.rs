//! The entry's policy for requests: order, admission, choice of target, retries, at most once.
//!
//! The router takes [`Event`]s with a time and returns [`Action`]s. Bodies stay outside.
//!
//! ```
//! use godwitstep_core::router::{Action, Event, Router, Settings, Target};
//! use std::time::Duration;
//!
//! let mut router = Router::new(Settings::new("karratha-shed"), 1);
//! let mut actions: Vec<Action> = Vec::new();
//! let target = Target {
//!     id: "runner-1".into(),
//!     incarnation: 1,
//!     service: "stitchwatch".into(),
//!     domain: "karratha-shed".into(),
//!     slots: 8,
//! };
//! router.handle(Duration::ZERO, Event::TargetUp(target), &mut actions);
//! assert!(actions.is_empty());
//! assert_eq!(router.violation(), None);
//! ```

mod arrive;
mod audit;
mod dispatch;
mod event;
mod fence;
mod fleet;
mod item;
mod pace;
mod queue;
mod reply;
mod settings;

pub use event::{
    Action, Event, Gone, KeyState, Outcome, Refusal, Reply, Request, Sequence, Target,
};
pub use settings::Settings;

use crate::admission::Observed;
use crate::authority::Standing;
use crate::backoff::spread;
use crate::budget::Budget;
use crate::id::{KindId, ServiceId, WorkspaceId};
use crate::reason::Reason;
use crate::resource::Workspace;
use audit::Audit;
use fastrand::Rng;
use fleet::Fleet;
use item::{Item, Phase};
use queue::{Counts, Queue};
use std::collections::BTreeMap;
use std::time::Duration;

/// Gap between events after which this process counts as having been paused.
const PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which heartbeats are not relied on: they may have waited in a buffer.
const SETTLE: Duration = Duration::from_millis(250);
/// Time between checks of whether queued requests can still meet their deadlines.
const RECHECK: Duration = Duration::from_millis(100);
/// Shortest time to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The request policy of one entry.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: Rng,
    workspaces: BTreeMap<WorkspaceId, Workspace>,
    standing: Standing,
    stopping: bool,
    fleet: Fleet,
    /// Requests that have arrived and have not been answered.
    items: BTreeMap<Sequence, Item>,
    queues: BTreeMap<ServiceId, Queue>,
    counts: Counts,
    budget: Budget,
    by_service: BTreeMap<ServiceId, Observed>,
    by_kind: BTreeMap<(ServiceId, WorkspaceId, KindId), Observed>,
    /// Time of the first event.
    started: Option<Duration>,
    last: Duration,
    /// Heartbeats received before this time are not relied on.
    reliable_from: Duration,
    next_check: Duration,
    audit: Audit,
}

impl Router {
    /// Returns a router without targets and workspaces, with the standing
    /// [`Fresh`](Standing::Fresh).
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: Rng::with_seed(seed),
            workspaces: BTreeMap::new(),
            standing: Standing::Fresh,
            stopping: false,
            fleet: Fleet::default(),
            items: BTreeMap::new(),
            queues: BTreeMap::new(),
            counts: Counts::default(),
            budget: Budget::default(),
            by_service: BTreeMap::new(),
            by_kind: BTreeMap::new(),
            started: None,
            last: Duration::ZERO,
            reliable_from: Duration::ZERO,
            next_check: Duration::ZERO,
            audit: Audit::default(),
        }
    }

    /// Handles one event at the time `now`, which never decreases, and adds what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let first = actions.len();
        let tick = event == Event::Tick;
        self.audit.hear(now, &event);
        self.notice_pause(now);
        self.apply(now, event, actions);
        self.audit.check(now, tick, &actions[first..]);
    }

    /// Returns the first violation of an invariant, with its context. Always `None` unless the
    /// router is faulty.
    #[must_use]
    pub fn violation(&self) -> Option<&str> {
        self.audit.violation()
    }

    /// Returns a declared workspace.
    #[must_use]
    pub fn workspace(&self, id: &str) -> Option<&Workspace> {
        self.workspaces.get(id)
    }

    /// Returns the number of requests that have arrived and have not been answered.
    #[must_use]
    pub fn open(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of requests that wait for a slot or for agents' word on their key.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.counts.total()
    }

    /// Returns the linked targets, with the number of requests that each is running for this
    /// entry.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, usize)> {
        self.fleet
            .members
            .values()
            .map(|member| (&member.target, member.ours()))
    }

    /// Returns the lives of targets that are not linked to this entry and may have run keys, for
    /// peer entries. See [`Event::TargetGone`].
    #[must_use]
    pub fn gone(&self, now: Duration) -> Vec<Gone> {
        self.fleet.absent(now, self.settings.key_window)
    }

    fn apply(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(request) => self.arrive(now, request, actions),
            Event::CallerGone { sequence } => {
                self.give_up(now, sequence, Reason::Cancelled, None, actions);
            }
            Event::Workspace { id, spec } => {
                match spec {
                    Some(spec) => self.workspaces.insert(id, spec),
                    None => self.workspaces.remove(&id),
                };
            }
            Event::Domain { id, in_service } => {
                self.fleet.domain(id, in_service);
                self.drop_hopeless(now, actions);
            }
            Event::Standing(standing) => {
                self.standing = standing;
                if !standing.may_start() {
                    self.halt(now, actions);
                }
            }
            // A target is sent to from the next event on: the announcement of one that is leaving
            // comes as two events.
            Event::TargetUp(target) => return self.target_up(now, &target, actions),
            Event::TargetElsewhere(target) => {
                let (id, incarnation, service) = (target.id, target.incarnation, target.service);
                self.fleet.gone(now, id, incarnation, service);
            }
            Event::TargetGone(gone) => {
                let known = now.saturating_sub(gone.age);
                self.fleet
                    .gone(known, gone.id, gone.incarnation, gone.service);
            }
            Event::Load { id, busy, ours } => {
                let reliable = now >= self.reliable_from;
                self.fleet.load(now, &id, busy, ours, reliable);
            }
            Event::TargetLeaving { id } => {
                if let Some(member) = self.fleet.members.get_mut(&id) {
                    member.leaving = true;
                }
                self.drop_hopeless(now, actions);
            }
            Event::TargetLost { id, incarnation } => {
                self.target_lost(now, &id, incarnation, actions);
            }
            Event::Reply {
                sequence,
                target,
                reply,
            } => self.reply(now, sequence, &target, reply, actions),
            Event::Fenced {
                sequence,
                target,
                state,
            } => self.fenced(now, sequence, &target, state, actions),
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    /// Stops relying on heartbeats if no event came for a while: this process was paused, and
    /// domains and targets may have left meanwhile.
    fn notice_pause(&mut self, now: Duration) {
        if self.started.is_none() {
            self.started = Some(now);
        } else if now.saturating_sub(self.last) > PAUSE {
            self.fleet.distrust();
            self.reliable_from = now + SETTLE;
        }
        self.last = self.last.max(now);
    }

    /// Returns a time to come back, lengthened at random.
    fn come_back(&mut self, after: Duration) -> Duration {
        spread(after.max(MIN_RETRY_AFTER), &mut self.rng)
    }

    /// Moves a request to a phase, and with it in or out of its queue and the counts.
    fn set_phase(&mut self, now: Duration, sequence: Sequence, phase: Phase) {
        let Some(item) = self.items.get_mut(&sequence) else {
            return;
        };
        let before = item.is_waiting();
        let old = std::mem::replace(&mut item.phase, phase);
        let after = item.is_waiting();
        let (service, workspace) = (&item.request.service, &item.request.workspace);
        if before != after {
            self.counts.change(service, workspace, after);
        }
        let (priority, deadline) = (item.priority, item.request.deadline);
        if old == Phase::Queued
            && let Some(queue) = self.queues.get_mut(service)
        {
            queue.remove(priority, deadline, sequence);
        }
        if item.phase == Phase::Queued {
            let queue = self.queues.entry(service.clone()).or_default();
            queue.insert(now, priority, deadline, sequence, item.latest);
        }
    }

    /// Removes a request and answers it.
    fn answer(
        &mut self,
        now: Duration,
        sequence: Sequence,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(item) = self.items.get(&sequence) else {
            return;
        };
        if let Phase::Sent { target, .. } = &item.phase {
            if let Some(member) = self.fleet.members.get_mut(target) {
                member.abandon(now, sequence);
            }
            // A request that must not run twice is left to end: its answer is kept for the key.
            if item.request.idempotent {
                let target = target.clone();
                actions.push(Action::Cancel { sequence, target });
            }
        }
        self.set_phase(now, sequence, Phase::Idle);
        self.items.remove(&sequence);
        actions.push(Action::Answer { sequence, outcome });
    }

    /// Answers a request that will not be pursued: as not run if that is certain.
    fn give_up(
        &mut self,
        now: Duration,
        sequence: Sequence,
        reason: Reason,
        retry_after: impl Into<Option<Duration>>,
        actions: &mut Vec<Action>,
    ) {
        let Some(item) = self.items.get(&sequence) else {
            return;
        };
        let outcome = if item.is_unrun() {
            let retry_after = retry_after.into();
            Outcome::NotRun(Refusal {
                reason,
                retry_after,
            })
        } else {
            Outcome::Unknown { reason }
        };
        self.answer(now, sequence, outcome, actions);
    }
}

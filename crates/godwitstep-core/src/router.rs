//! Request routing in an entry: admission, queueing, target selection, retries and at-most-once
//! delivery.
//!
//! The router takes [`Event`]s with a time and returns [`Action`]s. Request and response bodies
//! are kept by the caller of the router.
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
mod dequeue_rate;
mod dispatch;
mod event;
mod fence;
mod fleet;
mod pending;
mod queue;
mod reply;
mod settings;

pub use event::{
    Action, Event, KeyState, Outcome, Refusal, Reply, Request, Sequence, Target, UnreachableTarget,
};
pub use settings::Settings;

use crate::admission::ServiceTimes;
use crate::authority::OperatingMode;
use crate::backoff::add_jitter;
use crate::budget::Budget;
use crate::id::{KindId, ServiceId, WorkspaceId};
use crate::reason::Reason;
use crate::resource::Workspace;
use audit::Audit;
use fastrand::Rng;
use fleet::Fleet;
use pending::{PendingRequest, Phase};
use queue::{Counts, Queue};
use std::collections::BTreeMap;
use std::time::Duration;

/// Gap between events above which this process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Time after a pause during which heartbeats are ignored: they may have been buffered.
const IGNORE_HEARTBEATS_AFTER_PAUSE: Duration = Duration::from_millis(250);
/// Time between checks of whether queued requests can still meet their deadlines.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest retry-after time that is returned to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Routes the requests of one entry to targets.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: Rng,
    workspaces: BTreeMap<WorkspaceId, Workspace>,
    operating_mode: OperatingMode,
    stopping: bool,
    fleet: Fleet,
    /// Requests that have arrived and have not been answered.
    pending: BTreeMap<Sequence, PendingRequest>,
    queues: BTreeMap<ServiceId, Queue>,
    counts: Counts,
    budget: Budget,
    /// Observed service times by service.
    times_by_service: BTreeMap<ServiceId, ServiceTimes>,
    /// Observed service times by service, workspace and kind.
    times_by_kind: BTreeMap<(ServiceId, WorkspaceId, KindId), ServiceTimes>,
    /// Time of the first event.
    first_event: Option<Duration>,
    /// Time of the newest event.
    last_event: Duration,
    /// Heartbeats received before this time are ignored.
    reliable_from: Duration,
    next_deadline_check: Duration,
    audit: Audit,
}

impl Router {
    /// Returns a router without targets or workspaces whose operating mode is
    /// [`Normal`](OperatingMode::Normal). `seed` drives the jitter of retry-after times.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: Rng::with_seed(seed),
            workspaces: BTreeMap::new(),
            operating_mode: OperatingMode::Normal,
            stopping: false,
            fleet: Fleet::default(),
            pending: BTreeMap::new(),
            queues: BTreeMap::new(),
            counts: Counts::default(),
            budget: Budget::default(),
            times_by_service: BTreeMap::new(),
            times_by_kind: BTreeMap::new(),
            first_event: None,
            last_event: Duration::ZERO,
            reliable_from: Duration::ZERO,
            next_deadline_check: Duration::ZERO,
            audit: Audit::default(),
        }
    }

    /// Handles one event at the time `now`, which never decreases, and appends the resulting
    /// actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let first = actions.len();
        let tick = event == Event::Tick;
        self.audit.record_event(now, &event);
        self.detect_pause(now);
        self.apply(now, event, actions);
        self.audit.check_actions(now, tick, &actions[first..]);
    }

    /// Returns the first invariant violation that was found, with its time and context. `None`
    /// unless the router has a bug.
    #[must_use]
    pub fn violation(&self) -> Option<&str> {
        self.audit.violation()
    }

    /// Returns the spec of a workspace, or `None` if it is not declared.
    #[must_use]
    pub fn workspace(&self, id: &str) -> Option<&Workspace> {
        self.workspaces.get(id)
    }

    /// Returns the number of requests that have arrived and have not been answered.
    #[must_use]
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of requests that wait for a free slot or for fence replies.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.counts.total()
    }

    /// Returns the linked targets, each with the number of requests of this entry that it is
    /// assumed to run.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, usize)> {
        self.fleet
            .members
            .values()
            .map(|member| (&member.target, member.ours()))
    }

    /// Returns the incarnations of targets that are not linked to this entry and may have run
    /// keys. Peer entries receive them as [`Event::TargetUnreachable`].
    #[must_use]
    pub fn unreachable_targets(&self, now: Duration) -> Vec<UnreachableTarget> {
        self.fleet.unreachable(now, self.settings.key_window)
    }

    fn apply(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive(request) => self.arrive(now, request, actions),
            Event::CallerDisconnected { sequence } => {
                self.abort(now, sequence, Reason::Cancelled, None, actions);
            }
            Event::Workspace { id, spec } => {
                match spec {
                    Some(spec) => self.workspaces.insert(id, spec),
                    None => self.workspaces.remove(&id),
                };
            }
            Event::Domain { id, in_service } => {
                self.fleet.set_domain(id, in_service);
                self.drop_without_target(now, actions);
            }
            Event::OperatingMode(operating_mode) => {
                self.operating_mode = operating_mode;
                if !operating_mode.may_start() {
                    self.drop_all_queued(now, actions);
                }
            }
            // Returns without dispatching: an agent that is leaving announces its target and then
            // reports in a second event that it is leaving.
            Event::TargetUp(target) => return self.target_up(now, &target, actions),
            Event::TargetSeenByPeer(target) => {
                let (id, incarnation, service) = (target.id, target.incarnation, target.service);
                self.fleet.record_unreachable(now, id, incarnation, service);
            }
            Event::TargetUnreachable(gone) => {
                let last_seen = now.saturating_sub(gone.age);
                self.fleet
                    .record_unreachable(last_seen, gone.id, gone.incarnation, gone.service);
            }
            Event::Load { id, busy, ours } => {
                let reliable = now >= self.reliable_from;
                self.fleet.record_heartbeat(now, &id, busy, ours, reliable);
            }
            Event::TargetLeaving { id } => {
                if let Some(member) = self.fleet.members.get_mut(&id) {
                    member.leaving = true;
                }
                self.drop_without_target(now, actions);
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
            } => self.fence_reply(now, sequence, &target, state, actions),
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    /// Invalidates all heartbeats after a gap between events: this process was paused, and domains
    /// or targets may have left in the meantime.
    fn detect_pause(&mut self, now: Duration) {
        if self.first_event.is_none() {
            self.first_event = Some(now);
        } else if now.saturating_sub(self.last_event) > PAUSE_THRESHOLD {
            self.fleet.invalidate_heartbeats();
            self.reliable_from = now + IGNORE_HEARTBEATS_AFTER_PAUSE;
        }
        self.last_event = self.last_event.max(now);
    }

    /// Returns a retry-after time of at least [`MIN_RETRY_AFTER`], with random jitter added.
    fn jittered_retry_after(&mut self, after: Duration) -> Duration {
        add_jitter(after.max(MIN_RETRY_AFTER), &mut self.rng)
    }

    /// Sets the phase of a request, and updates its queue and the counts of waiting requests.
    fn set_phase(&mut self, now: Duration, sequence: Sequence, phase: Phase) {
        let Some(pending) = self.pending.get_mut(&sequence) else {
            return;
        };
        let before = pending.is_waiting();
        let old = std::mem::replace(&mut pending.phase, phase);
        let after = pending.is_waiting();
        let (service, workspace) = (&pending.request.service, &pending.request.workspace);
        if before != after {
            self.counts.update(service, workspace, after);
        }
        let (priority, deadline) = (pending.priority, pending.request.deadline);
        if old == Phase::Queued
            && let Some(queue) = self.queues.get_mut(service)
        {
            queue.remove(priority, deadline, sequence);
        }
        if pending.phase == Phase::Queued {
            let queue = self.queues.entry(service.clone()).or_default();
            queue.insert(now, priority, deadline, sequence, pending.latest_start);
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
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        if let Phase::Sent { target, .. } = &pending.phase {
            if let Some(member) = self.fleet.members.get_mut(target) {
                member.abandon(now, sequence);
            }
            // A non-idempotent request runs to its end: the agent keeps its answer for the key, so
            // that a repeated request gets it.
            if pending.request.idempotent {
                let target = target.clone();
                actions.push(Action::Cancel { sequence, target });
            }
        }
        self.set_phase(now, sequence, Phase::Undecided);
        self.pending.remove(&sequence);
        actions.push(Action::Answer { sequence, outcome });
    }

    /// Ends a request without a result: answers it as not run if that is certain, else as unknown.
    fn abort(
        &mut self,
        now: Duration,
        sequence: Sequence,
        reason: Reason,
        retry_after: impl Into<Option<Duration>>,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&sequence) else {
            return;
        };
        let outcome = if pending.is_certainly_not_run() {
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

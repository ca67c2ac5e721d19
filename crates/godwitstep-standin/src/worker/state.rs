//! Lease, tasks and usage of a worker. The current time is passed in as an argument.

use super::report::{ListedTask, Refusal, TaskRecord, Usage};
use super::task::{EndReason, Spec, Task, TaskState};
use super::{Control, Status};
use crate::ledger::Ledger;
use crate::serve::unix_micros;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of ended tasks in the task list; the oldest are dropped.
const MAX_LISTED_ENDED: usize = 1000;
/// Maximum age of the reported usage.
const MAX_USAGE_DELAY: Duration = Duration::from_secs(600);
/// Time from the start after which a task of a failing worker fails.
const FAILURE_DELAY: Duration = Duration::from_millis(50);

struct Lease {
    number: u64,
    holder: String,
    expires: Instant,
}

pub(super) struct State {
    pub(super) status: Status,
    pub(super) ledger: Ledger<TaskRecord>,
    /// Number of changes of the task list so far.
    pub(super) sequence: u64,
    lease: Option<Lease>,
    /// Number of leases granted so far.
    lease_count: u64,
    tasks: BTreeMap<String, Task>,
    /// Names of the ended tasks in the task list, oldest first.
    listed_ended: VecDeque<String>,
    /// Numbers of accelerators in use and of running tasks, each from the given time on, oldest
    /// first.
    usage_history: VecDeque<(Instant, u32, usize)>,
}

impl State {
    pub(super) fn new(status: Status, now: Instant) -> Self {
        Self {
            status,
            ledger: Ledger::default(),
            sequence: 0,
            lease: None,
            lease_count: 0,
            tasks: BTreeMap::new(),
            listed_ended: VecDeque::new(),
            usage_history: VecDeque::from([(now, 0, 0)]),
        }
    }

    pub(super) fn control(&mut self, control: &Control) -> Status {
        let status = &mut self.status;
        status.failing = control.failing.unwrap_or(status.failing);
        status.usage_delay_ms = control.usage_delay_ms.unwrap_or(status.usage_delay_ms);
        status.checkpoint_ms = control.checkpoint_ms.unwrap_or(status.checkpoint_ms);
        *status
    }

    /// Acquires or renews the lease and returns its number, which a renewal does not change.
    pub(super) fn acquire_or_renew_lease(
        &mut self,
        holder: String,
        ttl: Duration,
        now: Instant,
    ) -> Result<u64, Refusal> {
        self.advance(now);
        let expires = now + ttl;
        if let Some(lease) = &mut self.lease {
            if lease.holder != holder {
                return Err(Refusal::LeaseHeld);
            }
            lease.expires = expires;
            return Ok(lease.number);
        }
        self.lease_count += 1;
        self.lease = Some(Lease {
            number: self.lease_count,
            holder,
            expires,
        });
        Ok(self.lease_count)
    }

    pub(super) fn start_task(&mut self, spec: &Spec, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        if self.lease.as_ref().map(|lease| lease.number) != Some(spec.lease) {
            return Err(Refusal::LeaseNotCurrent);
        }
        if self.tasks.contains_key(&spec.task) {
            return Err(Refusal::TaskExists);
        }
        if spec.accelerators > self.status.accelerators - self.accelerators_in_use() {
            return Err(Refusal::TooFewAccelerators);
        }
        let ledger_entry = self.ledger.push(TaskRecord {
            task: spec.task.clone(),
            accelerators: spec.accelerators,
            lease: spec.lease,
            started: unix_micros(),
            ended: None,
            how: None,
            progress_ms: spec.from_ms,
        });
        let mut task = Task::new(spec, ledger_entry, now);
        if self.status.failing {
            task.schedule_end(now + FAILURE_DELAY, EndReason::Failed);
        }
        self.tasks.insert(spec.task.clone(), task);
        self.record_change(now);
        Ok(())
    }

    pub(super) fn stop_task(&mut self, name: &str, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        self.running_task(name)?;
        self.end_task(name, EndReason::Stopped, now);
        Ok(())
    }

    /// Starts a checkpoint. The task makes no progress meanwhile and ends with it.
    pub(super) fn checkpoint_task(&mut self, name: &str, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        let end = now + Duration::from_millis(self.status.checkpoint_ms);
        let task = self.running_task(name)?;
        task.set_speed(0.0, now);
        task.schedule_end(end, EndReason::Checkpointed);
        Ok(())
    }

    /// Sets the speed of a task to a fraction of the full speed.
    pub(super) fn throttle_task(
        &mut self,
        name: &str,
        fraction: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.advance(now);
        self.running_task(name)?.set_speed(fraction, now);
        Ok(())
    }

    /// Ends all tasks that are due by `now`, and the lease with its tasks if it has lapsed.
    pub(super) fn advance(&mut self, now: Instant) {
        let due: Vec<_> = self
            .tasks
            .iter()
            .filter_map(|(name, task)| task.next_end().map(|end| (name.clone(), end)))
            .filter(|(_, (at, _))| *at <= now)
            .collect();
        for (name, (at, reason)) in due {
            // A task that was due only after the lease lapsed is ended by the lapse instead.
            if self.lease.as_ref().is_some_and(|lease| at <= lease.expires) {
                self.end_task(&name, reason, now);
            }
        }
        if self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.expires <= now)
        {
            self.lease = None;
            let running = self
                .tasks
                .iter()
                .filter(|(_, t)| t.state == TaskState::Running);
            let names: Vec<_> = running.map(|(name, _)| name.clone()).collect();
            for name in names {
                self.end_task(&name, EndReason::Lapsed, now);
            }
        }
    }

    /// Returns when [`State::advance`] is to be called next.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let tasks = self
            .tasks
            .values()
            .filter_map(|task| Some(task.next_end()?.0));
        tasks
            .chain(self.lease.as_ref().map(|lease| lease.expires))
            .min()
    }

    pub(super) fn list_tasks(&self, now: Instant) -> Vec<ListedTask> {
        let listed = |(name, task): (&String, &Task)| ListedTask {
            task: name.clone(),
            state: task.state,
            accelerators: task.accelerators,
            progress_ms: millis(task.progress(now)),
        };
        self.tasks.iter().map(listed).collect()
    }

    /// Returns the usage as it was the configured delay ago.
    pub(super) fn usage(&self, now: Instant) -> Usage {
        let delay = Duration::from_millis(self.status.usage_delay_ms).min(MAX_USAGE_DELAY);
        let old_enough = |at: &Instant| now.saturating_duration_since(*at) >= delay;
        let reported = self
            .usage_history
            .iter()
            .rev()
            .find(|(at, ..)| old_enough(at));
        let (_, accelerators, tasks) = reported.copied().unwrap_or((now, 0, 0));
        Usage {
            age_ms: millis(delay),
            accelerators,
            tasks,
        }
    }

    fn running_task(&mut self, name: &str) -> Result<&mut Task, Refusal> {
        let task = self.tasks.get_mut(name).ok_or(Refusal::UnknownTask)?;
        match task.state {
            TaskState::Running => Ok(task),
            _ => Err(Refusal::TaskEnded),
        }
    }

    /// Ends a task and records the end in the ledger and in the task list.
    fn end_task(&mut self, name: &str, reason: EndReason, now: Instant) {
        let Some(task) = self.tasks.get_mut(name) else {
            return;
        };
        task.end(reason, now);
        if let Some(entry) = self.ledger.get_mut(task.ledger_entry) {
            entry.ended = Some(unix_micros());
            entry.how = Some(reason);
            entry.progress_ms = millis(task.progress(now));
        }
        self.listed_ended.push_back(name.to_owned());
        if self.listed_ended.len() > MAX_LISTED_ENDED
            && let Some(oldest) = self.listed_ended.pop_front()
        {
            self.tasks.remove(&oldest);
        }
        self.record_change(now);
    }

    fn accelerators_in_use(&self) -> u32 {
        let running = self
            .tasks
            .values()
            .filter(|t| t.state == TaskState::Running);
        running.map(|task| task.accelerators).sum()
    }

    /// Counts a change of the task list and adds the new usage to the history.
    fn record_change(&mut self, now: Instant) {
        self.sequence += 1;
        let running = self
            .tasks
            .values()
            .filter(|t| t.state == TaskState::Running);
        let usage = (now, self.accelerators_in_use(), running.count());
        self.usage_history.push_back(usage);
        // The newest element older than the maximum delay is retained, as it holds the usage at
        // that age.
        while let Some((second, ..)) = self.usage_history.get(1)
            && now.saturating_duration_since(*second) > MAX_USAGE_DELAY
        {
            self.usage_history.pop_front();
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

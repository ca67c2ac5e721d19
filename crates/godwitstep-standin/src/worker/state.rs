//! Lease, tasks and usage of a worker. Every call passes the time.

use super::report::{Entry, Listed, Refusal, Usage};
use super::task::{How, Phase, Spec, Task};
use super::{Control, Status};
use crate::ledger::Ledger;
use crate::serve::unix_micros;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Ended tasks that stay listed.
const ENDED: usize = 1000;
/// Longest delay of usage reports.
const USAGE_HISTORY: Duration = Duration::from_secs(600);
/// Time after which a task of a failing worker fails.
const FAIL_AFTER: Duration = Duration::from_millis(50);

struct Lease {
    number: u64,
    holder: String,
    expires: Instant,
}

pub(super) struct State {
    pub(super) status: Status,
    pub(super) ledger: Ledger<Entry>,
    /// Counts the changes of the task list.
    pub(super) sequence: u64,
    lease: Option<Lease>,
    leases: u64,
    tasks: BTreeMap<String, Task>,
    /// Names of the ended tasks that are listed, oldest first.
    ended: VecDeque<String>,
    /// Accelerators in use and running tasks since a time, oldest first.
    usage: VecDeque<(Instant, u32, usize)>,
}

impl State {
    pub(super) fn new(status: Status, now: Instant) -> Self {
        Self {
            status,
            ledger: Ledger::default(),
            sequence: 0,
            lease: None,
            leases: 0,
            tasks: BTreeMap::new(),
            ended: VecDeque::new(),
            usage: VecDeque::from([(now, 0, 0)]),
        }
    }

    pub(super) fn control(&mut self, control: &Control) -> Status {
        let status = &mut self.status;
        status.failing = control.failing.unwrap_or(status.failing);
        status.usage_delay_ms = control.usage_delay_ms.unwrap_or(status.usage_delay_ms);
        status.checkpoint_ms = control.checkpoint_ms.unwrap_or(status.checkpoint_ms);
        *status
    }

    /// Takes or renews the lease. A renewal by the same holder keeps its number.
    pub(super) fn lease(
        &mut self,
        holder: String,
        ttl: Duration,
        now: Instant,
    ) -> Result<u64, Refusal> {
        self.advance(now);
        let expires = now + ttl;
        if let Some(lease) = &mut self.lease {
            if lease.holder != holder {
                return Err(Refusal::Held);
            }
            lease.expires = expires;
            return Ok(lease.number);
        }
        self.leases += 1;
        self.lease = Some(Lease {
            number: self.leases,
            holder,
            expires,
        });
        Ok(self.leases)
    }

    pub(super) fn start(&mut self, spec: &Spec, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        if self.lease.as_ref().map(|lease| lease.number) != Some(spec.lease) {
            return Err(Refusal::Lease);
        }
        if self.tasks.contains_key(&spec.task) {
            return Err(Refusal::Exists);
        }
        if spec.accelerators > self.status.accelerators - self.used() {
            return Err(Refusal::Accelerators);
        }
        let entry = self.ledger.push(Entry {
            task: spec.task.clone(),
            accelerators: spec.accelerators,
            lease: spec.lease,
            started: unix_micros(),
            ended: None,
            how: None,
            progress_ms: spec.from_ms,
        });
        let mut task = Task::new(spec, entry, now);
        if self.status.failing {
            task.cut(now + FAIL_AFTER, How::Failed);
        }
        self.tasks.insert(spec.task.clone(), task);
        self.changed(now);
        Ok(())
    }

    pub(super) fn stop(&mut self, name: &str, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        self.running(name)?;
        self.end(name, How::Stopped, now);
        Ok(())
    }

    pub(super) fn checkpoint(&mut self, name: &str, now: Instant) -> Result<(), Refusal> {
        self.advance(now);
        let at = now + Duration::from_millis(self.status.checkpoint_ms);
        let task = self.running(name)?;
        task.set_speed(0.0, now);
        task.cut(at, How::Checkpointed);
        Ok(())
    }

    pub(super) fn throttle(
        &mut self,
        name: &str,
        fraction: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        self.advance(now);
        self.running(name)?.set_speed(fraction, now);
        Ok(())
    }

    /// Ends everything that is due.
    pub(super) fn advance(&mut self, now: Instant) {
        let due: Vec<_> = self
            .tasks
            .iter()
            .filter_map(|(name, task)| task.due().map(|due| (name.clone(), due)))
            .filter(|(_, (at, _))| *at <= now)
            .collect();
        for (name, (at, how)) in due {
            // A task that was due after the lease lapsed did not get there.
            if self.lease.as_ref().is_some_and(|lease| at <= lease.expires) {
                self.end(&name, how, now);
            }
        }
        if self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.expires <= now)
        {
            self.lease = None;
            let running = self.tasks.iter().filter(|(_, t)| t.phase == Phase::Running);
            let names: Vec<_> = running.map(|(name, _)| name.clone()).collect();
            for name in names {
                self.end(&name, How::Lapsed, now);
            }
        }
    }

    /// Returns when [`State::advance`] has something to do next.
    pub(super) fn due(&self) -> Option<Instant> {
        let tasks = self.tasks.values().filter_map(|task| Some(task.due()?.0));
        tasks
            .chain(self.lease.as_ref().map(|lease| lease.expires))
            .min()
    }

    pub(super) fn list(&self, now: Instant) -> Vec<Listed> {
        let listed = |(name, task): (&String, &Task)| Listed {
            task: name.clone(),
            state: task.phase,
            accelerators: task.accelerators,
            progress_ms: millis(task.progress(now)),
        };
        self.tasks.iter().map(listed).collect()
    }

    /// Returns the usage as of the delay ago.
    pub(super) fn usage(&self, now: Instant) -> Usage {
        let delay = Duration::from_millis(self.status.usage_delay_ms).min(USAGE_HISTORY);
        let known = |at: &Instant| now.saturating_duration_since(*at) >= delay;
        let seen = self.usage.iter().rev().find(|(at, ..)| known(at));
        let (_, accelerators, tasks) = seen.copied().unwrap_or((now, 0, 0));
        Usage {
            age_ms: millis(delay),
            accelerators,
            tasks,
        }
    }

    fn running(&mut self, name: &str) -> Result<&mut Task, Refusal> {
        let task = self.tasks.get_mut(name).ok_or(Refusal::Unknown)?;
        match task.phase {
            Phase::Running => Ok(task),
            _ => Err(Refusal::Ended),
        }
    }

    fn end(&mut self, name: &str, how: How, now: Instant) {
        let Some(task) = self.tasks.get_mut(name) else {
            return;
        };
        task.end(how, now);
        if let Some(entry) = self.ledger.get_mut(task.entry) {
            entry.ended = Some(unix_micros());
            entry.how = Some(how);
            entry.progress_ms = millis(task.progress(now));
        }
        self.ended.push_back(name.to_owned());
        if self.ended.len() > ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.tasks.remove(&oldest);
        }
        self.changed(now);
    }

    fn used(&self) -> u32 {
        let running = self.tasks.values().filter(|t| t.phase == Phase::Running);
        running.map(|task| task.accelerators).sum()
    }

    fn changed(&mut self, now: Instant) {
        self.sequence += 1;
        let running = self.tasks.values().filter(|t| t.phase == Phase::Running);
        let usage = (now, self.used(), running.count());
        self.usage.push_back(usage);
        // The newest record that is older than the history still tells the usage at its start.
        while let Some((second, ..)) = self.usage.get(1)
            && now.saturating_duration_since(*second) > USAGE_HISTORY
        {
            self.usage.pop_front();
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

//! A worker that keeps the rules of the protocol.

use godwitstep_batch::agent::{
    Answer, Call, LeaseRequest, Operation, Registration, RunKey, RunLists,
};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::id::{Run, Task, Token};
use godwitstep_batch::message::{EndReason, Ended, Running};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from a stop to the end of the run.
const STOP_TIME: Duration = Duration::from_millis(200);

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

/// A run on a worker.
pub struct ActiveRun {
    completes_at: Duration,
    stops_at: Option<Duration>,
}

/// A run that has ended as done.
pub struct DoneRun {
    number: u64,
    pub task: Task,
    /// Whether the decider has confirmed the end as recorded.
    pub recorded: bool,
    /// Whether the worker's lease expired before that; the task may then run again.
    pub lapsed: bool,
    /// Whether the task was started again after this end.
    pub restarted: bool,
}

/// A worker that keeps the rules of the protocol.
pub struct Worker {
    pub registration: Registration,
    clock_rate: f64,
    lease_end: u64,
    highest_token: Token,
    pub active: BTreeMap<RunKey, ActiveRun>,
    ended: Vec<Ended>,
    pub done: Vec<DoneRun>,
    /// Highest run of each task that was stopped or has ended.
    over: BTreeMap<Task, Run>,
    last_number: u64,
}

impl Worker {
    pub fn new(registration: Registration, clock_rate: f64) -> Self {
        Self {
            registration,
            clock_rate,
            lease_end: 0,
            highest_token: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            done: Vec::new(),
            over: BTreeMap::new(),
            last_number: 0,
        }
    }

    fn clock(&self, now: Duration) -> u64 {
        millis(now.mul_f64(self.clock_rate))
    }

    fn extend_lease(&mut self, now: Duration, deadline: u64) {
        let longest = self.clock(now) + millis(Bounds::default().max_lease);
        self.lease_end = self.lease_end.max(deadline.min(longest));
    }

    fn fences(&mut self, token: Token) -> bool {
        let fenced = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        fenced
    }

    /// Ends the runs that are complete or stopped and, if the lease has expired, all others.
    pub fn advance(&mut self, now: Duration) {
        let lapsed = self.clock(now) > self.lease_end;
        for run in self.done.iter_mut().filter(|run| !run.recorded) {
            run.lapsed |= lapsed;
        }
        let ends: Vec<(RunKey, EndReason)> = self
            .active
            .iter()
            .filter_map(|(key, run)| {
                let how = if run.stops_at.is_some_and(|at| at <= now) {
                    EndReason::Stopped
                } else if run.completes_at <= now {
                    EndReason::Done
                } else if lapsed {
                    EndReason::LeaseExpired
                } else {
                    return None;
                };
                Some((*key, how))
            })
            .collect();
        for (key, how) in ends {
            self.end(key, how);
        }
    }

    fn end(&mut self, (task, run): RunKey, how: EndReason) {
        self.active.remove(&(task, run));
        self.block(task, run);
        self.last_number += 1;
        let number = self.last_number;
        self.ended.push(Ended {
            number,
            task,
            run,
            how,
            saved: "".into(),
        });
        if how == EndReason::Done {
            self.done.push(DoneRun {
                number,
                task,
                recorded: false,
                lapsed: false,
                restarted: false,
            });
        }
    }

    fn block(&mut self, task: Task, run: Run) {
        let over = self.over.entry(task).or_default();
        *over = run.max(*over);
    }

    /// Carries out a start or a stop.
    pub fn execute(&mut self, now: Duration, call: &Call, run_time: Duration) -> Answer {
        let (task, run) = call.key;
        if self.fences(call.token) {
            return Answer::Fenced;
        }
        if matches!(call.operation, Operation::Stop(_)) {
            if let Some(active) = self.active.get_mut(&call.key) {
                active.stops_at.get_or_insert(now + STOP_TIME);
            } else {
                self.block(task, run);
            }
            return Answer::Accepted;
        }
        if self.active.contains_key(&call.key) {
            return Answer::Accepted;
        }
        if self.over.get(&task).is_some_and(|over| *over >= run) {
            return Answer::Superseded;
        }
        if call.deadline < self.clock(now) {
            return Answer::Late;
        }
        self.extend_lease(now, call.deadline);
        let active = ActiveRun {
            completes_at: now + run_time,
            stops_at: None,
        };
        self.active.insert(call.key, active);
        Answer::Accepted
    }

    pub fn apply_poll(&mut self, now: Duration, request: &LeaseRequest) {
        if self.fences(request.token) {
            return;
        }
        if let Some(deadline) = request.deadline {
            self.extend_lease(now, deadline);
        }
        self.ended.retain(|end| end.number > request.recorded);
        for run in &mut self.done {
            run.recorded |= run.number <= request.recorded;
        }
    }

    pub fn lists(&self, now: Duration) -> RunLists {
        let running = self.active.keys().map(|(task, run)| Running {
            task: *task,
            run: *run,
            saved: "".into(),
            percent: 0,
        });
        RunLists {
            clock: self.clock(now),
            started_ms: Some(self.registration.info.incarnation.started_ms),
            running: running.collect(),
            ended: self.ended.clone(),
            ..RunLists::default()
        }
    }
}

//! Stand-in for a runner. It does what PROTOCOL.md says under "Running tasks" and "Service discovery". Its runs never
//! end `failed`.

use crate::gang::{Gangs, Member};
use crate::http::{self, Request, Response};
use crate::record::Record;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

/// Interval between two heartbeats; `heartbeat_ms` of the small deployments.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time within which a heartbeat has to be acknowledged.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest lease that a runner grants; `max_hold_ms` of the small deployments.
const MAX_LEASE_MS: u64 = 6_000;
/// Time from a stop to the end of the run; at most `stop_grace_ms`, which is 400 ms.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Work between two checkpoints; `checkpoint_s` of the small deployments.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// Time from a start with a checkpoint until work goes on; `restore_ms`.
const RESTORE_TIME: Duration = Duration::from_millis(250);
/// Time for which a member of a gang waits for the others; `gang_timeout_ms`.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest number of ends that are listed at a time.
const MAX_LISTED_ENDS: usize = 500;

/// What a runner says of itself.
#[derive(Clone)]
pub struct Facts {
    pub id: String,
    pub zone: String,
    pub rack: String,
    /// Where it accepts calls.
    pub address: SocketAddr,
    /// Where its machine's agent accepts heartbeats.
    pub admin: SocketAddr,
}

struct Run {
    task: String,
    attempt: u64,
    spec: Spec,
    /// Work that was done before this run.
    resumed: Duration,
    /// Work that has been done.
    worked: Duration,
    /// Until when the work has been counted; in the future while a checkpoint is being restored.
    counted_at: Instant,
    began_at: Instant,
    /// Number, time and kind of the end.
    ended: Option<(u64, Instant, &'static str)>,
}

/// State of the runner.
struct Life {
    born: u64,
    started: Instant,
    sequence: u64,
    token: u64,
    lease_end: u64,
    next_end: u64,
    forgotten: u64,
    runs: Vec<Run>,
    stopped: Vec<(String, u64)>,
}

impl Run {
    /// Counts the work since the last call.
    fn work_on(&mut self, now: Instant, works: bool) {
        if works {
            let worked = self.worked + now.saturating_duration_since(self.counted_at);
            self.worked = worked.min(self.spec.work);
        }
        self.counted_at = self.counted_at.max(now);
    }

    /// Returns the done share of the work in whole percent.
    fn percent(&self) -> u64 {
        (100.0 * self.worked.as_secs_f64() / self.spec.work.as_secs_f64()) as u64
    }

    /// Returns the newest checkpoint: that of the last whole interval of work, or of the end.
    fn checkpoint(&self) -> String {
        let saved = if self.ended.is_some() {
            self.worked
        } else {
            let intervals = self.worked.as_millis() / CHECKPOINT_INTERVAL.as_millis();
            CHECKPOINT_INTERVAL * intervals as u32
        };
        let saved = saved.max(self.resumed);
        if !self.spec.saves || saved.is_zero() {
            return String::new();
        }
        format!("{:016x}", saved.as_millis())
    }
}

impl Life {
    fn new(born: u64) -> Self {
        Self {
            born,
            started: Instant::now(),
            sequence: 0,
            token: 0,
            lease_end: 0,
            next_end: 1,
            forgotten: 0,
            runs: Vec::new(),
            stopped: Vec::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

struct State {
    life: Life,
    /// Specifications of all runs that have begun.
    specs: Vec<String>,
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    pub facts: Facts,
    record: Record,
    gangs: Gangs,
    state: Arc<Mutex<State>>,
}

impl Runner {
    pub fn start(facts: Facts, record: Record, gangs: Gangs) -> std::io::Result<Self> {
        let state = State {
            life: Life::new(now_ms()),
            specs: Vec::new(),
        };
        let runner = Self {
            facts,
            record,
            gangs,
            state: Arc::new(Mutex::new(state)),
        };
        let serving = runner.clone();
        http::serve(runner.facts.address, move |request| {
            serving.handle(&request)
        })?;
        let ticking = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking
                    .lock()
                    .advance(&ticking.record, &ticking.gangs, &ticking.facts.id);
            }
        });
        let beating = runner.clone();
        std::thread::spawn(move || {
            loop {
                beating.beat();
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns whether a run of a job is active.
    pub fn runs(&self, job: &str) -> bool {
        self.active().iter().any(|(task, _)| task.starts_with(job))
    }

    /// Returns whether a run with a specification has ever begun.
    pub fn has_begun(&self, spec: &str) -> bool {
        self.lock().specs.iter().any(|known| known == spec)
    }

    /// Returns the tasks and attempts of the active runs, those that are being stopped included.
    pub fn active(&self) -> Vec<(String, u64)> {
        let now = Instant::now();
        let state = self.lock();
        let active = state
            .life
            .runs
            .iter()
            .filter(|run| run.ended.is_none_or(|(_, at, _)| at > now));
        active.map(|run| (run.task.clone(), run.attempt)).collect()
    }

    fn beat(&self) {
        let body = {
            let mut state = self.lock();
            state.life.sequence += 1;
            json!({
                "backend": "floor", "address": self.facts.address, "zone": self.facts.zone, "version": "v1",
                "capacity": 8, "state": "ready", "cold_remaining_ms": 0,
                "free_resources": {"cpu": 64_000, "mem_mb": 262_144, "gpus": 8},
                "labels": ["a", self.facts.rack], "clock_ms": state.life.clock(),
                "sequence": state.life.sequence, "born": state.life.born,
            })
        };
        let path = format!("/instances/{}", self.facts.id);
        // Nobody else would be called: the agent is the only one that serves this runner.
        let _ = http::call(
            self.facts.admin,
            "PUT",
            &path,
            &[],
            &body.to_string(),
            HEARTBEAT_TIMEOUT,
        );
    }

    fn handle(&self, request: &Request) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|id| *id != self.facts.id) {
            return Response::new(421, "");
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => Response::new(404, ""),
        }
    }

    fn start_run(&self, body: &Value) -> Response {
        let mut state = self.lock();
        state.advance(&self.record, &self.gangs, &self.facts.id);
        let State { life, specs, .. } = &mut *state;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        if !life.accepts(body) {
            return life.conflict("fence");
        }
        if life
            .runs
            .iter()
            .any(|run| run.task == task && run.attempt == attempt && run.ended.is_none())
        {
            return life.answer();
        }
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        let ended = life
            .runs
            .iter()
            .any(|run| run.task == task && run.ended.is_some() && run.attempt >= attempt);
        let stopped = life
            .stopped
            .iter()
            .any(|(known, last)| *known == task && *last >= attempt);
        if deadline < life.clock() {
            return life.conflict("late");
        }
        life.extend(deadline);
        if ended || stopped {
            return life.conflict("old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let name = spec.to_owned();
        let spec = Spec::parse(spec);
        let checkpoint = body["checkpointed"].as_str().unwrap_or_default();
        let resumed =
            u64::from_str_radix(checkpoint, 16).map_or(Duration::ZERO, Duration::from_millis);
        let restore = if resumed.is_zero() {
            Duration::ZERO
        } else {
            RESTORE_TIME
        };
        let began_at = Instant::now();
        let counted_at = began_at + restore;
        self.record.write(&format!(
            "{}: run {task} {attempt} began, spec {name:?}",
            self.facts.id
        ));
        specs.push(name);
        if spec.members > 1 {
            self.gangs
                .join(&Member::new(&task, attempt, &self.facts.id));
        }
        life.runs.push(Run {
            task,
            attempt,
            spec,
            resumed,
            worked: resumed,
            counted_at,
            began_at,
            ended: None,
        });
        life.answer()
    }

    fn stop_run(&self, body: &Value) -> Response {
        let mut state = self.lock();
        state.advance(&self.record, &self.gangs, &self.facts.id);
        let life = &mut state.life;
        if !life.accepts(body) {
            return life.conflict("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let number = life.next_end;
        let mut active = life.runs.iter_mut();
        if let Some(run) =
            active.find(|run| run.task == task && run.attempt == attempt && run.ended.is_none())
        {
            run.ended = Some((number, Instant::now() + STOP_TIME, "stopped"));
            life.next_end += 1;
            self.record.write(&format!(
                "{}: run {task} {attempt} is being stopped",
                self.facts.id
            ));
        }
        life.stopped.push((task, attempt));
        life.answer()
    }

    /// Answers a poll, when a run has ended or `wait_ms` is over.
    fn hold(&self, body: &Value) -> Response {
        let ends = {
            let mut state = self.lock();
            state.advance(&self.record, &self.gangs, &self.facts.id);
            let life = &mut state.life;
            if !life.accepts(body) {
                return life.conflict("fence");
            }
            if let Some(deadline) = body["deadline_ms"].as_u64() {
                life.extend(deadline);
            }
            life.forgotten = life.forgotten.max(body["ack_cursor"].as_u64().unwrap_or(0));
            life.listed_ends()
        };
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        loop {
            {
                let state = self.lock();
                if state.life.listed_ends() != ends || Instant::now() >= deadline {
                    return state.life.lists();
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }
}

impl State {
    /// Counts the work of the runs and ends those that are done, without their gang or without a lease.
    fn advance(&mut self, record: &Record, gangs: &Gangs, id: &str) {
        let now = Instant::now();
        let life = &mut self.life;
        let lapsed = life.clock() > life.lease_end;
        let mut next = life.next_end;
        for run in &mut life.runs {
            if let Some((_, at, how)) = run.ended {
                if at <= now && run.spec.members > 1 {
                    gangs.end(&Member::new(&run.task, run.attempt, id), how);
                }
                continue;
            }
            let gang = run.spec.members > 1;
            let member = Member::new(&run.task, run.attempt, id);
            run.work_on(now, !gang || gangs.works(&member, run.spec.members));
            let how = if run.worked >= run.spec.work || (gang && gangs.knows_end(&member, true)) {
                "done"
            } else if lapsed {
                "lapsed"
            } else if gang && gangs.knows_end(&member, false) {
                "broken"
            } else if gang
                && !gangs.was_complete(&member, run.spec.members)
                && now > run.began_at + GANG_TIMEOUT
            {
                "alone"
            } else {
                continue;
            };
            run.ended = Some((next, now, how));
            next += 1;
            if gang {
                gangs.end(&member, how);
            }
            record.write(&format!(
                "{id}: run {} {} ended {how}",
                run.task, run.attempt
            ));
        }
        life.next_end = next;
    }
}

impl Life {
    /// Applies the fencing token of a call. Returns false for a lower one than the highest so far.
    fn accepts(&mut self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let accepted = token >= self.token;
        self.token = self.token.max(token);
        accepted
    }

    fn extend(&mut self, deadline: u64) {
        self.lease_end = self
            .lease_end
            .max(deadline.min(self.clock() + MAX_LEASE_MS));
    }

    fn answer(&self) -> Response {
        Response::new(
            200,
            json!({"clock_ms": self.clock(), "born": self.born}).to_string(),
        )
    }

    fn conflict(&self, reason: &str) -> Response {
        Response::new(
            409,
            json!({"clock_ms": self.clock(), "reason": reason}).to_string(),
        )
    }

    fn listed_ends(&self) -> usize {
        let now = Instant::now();
        let listed = |run: &&Run| {
            run.ended
                .is_some_and(|(number, at, _)| at <= now && number > self.forgotten)
        };
        self.runs.iter().filter(listed).count()
    }

    fn lists(&self) -> Response {
        let now = Instant::now();
        let mut running = Vec::new();
        let mut finished = Vec::new();
        for run in &self.runs {
            match run.ended {
                Some((number, at, how)) if at <= now => {
                    if number > self.forgotten {
                        let row = json!([number, run.task, run.attempt, how, run.checkpoint()]);
                        finished.push((number, row));
                    }
                }
                _ => running.push(json!([
                    run.task,
                    run.attempt,
                    run.checkpoint(),
                    run.percent(),
                    0
                ])),
            }
        }
        finished.sort_by_key(|(number, _)| *number);
        let finished: Vec<Value> = finished
            .into_iter()
            .take(MAX_LISTED_ENDS)
            .map(|(_, row)| row)
            .collect();
        let body = json!({"clock_ms": self.clock(), "born": self.born, "running": running, "finished": finished});
        Response::new(200, body.to_string())
    }
}

/// What a specification like `work=3000 saves members=2` says of a task.
#[derive(Clone, Copy)]
struct Spec {
    work: Duration,
    /// Whether the task writes checkpoints.
    saves: bool,
    /// Number of tasks of its gang.
    members: usize,
}

impl Spec {
    fn parse(text: &str) -> Self {
        let number = |name: &str| {
            let value = text
                .split(' ')
                .find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        Self {
            work: Duration::from_millis(number("work").unwrap_or(1_000)),
            saves: text.split(' ').any(|word| word == "saves"),
            members: number("members").unwrap_or(1) as usize,
        }
    }
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

//! Stand-in for a runner, as PROTOCOL.md describes it.

use crate::log::{conflict_response, empty_response, json_response};
use godwitstep::http::{self, Limits, Shutdown};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

/// `heartbeat_ms` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// `max_hold_ms` of the settings.
const MAX_HOLD_MS: u64 = 6_000;
/// Time that a stop takes; `stop_grace_ms` allows 400 ms.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Time from a crash to the next incarnation.
const CRASH_TIME: Duration = Duration::from_secs(2);
/// `gang_timeout_ms` of the settings.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of ends that an answer lists.
const MAX_LISTED_ENDS: usize = 500;

/// A run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub started: Instant,
    completes_at: Instant,
    /// When and how the run ended or will end after a stop.
    pub ended: Option<(Instant, &'static str)>,
    /// Number of the end once it is listed; 0 before.
    number: u64,
    /// Whether the system has taken note of the end while the lease went on.
    pub noted: bool,
    /// Whether the lease lapsed between the end and the note of it.
    excused: bool,
    gang: Option<Plan>,
}

/// What the specification of a gang's tasks says: the number of members, and which one fails after how long.
#[derive(Debug, Clone, Copy)]
struct Plan {
    members: usize,
    failing: usize,
    fails_after: Duration,
}

/// One run of a gang.
#[derive(Debug, Default)]
struct Gang {
    present: BTreeSet<usize>,
    /// When the last member started.
    complete_at: Option<Instant>,
    /// When the first member ended.
    broken_at: Option<Instant>,
}

/// Runs of gangs by job, step and attempt. Runners know of each other's.
pub type Gangs = Arc<Mutex<HashMap<(String, u64), GangState>>>;

/// State of a gang's run that the runners share.
#[derive(Debug, Default)]
pub struct GangState(Gang);

impl Run {
    /// Returns whether the run was at work at a time.
    pub fn active_at(&self, time: Instant) -> bool {
        self.started <= time && self.ended.is_none_or(|(end, _)| end > time)
    }
}

struct State {
    name: String,
    born: u64,
    started: Instant,
    sequence: u64,
    highest_token: u64,
    /// End of the lease on the runner's clock. Unit: milliseconds.
    lease_end: u64,
    /// Highest end that the system has taken note of.
    cursor: u64,
    next_number: u64,
    runs: Vec<Run>,
    /// Runs of earlier incarnations.
    earlier: Vec<Run>,
    /// Number of restarts.
    lives: usize,
    crashed: bool,
    /// Highest attempt of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
    gangs: Gangs,
    /// Whether the runner refuses all starts.
    unhealthy: bool,
}

/// Runner on a thread of this process. It does what it is told and guards nothing.
#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    zone: String,
    rack: String,
    state: Arc<Mutex<State>>,
}

impl Runner {
    /// Starts a runner at a free port of `ip` that registers at `admin`.
    pub fn start(
        number: usize,
        ip: std::net::Ipv4Addr,
        admin: SocketAddr,
        zone: &str,
        gangs: Gangs,
    ) -> Self {
        let listener = std::net::TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = State {
            name: format!("i-{:08x}", 0x7f3a_91c0 + number),
            born: unix_millis(),
            started: Instant::now(),
            sequence: 0,
            highest_token: 0,
            lease_end: 0,
            cursor: 0,
            next_number: 1,
            runs: Vec::new(),
            earlier: Vec::new(),
            lives: 0,
            crashed: false,
            over: HashMap::new(),
            gangs,
            unhealthy: false,
        };
        let runner = Self {
            address,
            zone: zone.to_owned(),
            rack: format!("r1-{}", number / 3),
            state: Arc::new(Mutex::new(state)),
        };
        let handle = runner.clone();
        std::thread::spawn(move || {
            let mut listener = listener;
            loop {
                // Ends with a crash, which closes all connections.
                smol::block_on(handle.work(listener, admin));
                std::thread::sleep(CRASH_TIME);
                handle.restart(number);
                listener = std::net::TcpListener::bind(address).expect("the port is free");
            }
        });
        runner
    }

    /// Serves calls and sends heartbeats until the runner crashes.
    async fn work(&self, listener: std::net::TcpListener, admin: SocketAddr) {
        let listener = smol::Async::new(listener).expect("a listener").into();
        // Dropping the handle would shut the server down.
        let (_shutdown, signal) = Shutdown::new();
        let server = self.clone();
        let serving = http::serve(listener, Limits::default(), signal, async move |request| {
            server.serve(request).await
        });
        let working = smol::future::or(serving, self.send_heartbeats(admin));
        let crash = async {
            while !self.lock().crashed {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
        };
        smol::future::or(working, crash).await;
    }

    /// Ends all runs at once; the runner is back as another incarnation after [`CRASH_TIME`].
    pub fn crash(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        for run in state.runs.iter_mut().filter(|run| run.ended.is_none()) {
            run.ended = Some((now, "crashed"));
        }
        // Nothing of before is listed any more.
        let earlier = std::mem::take(&mut state.runs);
        state.earlier.extend(earlier);
        state.crashed = true;
    }

    fn restart(&self, number: usize) {
        let mut state = self.lock();
        state.lives += 1;
        state.name = format!("i-{:08x}", 0x7f3a_91c0 + number + (state.lives << 16));
        state.born = unix_millis();
        state.started = Instant::now();
        (state.sequence, state.highest_token, state.lease_end) = (0, 0, 0);
        (state.cursor, state.next_number) = (0, 1);
        state.over.clear();
        state.crashed = false;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no thread panics with the lock");
        state.advance();
        state
    }

    pub fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Sets whether the runner refuses all starts with 503 (`srv_grey`).
    pub fn set_unhealthy(&self, unhealthy: bool) {
        self.lock().unhealthy = unhealthy;
    }

    /// Returns the runs of all incarnations.
    pub fn runs(&self) -> Vec<Run> {
        let state = self.lock();
        state.earlier.iter().chain(&state.runs).cloned().collect()
    }

    fn heartbeat(&self) -> (String, String) {
        let mut state = self.lock();
        state.sequence += 1;
        let body = json!({
            "backend": "floor", "address": self.address, "zone": self.zone, "version": "v1",
            "capacity": 8, "state": "ready", "cold_remaining_ms": 0,
            "free_resources": {"cpu": 64_000, "mem_mb": 262_144, "gpus": 8},
            "labels": ["a", self.rack], "clock_ms": state.clock(), "sequence": state.sequence,
            "born": state.born,
        });
        (state.name.clone(), body.to_string())
    }

    async fn send_heartbeats(&self, admin: SocketAddr) {
        let client = http::Client::new(admin);
        loop {
            let (name, body) = self.heartbeat();
            let request = Request::put(format!("/instances/{name}")).body(body.into());
            let request = request.expect("the request is well-formed");
            // Fails while the agent is not up yet.
            let acknowledged = client
                .exchange(request, Duration::from_secs(1))
                .await
                .is_ok();
            let pause = if acknowledged {
                HEARTBEAT_INTERVAL
            } else {
                Duration::from_millis(200)
            };
            smol::Timer::after(pause).await;
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<http::Body> {
        let path = request.uri().path().to_owned();
        let expected = request.headers().get("x-expect-instance").cloned();
        let body = http::read(request.into_body(), 1 << 20, Duration::from_secs(2)).await;
        let Ok(Ok(body)) = body.map(|body| serde_json::from_slice::<Value>(&body)) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if expected.is_some_and(|id| id.as_bytes() != self.name().as_bytes()) {
            return empty_response(StatusCode::MISDIRECTED_REQUEST);
        }
        match path.as_str() {
            "/run-start" if self.lock().unhealthy => {
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
            "/run-start" => self.lock().start(&body),
            "/run-stop" => self.lock().stop(&body),
            "/hold" => self.hold(&body).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    async fn hold(&self, body: &Value) -> Response<http::Body> {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        let ends = {
            let mut state = self.lock();
            if state.fenced(body) {
                return state.conflict("fence");
            }
            state.extend_lease(body["deadline_ms"].as_u64().unwrap_or(0));
            state.acknowledge(body["ack_cursor"].as_u64().unwrap_or(0));
            state.next_number
        };
        loop {
            {
                let state = self.lock();
                if state.next_number != ends || Instant::now() >= deadline {
                    return state.lists();
                }
            }
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    }
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn acknowledge(&mut self, cursor: u64) {
        self.cursor = self.cursor.max(cursor);
        for run in &mut self.runs {
            run.noted |= run.number > 0 && run.number <= self.cursor && !run.excused;
        }
    }

    fn extend_lease(&mut self, deadline: u64) {
        self.lease_end = self.lease_end.max(deadline.min(self.clock() + MAX_HOLD_MS));
    }

    /// Ends the runs that are complete, stopped or without a lease.
    fn advance(&mut self) {
        let now = Instant::now();
        let lease_end = self.started + Duration::from_millis(self.lease_end);
        let mut gangs = self.gangs.lock().expect("no thread panics with the lock");
        for run in &mut self.runs {
            run.excused |= lease_end < now && !run.noted;
            if run.number > 0 {
                continue;
            }
            if run.ended.is_none() {
                let end = match run.gang {
                    Some(plan) => gangs
                        .entry(gang_key(run))
                        .or_default()
                        .0
                        .end(run, plan, now),
                    None => (run.completes_at <= now).then_some((run.completes_at, "done")),
                };
                run.ended = match end {
                    Some((at, how)) if at <= lease_end => Some((at, how)),
                    _ => (lease_end < now).then_some((lease_end, "lapsed")),
                };
            }
            let Some((end, _)) = run.ended.filter(|(end, _)| *end <= now) else {
                continue;
            };
            if run.gang.is_some() {
                gangs
                    .entry(gang_key(run))
                    .or_default()
                    .0
                    .broken_at
                    .get_or_insert(end);
            }
            run.number = self.next_number;
            self.next_number += 1;
            let over = self.over.entry(run.task.clone()).or_default();
            *over = (*over).max(run.attempt);
        }
    }

    /// Applies the token of a call. Returns whether a higher one has been seen.
    fn fenced(&mut self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let fenced = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        fenced
    }

    fn conflict(&self, reason: &str) -> Response<http::Body> {
        conflict_response(&json!({"clock_ms": self.clock(), "reason": reason}).to_string())
    }

    fn done(&self) -> Response<http::Body> {
        json_response(&json!({"clock_ms": self.clock()}).to_string())
    }

    fn start(&mut self, body: &Value) -> Response<http::Body> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
        if self.fenced(body) {
            return self.conflict("fence");
        }
        if self.over.get(&task).is_some_and(|over| *over >= attempt) {
            self.extend_lease(deadline);
            return self.conflict("old");
        }
        let same = |run: &Run| run.task == task && run.attempt == attempt;
        if self.runs.iter().any(same) {
            self.extend_lease(deadline);
            return self.done();
        }
        if deadline < self.clock() {
            return self.conflict("late");
        }
        self.extend_lease(deadline);
        let now = Instant::now();
        let spec = body["spec"].as_str().unwrap_or_default();
        let run = Run {
            task,
            attempt,
            started: now,
            completes_at: now + work_time(spec),
            ended: None,
            number: 0,
            noted: false,
            excused: false,
            gang: gang_plan(spec),
        };
        if let Some(plan) = run.gang {
            let mut gangs = self.gangs.lock().expect("no thread panics with the lock");
            let gang = &mut gangs.entry(gang_key(&run)).or_default().0;
            gang.present.insert(index(&run.task));
            if gang.present.len() == plan.members {
                gang.complete_at.get_or_insert(now);
            }
        }
        self.runs.push(run);
        self.done()
    }

    fn stop(&mut self, body: &Value) -> Response<http::Body> {
        if self.fenced(body) {
            return self.conflict("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let end = Instant::now() + STOP_TIME;
        for run in &mut self.runs {
            if run.task == task && run.attempt <= attempt && run.ended.is_none() {
                run.ended = Some((end, "stopped"));
            }
        }
        let over = self.over.entry(task).or_default();
        *over = (*over).max(attempt);
        self.done()
    }

    fn lists(&self) -> Response<http::Body> {
        let running: Vec<Value> = self
            .runs
            .iter()
            .filter(|run| run.number == 0)
            .map(|run| json!([run.task, run.attempt, "", 100, 0]))
            .collect();
        let mut ends: Vec<&Run> = self
            .runs
            .iter()
            .filter(|run| run.number > self.cursor)
            .collect();
        ends.sort_by_key(|run| run.number);
        let finished: Vec<Value> = ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|run| {
                let how = run.ended.map_or("", |(_, how)| how);
                json!([run.number, run.task, run.attempt, how, ""])
            })
            .collect();
        let body = json!({
            "clock_ms": self.clock(), "born": self.born, "running": running, "finished": finished,
        });
        json_response(&body.to_string())
    }
}

/// Returns the work of a task, which its specification names in milliseconds before a semicolon.
fn work_time(spec: &str) -> Duration {
    let millis = spec.split(';').next().and_then(|text| text.parse().ok());
    Duration::from_millis(millis.unwrap_or(1_000))
}

impl Gang {
    /// Returns when and how a member has ended, if it has.
    fn end(&self, run: &Run, plan: Plan, now: Instant) -> Option<(Instant, &'static str)> {
        let fails_at = self.complete_at.map(|at| at + plan.fails_after);
        if index(&run.task) == plan.failing
            && let Some(at) = fails_at
                .filter(|at| *at <= now && self.broken_at.is_none_or(|broken| *at <= broken))
        {
            return Some((at, "failed"));
        }
        let broken = self
            .broken_at
            .into_iter()
            .chain(fails_at)
            .min()
            .filter(|at| *at <= now);
        let alone = (run.started + GANG_TIMEOUT <= now && self.complete_at.is_none())
            .then_some((run.started + GANG_TIMEOUT, "alone"));
        broken.map(|at| (at.max(run.started), "broken")).or(alone)
    }
}

/// Returns the job, step and attempt of a run.
fn gang_key(run: &Run) -> (String, u64) {
    let step = run.task.rsplit_once('.').map_or("", |(step, _)| step);
    (step.to_owned(), run.attempt)
}

/// Returns the index of a task in its step.
fn index(task: &str) -> usize {
    task.rsplit_once('.')
        .and_then(|(_, index)| index.parse().ok())
        .unwrap_or(0)
}

/// Decodes a specification `gang MEMBERS FAILING MILLISECONDS`.
fn gang_plan(spec: &str) -> Option<Plan> {
    let mut words = spec.strip_prefix("gang ")?.split(' ');
    let mut number = || words.next()?.parse::<u64>().ok();
    Some(Plan {
        members: usize::try_from(number()?).ok()?,
        failing: usize::try_from(number()?).ok()?,
        fails_after: Duration::from_millis(number()?),
    })
}

/// Returns the time of day in Unix milliseconds.
fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(1, |now| u64::try_from(now.as_millis()).unwrap_or(1))
}

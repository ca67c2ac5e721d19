//! Stand-ins for the runners, as PROTOCOL tells them: leases, fences, gangs, lists of runs, heartbeats.

use crate::http::{self, Request, Response, Server};
use crate::record::Record;
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
const MAX_HOLD: u64 = 6_000;
const GANG_TIMEOUT: u64 = 3_000;
const STOP_TIME: u64 = 150;
const SPREAD_FACTOR: f64 = 3.0;
const MAX_ENDS: usize = 500;
/// `contact_ms`: time after a disruption from which on it is calm.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after its listing from which on an end counts as taken note of.
const NOTED_AFTER: Duration = Duration::from_millis(100);

/// Room of a runner or demand of a task: thousandths of a core, memory in MB, accelerators.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Room {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpus: u64,
}

/// What the runners have to know of a step, which its `spec` stands for.
#[derive(Clone)]
pub struct Step {
    pub tasks: usize,
    pub demand: Room,
    pub work_ms: f64,
    pub gang: bool,
    pub same_rack: bool,
}

/// Place of a runner.
#[derive(Clone)]
pub struct Place {
    pub host: String,
    pub zone: String,
    pub rack: String,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub room: Room,
}

#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub started: u64,
    /// Job and step.
    step: (Arc<str>, usize),
    /// Row of the list of runs.
    row: String,
    work_ms: f64,
    complete: bool,
    stops_at: Option<u64>,
}

struct End {
    /// When the run ended, and when a list first showed it.
    at: Instant,
    listed_at: Option<Instant>,
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// One life of a runner.
struct Life {
    id: String,
    born: u64,
    began: Instant,
    token: u64,
    lease_end: u64,
    running: Vec<Run>,
    finished: Vec<End>,
    ends: u64,
    /// Highest run that was stopped or has ended, by task.
    barred: HashMap<String, u64>,
    server: Server,
}

impl Life {
    fn clock(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }
}

struct Runner {
    place: Place,
    life: Option<Life>,
    beats: u64,
}

struct State {
    runners: Vec<Runner>,
    /// Last disruption; an end that is listed once it is calm counts as taken note of.
    disrupted_at: Instant,
    /// Tasks of which an end `done` has been taken note of.
    done: HashMap<String, Instant>,
    /// Times that the runners took to answer starts. Unit: milliseconds.
    start_times: Vec<u64>,
    /// Number of runs that have ended `alone`.
    alone: u64,
    /// Starts after such an end.
    repeated: Vec<String>,
    /// Steps by job and index.
    steps: HashMap<(Arc<str>, usize), Step>,
    ended: bool,
}

/// All runners.
#[derive(Clone)]
pub struct Runners {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pool: String,
}

/// Job and step of a task's name, which has the form ID.K.STEP.INDEX.
pub fn step_of(task: &str) -> (String, usize) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default().to_owned();
    let step = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
    (job, step)
}

impl Runners {
    pub fn start(places: Vec<Place>, pool: &str, record: Record) -> Self {
        let runners = places.into_iter().map(|place| Runner {
            place,
            life: None,
            beats: 0,
        });
        let state = State {
            runners: runners.collect(),
            disrupted_at: Instant::now(),
            done: HashMap::new(),
            start_times: Vec::new(),
            alone: 0,
            repeated: Vec::new(),
            steps: HashMap::new(),
            ended: false,
        };
        let runners = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record,
            pool: pool.to_owned(),
        };
        let ticking = runners.clone();
        thread::spawn(move || ticking.tick());
        runners
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Notes that a disruption goes on at this moment.
    pub fn disrupted(&self) {
        self.lock().disrupted_at = Instant::now();
    }

    /// Returns the tasks that were started again after an end `done` was taken note of.
    pub fn repeated(&self) -> Vec<String> {
        self.lock().repeated.clone()
    }

    /// Returns the number of starts, and the median, the 99th percentile and the longest of the times to answer them.
    pub fn start_times(&self) -> (usize, [u64; 3]) {
        let mut times = self.lock().start_times.clone();
        times.sort_unstable();
        let at = |share: usize| times.get(times.len().saturating_sub(1) * share / 100).copied().unwrap_or(0);
        (times.len(), [at(50), at(99), at(100)])
    }

    /// Returns how many runs have ended `alone`.
    pub fn alone(&self) -> u64 {
        self.lock().alone
    }

    /// Tells the runners of the steps of a job.
    pub fn know(&self, job: &str, steps: &[Step]) {
        let mut state = self.lock();
        for (index, step) in steps.iter().enumerate() {
            state.steps.insert((job.into(), index), step.clone());
        }
    }

    /// Begins a new life of a runner, under a new name.
    pub fn begin(&self, index: usize) -> std::io::Result<()> {
        let place = self.lock().runners[index].place.clone();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let id = format!("i-{index:02}{:08x}", born & 0xffff_ffff);
        let copy = self.clone();
        let server = Server::start(place.address, move |request| copy.serve(index, &request))?;
        let life = Life {
            id: id.clone(),
            born,
            began: Instant::now(),
            token: 0,
            lease_end: 0,
            running: Vec::new(),
            finished: Vec::new(),
            ends: 0,
            barred: HashMap::new(),
            server,
        };
        let mut state = self.lock();
        state.runners[index].life = Some(life);
        state.runners[index].beats = 0;
        drop(state);
        self.record.line(&format!("runner {index} ({id}) on {} in rack {} begins", place.host, place.rack));
        let copy = self.clone();
        thread::spawn(move || copy.beat(index, &id));
        Ok(())
    }

    /// Crashes a runner: its connections close, and it knows nothing any more.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        if let Some(life) = state.runners[index].life.take() {
            life.server.end();
            let lost: Vec<String> = life.running.iter().map(|run| format!("{} run {}", run.task, run.attempt)).collect();
            self.record.line(&format!("runner {index} ({}) crashes; lost: {lost:?}", life.id));
        }
        self.shared.1.notify_all();
    }

    /// Ends all runners.
    pub fn end(&self) {
        let mut state = self.lock();
        state.ended = true;
        for runner in &mut state.runners {
            if let Some(life) = runner.life.take() {
                life.server.end();
            }
        }
        self.shared.1.notify_all();
    }

    /// Returns the runs of a job, with the index of their runner.
    pub fn runs_of(&self, job: &str) -> Vec<(usize, Run)> {
        let state = self.lock();
        let all = state.runners.iter().enumerate();
        let all = all.flat_map(|(index, runner)| {
            let runs = runner.life.iter().flat_map(|life| &life.running);
            runs.map(move |run| (index, run.clone()))
        });
        all.filter(|(_, run)| &*run.step.0 == job).collect()
    }

    /// Returns the room of each runner that is up, and what is in use there.
    pub fn rooms(&self) -> Vec<(Room, Room)> {
        let state = self.lock();
        let up = state.runners.iter().filter(|runner| runner.life.is_some());
        up.map(|runner| (runner.place.room, used(&state, runner))).collect()
    }

    fn beat(&self, index: usize, id: &str) {
        loop {
            let (admin, body) = {
                let mut state = self.lock();
                let runner = &mut state.runners[index];
                let Some(life) = runner.life.as_ref().filter(|life| life.id == id) else {
                    return;
                };
                let place = &runner.place;
                let body = json!({
                    "backend": self.pool, "address": place.address.to_string(), "zone": place.zone,
                    "version": "v1", "capacity": 8, "state": "ready", "cold_remaining_ms": 0,
                    "free_resources": { "cpu": place.room.cpu, "mem_mb": place.room.mem_mb, "gpus": place.room.gpus },
                    "labels": ["a", place.rack], "clock_ms": life.clock(), "sequence": runner.beats + 1, "born": life.born,
                });
                runner.beats += 1;
                (runner.place.admin, body.to_string())
            };
            let path = format!("/instances/{id}");
            let headers = [("Host", "agent"), ("Content-Type", "application/json")];
            let _ = http::call(admin, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, index: usize, request: &Request) -> Response {
        let began = Instant::now();
        let response = self.answer(index, request);
        if request.path == "/run-start" {
            self.lock().start_times.push(began.elapsed().as_millis() as u64);
        }
        response
    }

    fn answer(&self, index: usize, request: &Request) -> Response {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Response::new(400, "");
        };
        let mut guard = self.lock();
        let state = &mut *guard;
        let expected = request.header("x-expect-instance").map(str::to_owned);
        let Some(life) = state.runners[index].life.as_mut() else {
            return Response::new(503, "");
        };
        if expected.is_some_and(|expected| expected != life.id) {
            return Response::new(421, "");
        }
        let clock = life.clock();
        let conflict = |reason: &str| Response::new(409, json!({ "clock_ms": clock, "reason": reason }).to_string());
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < life.token {
            return conflict("fence");
        }
        life.token = token;
        let done = || Response::new(200, json!({ "clock_ms": clock }).to_string());
        let (task, attempt) = (body["task"].as_str().unwrap_or_default().to_owned(), body["attempt"].as_u64().unwrap_or(0));
        match request.path.as_str() {
            "/run-start" => {
                let deadline = body["deadline_ms"].as_u64().unwrap_or(0);
                if deadline <= clock {
                    return conflict("late");
                }
                life.lease_end = life.lease_end.max(deadline.min(clock + MAX_HOLD));
                if life.running.iter().any(|run| run.attempt == attempt && run.task == task) {
                    return done();
                }
                if life.barred.get(&task).is_some_and(|barred| attempt <= *barred) {
                    return conflict("old");
                }
                self.record.line(&format!("runner {index} starts {task} run {attempt}"));
                if let Some(done) = state.done.get(&task) {
                    let ago = done.elapsed().as_secs_f64();
                    self.record.line(&format!("TWICE: {task} starts {ago:.1} s after an end `done` was taken note of"));
                    state.repeated.push(task.clone());
                }
                let (job, step) = step_of(&task);
                let row = format!("[\"{task}\",{attempt},\"\",0,0]");
                life.running.push(Run {
                    task,
                    step: (job.into(), step),
                    row,
                    attempt,
                    started: clock,
                    work_ms: 0.0,
                    complete: false,
                    stops_at: None,
                });
                done()
            }
            "/run-stop" => {
                let barred = life.barred.entry(task.clone()).or_default();
                *barred = attempt.max(*barred);
                let run = life.running.iter_mut().find(|run| run.task == task && run.attempt == attempt);
                if let Some(run) = run {
                    run.stops_at.get_or_insert(clock + STOP_TIME);
                }
                done()
            }
            "/hold" => {
                if let Some(deadline) = body["deadline_ms"].as_u64() {
                    life.lease_end = life.lease_end.max(deadline.min(clock + MAX_HOLD));
                }
                let acknowledged = body["ack_cursor"].as_u64().unwrap_or(0);
                // Unless the lease lapsed in between.
                let lapsed = life.lease_end < clock;
                for end in life.finished.iter().filter(|end| end.number <= acknowledged && end.how == "done" && !lapsed) {
                    state.done.entry(end.task.clone()).or_insert_with(Instant::now);
                }
                life.finished.retain(|end| end.number > acknowledged);
                let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
                let (id, ends) = (life.id.clone(), life.ends);
                self.lists(guard, index, &id, ends, Instant::now() + wait)
            }
            _ => Response::new(404, ""),
        }
    }

    /// Returns the lists of runs once another run has ended, or at the deadline.
    fn lists(&self, mut state: MutexGuard<State>, index: usize, id: &str, ends: u64, deadline: Instant) -> Response {
        loop {
            let Some(life) = state.runners[index].life.as_mut().filter(|life| life.id == id) else {
                return Response::new(503, "");
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if life.ends > ends || left.is_zero() {
                for end in life.finished.iter_mut().take(MAX_ENDS) {
                    end.listed_at.get_or_insert_with(Instant::now);
                }
                let mut body = format!("{{\"clock_ms\":{},\"born\":{},\"running\":[", life.clock(), life.born);
                for (index, run) in life.running.iter().enumerate() {
                    body.push_str(if index > 0 { "," } else { "" });
                    body.push_str(&run.row);
                }
                body.push_str("],\"finished\":[");
                for (index, end) in life.finished.iter().take(MAX_ENDS).enumerate() {
                    body.push_str(if index > 0 { "," } else { "" });
                    body.push_str(&format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.task, end.attempt, end.how));
                }
                body.push_str("]}");
                return Response::new(200, body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Lets the runs work and end.
    fn tick(&self) {
        let mut last = Instant::now();
        loop {
            thread::sleep(TICK);
            let elapsed = last.elapsed().as_secs_f64() * 1_000.0;
            last = Instant::now();
            let mut state = self.lock();
            if state.ended {
                return;
            }
            note_ends(&mut state, &self.record);
            let ends = due_ends(&mut state, elapsed);
            for (index, runner) in state.runners.iter_mut().enumerate() {
                let Some(life) = &mut runner.life else {
                    continue;
                };
                let here: HashSet<(&str, u64)> =
                    ends.iter().filter(|end| end.0 == index).map(|end| (end.1.as_str(), end.2)).collect();
                if !here.is_empty() {
                    life.running.retain(|run| !here.contains(&(run.task.as_str(), run.attempt)));
                }
            }
            for (index, task, attempt, how) in ends {
                state.alone += u64::from(how == "alone");
                let Some(life) = state.runners[index].life.as_mut() else {
                    continue;
                };
                let barred = life.barred.entry(task.clone()).or_default();
                *barred = attempt.max(*barred);
                life.ends += 1;
                life.finished.push(End {
                    at: Instant::now(),
                    listed_at: None,
                    number: life.ends,
                    task: task.clone(),
                    attempt,
                    how,
                });
                self.record.line(&format!("runner {index} ends {task} run {attempt}: {how}"));
            }
            self.shared.1.notify_all();
        }
    }
}

/// Takes note of the ends `done` that were listed for long enough, with no disruption near and under a lease.
fn note_ends(state: &mut State, record: &Record) {
    if state.disrupted_at.elapsed() < CONTACT {
        return;
    }
    let calm_since = state.disrupted_at + CONTACT;
    for life in state.runners.iter().filter_map(|runner| runner.life.as_ref()) {
        if life.clock() >= life.lease_end {
            continue;
        }
        for end in life.finished.iter().filter(|end| end.how == "done") {
            let noted = end.listed_at.is_some_and(|at| at.elapsed() >= NOTED_AFTER);
            if noted && end.at >= calm_since && !state.done.contains_key(&end.task) {
                record.line(&format!("the end of {} has been listed for {} ms, with no disruption near", end.task, NOTED_AFTER.as_millis()));
                state.done.insert(end.task.clone(), Instant::now());
            }
        }
    }
}

fn used(state: &State, runner: &Runner) -> Room {
    let mut used = Room::default();
    for run in runner.life.iter().flat_map(|life| &life.running) {
        if let Some(step) = state.steps.get(&run.step) {
            used.cpu += step.demand.cpu;
            used.mem_mb += step.demand.mem_mb;
            used.gpus += step.demand.gpus;
        }
    }
    used
}

/// Runs of one step under one number.
#[derive(Default)]
struct Members {
    count: usize,
    /// Runners on which they are.
    runners: Vec<usize>,
    done: bool,
}

/// Advances all runs and returns those that end now.
fn due_ends(state: &mut State, elapsed: f64) -> Vec<(usize, String, u64, &'static str)> {
    let State { runners, steps, .. } = state;
    let racks: Vec<String> = runners.iter().map(|runner| runner.place.rack.clone()).collect();
    let mut members: HashMap<((Arc<str>, usize), u64), Members> = HashMap::new();
    for (index, runner) in runners.iter().enumerate() {
        for run in runner.life.iter().flat_map(|life| &life.running) {
            let known = members.entry((run.step.clone(), run.attempt)).or_default();
            known.count += 1;
            if known.runners.last() != Some(&index) {
                known.runners.push(index);
            }
        }
    }
    let mut ends = Vec::new();
    for (index, runner) in runners.iter_mut().enumerate() {
        let Some(life) = &mut runner.life else {
            continue;
        };
        let clock = life.clock();
        for run in &mut life.running {
            let step = steps.get(&run.step);
            let Some(known) = members.get_mut(&(run.step.clone(), run.attempt)) else {
                continue;
            };
            let gang = step.is_some_and(|step| step.gang);
            let all_present = step.is_none_or(|step| !step.gang || known.count >= step.tasks);
            run.complete |= all_present;
            let how = if clock > life.lease_end {
                Some("lapsed")
            } else if run.stops_at.is_some_and(|at| clock >= at) {
                Some("stopped")
            } else if gang && run.complete && !all_present {
                Some("broken")
            } else if gang && !run.complete && clock > run.started + GANG_TIMEOUT {
                Some("alone")
            } else {
                None
            };
            if all_present && run.stops_at.is_none() {
                let spread = known.runners.iter().any(|other| racks[*other] != racks[index]);
                let slow = spread && step.is_some_and(|step| step.same_rack);
                run.work_ms += if slow { elapsed / SPREAD_FACTOR } else { elapsed };
            }
            if let Some(how) = how {
                ends.push((index, run.task.clone(), run.attempt, how));
            } else if step.is_some_and(|step| run.work_ms >= step.work_ms) {
                known.done |= gang;
                if !gang {
                    ends.push((index, run.task.clone(), run.attempt, "done"));
                }
            }
        }
    }
    // The members of a gang end `done` together.
    let done: Vec<_> = members.into_iter().filter(|(_, known)| known.done).map(|(key, _)| key).collect();
    for (step, attempt) in done {
        ends.retain(|end| end.2 != attempt || step_of(&end.1) != (step.0.to_string(), step.1));
        for (index, runner) in runners.iter().enumerate() {
            let runs = runner.life.iter().flat_map(|life| &life.running);
            let runs = runs.filter(|run| run.step == step && run.attempt == attempt);
            ends.extend(runs.map(|run| (index, run.task.clone(), attempt, "done")));
        }
    }
    ends
}

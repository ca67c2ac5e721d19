//! The cases: a small deployment of three zones, one disruption, and the check of one rule.

use crate::http;
use crate::record::Record;
use crate::runner::{Place, Room, Runners, Step};
use crate::store::Store;
use crate::system::{self, ADMIN, APP, Addresses, FRONT, READY, STORE, System};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const POOL: &str = "huvo11a";
const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const KEY: &str = "key-3f8a";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Room of a runner, as in the small deployments.
const ROOM: Room = Room {
    cpu: 64_000,
    mem_mb: 262_144,
    gpus: 8,
};
/// Time after the end of the traffic at which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job that could run may have nothing running.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

type Outcome = Result<bool, String>;

pub fn play(case: &str, record: &str, folder: &str, trouble: bool) -> Outcome {
    let record = Record::create(record).map_err(|error| error.to_string())?;
    record.line(&format!("case {case}, trouble: {trouble}"));
    let broken = match case {
        "replaced-entries" => replaced_entries(&record, folder, trouble),
        "large-gangs" => large_gangs(&record, folder, trouble),
        "lost-runner" => lost_runner(&record, folder, trouble),
        "large-jobs" => large_jobs(&record, folder, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match &broken {
        Ok(true) => record.line("result: the rule was broken"),
        Ok(false) => record.line("result: the rule held"),
        Err(reason) => record.line(&format!("result: could not run: {reason}")),
    }
    record.flush();
    broken
}

/// A running deployment.
struct Deployment {
    system: System,
    store: (Store, http::Server),
    runners: Runners,
    addresses: Addresses,
    seeds: Vec<SocketAddr>,
    /// Machine and name of the entry of each zone.
    entries: Vec<(u8, String)>,
    /// Number of entries so far, which numbers their machines.
    entries_ever: u8,
    record: Record,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.runners.end();
        self.store.1.end();
    }
}

/// Machine of the store, and first machines of entries and of runners.
const STORE_MACHINE: u8 = 1;
const ENTRY_MACHINES: u8 = 10;
const SIDE_MACHINES: u8 = 200;
/// Maximum number of entries in a case.
const MAX_ENTRIES: u8 = 60;

/// Runs three entries and a runner with its agent for each zone and rack that is named.
fn deploy(record: &Record, folder: &str, racks: &[(&str, &str)]) -> Result<Deployment, String> {
    let failed = |error: std::io::Error| error.to_string();
    let sides = SIDE_MACHINES..SIDE_MACHINES + racks.len() as u8;
    let entry_machines = ENTRY_MACHINES..ENTRY_MACHINES + MAX_ENTRIES;
    let machines: Vec<u8> = std::iter::once(STORE_MACHINE).chain(entry_machines).chain(sides.clone()).collect();
    let addresses = Addresses::find(&machines).ok_or("no free ports")?;
    let store_address = addresses.at(STORE_MACHINE, STORE);
    let (store, server) = Store::start(store_address).map_err(failed)?;
    let config = json!({
        "version": 7,
        "routes": [{
            "name": "r-ce7ejsm", "host": HOST, "path_prefix": PREFIX, "type": "unsafe", "timeout_ms": 3000,
            "target_latency_ms": 1000, "priority": 1, "backend": POOL, "attempts": 3, "slack_factor": 3.0, "public": false,
        }],
        "backends": [{ "name": POOL, "admission_check": false }],
        "limits": { "max_body_bytes": 262_144 },
        "tenants": [{ "name": "tenant-1", "api_keys": [KEY], "guaranteed": { "gpus": 0 } }],
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
    let system = System::new(Path::new(folder)).map_err(failed)?;
    let seeds: Vec<SocketAddr> = (0..3).map(|index| addresses.at(ENTRY_MACHINES + index, ADMIN)).collect();
    let mut places = Vec::new();
    for (machine, (zone, rack)) in sides.clone().zip(racks) {
        places.push(Place {
            host: format!("side-{zone}-{machine}"),
            zone: (*zone).to_owned(),
            rack: (*rack).to_owned(),
            address: addresses.at(machine, APP),
            admin: addresses.at(machine, ADMIN),
            room: ROOM,
        });
    }
    let mut deployment = Deployment {
        system,
        store: (store, server),
        runners: Runners::start(places.clone(), POOL, record.clone()),
        addresses,
        seeds,
        entries: Vec::new(),
        entries_ever: 0,
        record: record.clone(),
    };
    // All machines start within 0.3 s of each other, in any order: some agents before the entries, some after them.
    for (index, (machine, place)) in sides.zip(&places).enumerate() {
        if index == places.len() / 2 {
            for zone in ZONES {
                let entry = deployment.start_entry(zone)?;
                deployment.entries.push(entry);
                sleep(Duration::from_millis(30));
            }
        }
        let fields = system::fields(&deployment.addresses, machine, &place.host, &place.zone, &deployment.seeds, store_address);
        deployment.system.spawn("agent", &fields).map_err(failed)?;
        sleep(Duration::from_millis(20));
    }
    for index in 0..places.len() {
        deployment.runners.begin(index).map_err(failed)?;
    }
    for (machine, _) in &deployment.entries {
        if !system::wait_ready(deployment.addresses.at(*machine, READY), Duration::from_secs(20)) {
            return Err("an entry did not become ready".to_owned());
        }
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10));
    Ok(deployment)
}

impl Deployment {
    /// Starts an entry on a new machine of a zone.
    fn start_entry(&mut self, zone: &str) -> Result<(u8, String), String> {
        let machine = ENTRY_MACHINES + self.entries_ever;
        self.entries_ever += 1;
        let name = format!("edge-{zone}-{}", self.entries_ever);
        let store = self.addresses.at(STORE_MACHINE, STORE);
        let fields = system::fields(&self.addresses, machine, &name, zone, &self.seeds, store);
        self.system.spawn("entry", &fields).map_err(|error| error.to_string())?;
        self.record.line(&format!("entry {name} starts"));
        Ok((machine, name))
    }

    /// Returns the index of the entry that leads.
    fn leader(&self) -> Option<usize> {
        let names: Vec<String> = self.entries.iter().map(|(_, name)| name.clone()).collect();
        self.store.0.leader(&names)
    }

    /// Removes an entry's machine for good; a new one comes after `pause` at another address.
    fn replace_entry(&mut self, index: usize, pause: Duration) -> Result<(), String> {
        let (machine, name) = self.entries[index].clone();
        let addresses: Vec<SocketAddr> = (0..6).map(|offset| self.addresses.at(machine, offset)).collect();
        self.record.line(&format!("entry {name} is removed for good"));
        self.runners.disrupted();
        self.system.remove(&name, &addresses);
        sleep(pause);
        self.runners.disrupted();
        self.entries[index] = self.start_entry(ZONES[index])?;
        Ok(())
    }

    /// Sends a request as a client does: up to five attempts, each at another entry.
    fn call(&self, method: &str, job: &str, body: &str) -> Option<http::Response> {
        let path = format!("{PREFIX}{job}");
        let headers = [("Host", HOST), ("X-Api-Key", KEY), ("X-Deadline-Ms", "3000"), ("Content-Type", "application/json")];
        for attempt in 0..5 {
            let (machine, _) = self.entries[attempt % self.entries.len()];
            let front = self.addresses.at(machine, FRONT);
            let answer = http::call(front, method, &path, &headers, body.as_bytes(), Duration::from_secs(3));
            match answer {
                Ok(answer) if !matches!(answer.status, 502 | 503 | 504 | 429) => return Some(answer),
                _ => sleep(Duration::from_secs(1)),
            }
        }
        None
    }

    fn submit(&self, job: &str, phases: Value, steps: &[Step]) -> Result<Instant, String> {
        self.submit_with(job, &format!("work of {job}"), phases, steps)
    }

    fn submit_with(&self, job: &str, spec: &str, phases: Value, steps: &[Step]) -> Result<Instant, String> {
        self.runners.know(job, steps);
        self.record.line(&format!("client sends POST {PREFIX}{job}, spec of {} bytes, phases {phases}", spec.len()));
        let body = json!({ "spec": spec, "phases": phases }).to_string();
        let answer = self.call("POST", job, &body).ok_or("a submission got no answer")?;
        self.record.line(&format!("client gets {} for POST {job}", answer.status));
        if answer.status == 200 {
            Ok(Instant::now())
        } else {
            Err(format!("a submission was answered {}", answer.status))
        }
    }

    /// Returns the state of a job as shown to clients.
    fn state(&self, job: &str) -> String {
        let Some(answer) = self.call("GET", job, "") else {
            return "no answer".to_owned();
        };
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let state = body["state"].as_str().map_or_else(|| answer.status.to_string(), str::to_owned);
        self.record.line(&format!("client gets {} for GET {job}: {state}", answer.status));
        state
    }

    /// Waits until a job is shown as ended. Returns its state.
    fn wait_end(&self, job: &str, time: Duration) -> String {
        let deadline = Instant::now() + time;
        loop {
            let state = self.state(job);
            if matches!(&*state, "completed" | "failed" | "canceled") || Instant::now() > deadline {
                return state;
            }
            sleep(Duration::from_millis(500));
        }
    }

    /// Checks LOST on jobs from `FINISH` after the end of the traffic on, for `time`: whether one has nothing running for
    /// `IDLE_LIMIT` while the room of `needed` runners, each of which has room for a task, is there twice over, and under
    /// half of the room is in use. Ends early once all are completed.
    fn leaves_waiting(&self, jobs: &[&str], needed: usize, demand: Room, time: Duration) -> bool {
        sleep(FINISH);
        let deadline = Instant::now() + time;
        let mut idle_since: Vec<Option<Instant>> = vec![None; jobs.len()];
        let mut longest = vec![Duration::ZERO; jobs.len()];
        loop {
            let states: Vec<String> = jobs.iter().map(|job| self.state(job)).collect();
            let all_ended = states.iter().all(|state| matches!(&**state, "completed" | "failed" | "canceled"));
            if all_ended || Instant::now() > deadline {
                break;
            }
            let rooms = self.runners.rooms();
            let has_room = |(room, used): &&(Room, Room)| {
                used.cpu + demand.cpu <= room.cpu
                    && used.mem_mb + demand.mem_mb <= room.mem_mb
                    && used.gpus + demand.gpus <= room.gpus
            };
            let free = rooms.iter().filter(has_room).count();
            let total: u64 = rooms.iter().map(|(room, _)| room.gpus).sum();
            let used: u64 = rooms.iter().map(|(_, used)| used.gpus).sum();
            let has_capacity = free >= 2 * needed && 2 * used < total;
            for (index, job) in jobs.iter().enumerate() {
                let waits = matches!(&*states[index], "queued" | "running") && self.runners.runs_of(job).is_empty();
                if !waits || !has_capacity {
                    idle_since[index] = None;
                    continue;
                }
                let idle = idle_since[index].get_or_insert_with(Instant::now).elapsed();
                longest[index] = longest[index].max(idle);
            }
            sleep(Duration::from_millis(250));
        }
        for (job, longest) in jobs.iter().zip(&longest) {
            self.record.line(&format!(
                "job {job}: nothing ran for up to {:.1} s while {} runners or more had room for a task; {needed} are needed",
                longest.as_secs_f64(),
                2 * needed
            ));
        }
        longest.iter().any(|longest| *longest > IDLE_LIMIT)
    }
}

/// TWICE: tasks that are done are started again, after entries were replaced one after the other and then the one that led.
fn replaced_entries(record: &Record, folder: &str, trouble: bool) -> Outcome {
    const REPLACEMENTS: usize = 36;
    /// Time after which the new machine comes, and until the next replacement.
    const PAUSE: Duration = Duration::from_secs(1);
    const GAP: Duration = Duration::from_millis(300);
    let racks = [("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-c", "r3-1"), ("zone-c", "r3-1")];
    let mut deployment = deploy(record, folder, &racks)?;
    for _ in 0..if trouble { REPLACEMENTS } else { 0 } {
        let leader = deployment.leader().ok_or("no entry leads")?;
        let follower = if leader == 2 { 1 } else { 2 };
        deployment.replace_entry(follower, PAUSE)?;
        sleep(GAP);
    }
    sleep(Duration::from_secs(5));
    let demand = Room { cpu: 26_000, mem_mb: 16_384, gpus: 8 };
    let jobs: Vec<String> = (0..racks.len()).map(|index| format!("5c0e7a21d94b36{index:02x}")).collect();
    for job in &jobs {
        let step = Step { tasks: 1, demand, work_ms: 8_000.0, gang: false, same_rack: false };
        let phases = json!([{ "task_count": 1, "cpu": demand.cpu, "mem_mb": demand.mem_mb, "gpus": demand.gpus, "estimated_ms": 8000 }]);
        deployment.submit(job, phases, &[step])?;
    }
    sleep(Duration::from_millis(1_200));
    if trouble {
        let leader = deployment.leader().ok_or("no entry leads")?;
        deployment.replace_entry(leader, PAUSE)?;
    }
    sleep(Duration::from_secs(38));
    for job in &jobs {
        deployment.state(job);
    }
    if !deployment.system.all_run() {
        return Err("a process of the system has ended".to_owned());
    }
    let repeated = deployment.runners.repeated();
    record.line(&format!("tasks started again after an end `done`: {repeated:?}"));
    Ok(!repeated.is_empty())
}

/// GANG: members of large gangs end `alone`, again and again, with no disruption but that they come at once.
fn large_gangs(record: &Record, folder: &str, trouble: bool) -> Outcome {
    const JOBS: [&str; 4] = ["5c0e7a21d94b36f8", "6c0e7a21d94b36f8", "7c0e7a21d94b36f8", "8c0e7a21d94b36f8"];
    /// Tasks, and their thousandths of a core; in all 60 cores, room that one runner has.
    const LARGE: (usize, u64) = (4_000, 15);
    const ORDINARY: (usize, u64) = (400, 150);
    const SPEC: usize = 4_000;
    let racks = [("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-c", "r3-1"), ("zone-c", "r3-1")];
    let mut deployment = deploy(record, folder, &racks)?;
    let (tasks, cpu) = if trouble { LARGE } else { ORDINARY };
    let demand = Room { cpu, mem_mb: 60, gpus: 0 };
    let phases = json!([{ "task_count": tasks, "cpu": demand.cpu, "mem_mb": demand.mem_mb, "estimated_ms": 8000, "gang": true }]);
    for job in JOBS {
        let step = Step { tasks, demand, work_ms: 8_000.0, gang: true, same_rack: false };
        deployment.submit_with(job, &"x".repeat(SPEC), phases.clone(), &[step])?;
    }
    let deadline = Instant::now() + Duration::from_secs(60);
    for job in JOBS {
        let state = deployment.wait_end(job, deadline.saturating_duration_since(Instant::now()));
        record.line(&format!("job {job} is {state}"));
    }
    if !deployment.system.all_run() {
        return Err("a process of the system has ended".to_owned());
    }
    let alone = deployment.runners.alone();
    let (starts, [median, high, longest]) = deployment.runners.start_times();
    record.line(&format!("runners answered {starts} starts: median {median} ms, 99th percentile {high} ms, longest {longest} ms"));
    record.line(&format!("{alone} runs have ended `alone`"));
    Ok(alone > 0)
}

/// LOST: a gang is never started although there is room, after a runner of a rack was lost for good.
fn lost_runner(record: &Record, folder: &str, trouble: bool) -> Outcome {
    const JOB: &str = "7b1f03c2a96e48d5";
    const LOST: usize = 2;
    let racks = [("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-a", "r1-2"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-c", "r3-1"), ("zone-c", "r3-1")];
    let mut deployment = deploy(record, folder, &racks)?;
    if trouble {
        deployment.runners.crash(LOST);
    }
    // Longer than any lease, so that the system can know that the runner is gone.
    sleep(Duration::from_secs(10));
    let demand = Room { cpu: 26_000, mem_mb: 16_384, gpus: 8 };
    let step = Step { tasks: 3, demand, work_ms: 3_000.0, gang: true, same_rack: true };
    let phases = json!([{
        "task_count": 3, "cpu": demand.cpu, "mem_mb": demand.mem_mb, "gpus": demand.gpus, "estimated_ms": 3000,
        "gang": true, "same_rack": true,
    }]);
    deployment.submit(JOB, phases, &[step])?;
    let broken = deployment.leaves_waiting(&[JOB], 3, demand, Duration::from_secs(45));
    if !deployment.system.all_run() {
        return Err("a process of the system has ended".to_owned());
    }
    Ok(broken)
}

/// LOST: large gangs that come at once are never started although there is room.
fn large_jobs(record: &Record, folder: &str, trouble: bool) -> Outcome {
    const ORDINARY: &str = "11aa22bb33cc44dd";
    const LARGE: [&str; 3] = ["91c2e3f405a6b7c8", "a1c2e3f405a6b7c8", "b1c2e3f405a6b7c8"];
    let racks = [("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-a", "r1-1"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-b", "r2-1"), ("zone-c", "r3-1"), ("zone-c", "r3-1"), ("zone-c", "r3-1")];
    let mut deployment = deploy(record, folder, &racks)?;
    let demand = Room { cpu: 5_600, mem_mb: 4_096, gpus: 1 };
    let submit = |job: &str, tasks: usize| {
        let step = Step { tasks, demand, work_ms: 2_500.0, gang: true, same_rack: true };
        let phases = json!([{
            "task_count": tasks, "cpu": demand.cpu, "mem_mb": demand.mem_mb, "gpus": demand.gpus, "estimated_ms": 2500,
            "gang": true, "same_rack": true, "anti_affinity": 1,
        }]);
        deployment.submit(job, phases, &[step])
    };
    submit(ORDINARY, 3)?;
    if trouble {
        for job in LARGE {
            submit(job, 4)?;
        }
    }
    let mut jobs = vec![ORDINARY];
    if trouble {
        jobs.extend(LARGE);
    }
    let broken = deployment.leaves_waiting(&jobs, 4, demand, Duration::from_secs(45));
    if !deployment.system.all_run() {
        return Err("a process of the system has ended".to_owned());
    }
    Ok(broken)
}

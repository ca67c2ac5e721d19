//! A small deployment: entries and agents as separate processes, with stand-ins for the platform.

use crate::log::LogService;
use crate::runner::{Gangs, Run, Runner};
use godwitstep::http;
use hyper::{Request, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const API_KEY: &str = "key-north";
/// Bounds of the site `pcmww-godwit`.
pub const FINISH: Duration = Duration::from_secs(14);
pub const CANCEL: Duration = Duration::from_secs(3);
pub const STOP_GRACE: Duration = Duration::from_millis(400);
pub const CONTACT: Duration = Duration::from_secs(3);
const ZONES: [&str; 3] = ["karratha-shed", "dampier-depot", "roebourne-annex"];
/// Timeout of a caller (`deadline_ms` of the site's requests).
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Record of what was sent, answered and run.
pub struct Record {
    begun: Instant,
    text: Mutex<String>,
    path: PathBuf,
}

impl Record {
    fn new(path: PathBuf) -> Self {
        Self {
            begun: Instant::now(),
            text: Mutex::default(),
            path,
        }
    }

    /// Returns a time in seconds since the start of the case.
    pub fn seconds(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.begun).as_secs_f64()
    }

    pub fn line(&self, line: &str) {
        let mut text = self.text.lock().expect("no thread panics with the lock");
        let _ = writeln!(text, "{:8.3} {line}", self.begun.elapsed().as_secs_f64());
        std::fs::write(&self.path, &*text).expect("the record can be written");
    }
}

/// Entries, agents with their runners, and the store. All processes end when it is dropped.
pub struct Deployment {
    pub log: LogService,
    pub runners: Vec<Runner>,
    pub record: Record,
    callers: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    /// Entries, then agents.
    processes: Vec<Child>,
    directory: PathBuf,
}

impl Deployment {
    /// Starts a deployment and waits until all entries are ready and the runners are known.
    pub fn start(case: &Path, root: &Path, entries: usize, agents: usize) -> Option<Self> {
        let directory =
            std::env::temp_dir().join(format!("godwitstep-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).ok()?;
        let mut deployment = Self {
            log: LogService::start(),
            runners: Vec::new(),
            record: Record::new(case.join("record.txt")),
            callers: Vec::new(),
            ready: Vec::new(),
            processes: Vec::new(),
            directory,
        };
        let route = |name: &str, priority: u8, objective: u64| {
            json!({
                "name": name, "host": "jobs.example", "path_prefix": format!("/{name}/"),
                "backend": "floor", "priority": priority, "attempts": 4, "slack_factor": 3.0,
                "target_latency_ms": objective,
            })
        };
        let config = json!({
            "version": 3,
            "routes": [route("seam-check", 0, 250), route("pattern-nest", 1, 1_000)],
            "backends": [{"name": "floor", "admission_check": false}],
            "limits": {"max_body_bytes": 262_144},
            "tenants": [{"name": "north", "api_keys": [API_KEY], "guaranteed": {"gpus": 8}}],
        });
        deployment
            .log
            .append_operator_record("config", &config.to_string());
        let [_, high, low, _] = (std::process::id() << 8).to_be_bytes();
        let ip = |host: usize| {
            Ipv4Addr::new(
                127,
                64 | (high & 63),
                low,
                u8::try_from(host + 10).unwrap_or(9),
            )
        };
        let bounds = json!({
            "hold_ms": 6_000, "stop_ms": 400, "gang_ms": 3_000, "revoke_ms": 5_000, "reclaim_ms": 2_900,
            "grace_s": 6, "status_s": 120, "spread": 3, "checkpoint_s": 2,
        });
        let seeds: Vec<String> = (0..entries)
            .map(|entry| format!("{}:8526", ip(entry)))
            .collect();
        for number in 0..entries {
            let (ip, zone) = (ip(number), ZONES[number % 3]);
            let settings = json!({
                "host": format!("edge-{zone}-{}", number / 3 + 1), "domain": zone, "log": deployment.log.address,
                "agents": format!("{ip}:27000"), "metrics": format!("{ip}:29464"),
                "callers": format!("{ip}:28521"), "ready": format!("{ip}:28523"), "bounds": bounds,
            });
            deployment.callers.push(SocketAddr::from((ip, 28_521)));
            deployment.ready.push(SocketAddr::from((ip, 28_523)));
            deployment.spawn(root, "entry", number, &settings)?;
        }
        let gangs = Gangs::default();
        for number in 0..agents {
            let (ip, zone) = (ip(entries + number), ZONES[number % 3]);
            let admin = SocketAddr::from((ip, 28_526));
            let runner = Runner::start(number, ip, admin, zone, gangs.clone());
            let settings = json!({
                "host": format!("side-{zone}-{}", number / 3 + 1), "domain": zone, "log": deployment.log.address,
                "agents": format!("{ip}:27000"), "metrics": format!("{ip}:29464"), "registrations": admin,
                "worker": runner.address, "pool": "floor", "seeds": seeds, "bounds": bounds,
            });
            deployment.runners.push(runner);
            deployment.spawn(root, "agent", number, &settings)?;
        }
        let ready = wait_until(Duration::from_secs(10), || {
            let ready = |address: &SocketAddr| {
                exchange(*address, "GET", "/ready", &[], "", CALLER_TIMEOUT)
                    .is_some_and(|(status, _)| status == 200)
            };
            deployment.ready.iter().all(ready)
        });
        // Traffic starts 10 s after the machines do.
        std::thread::sleep(
            Duration::from_secs(10).saturating_sub(deployment.record.begun.elapsed()),
        );
        let state = if ready { "ready" } else { "not ready" };
        deployment.record.line(&format!(
            "{entries} entries and {agents} agents started; the entries are {state}"
        ));
        ready.then_some(deployment)
    }

    fn spawn(
        &mut self,
        root: &Path,
        role: &str,
        number: usize,
        settings: &serde_json::Value,
    ) -> Option<()> {
        let path = self.directory.join(format!("{role}-{number}.json"));
        std::fs::write(&path, settings.to_string()).ok()?;
        let output = std::fs::File::create(path.with_extension("log")).ok()?;
        // The command of the deploy file.
        let child = Command::new("target/release/godwitstep-platform")
            .arg(role)
            .current_dir(root)
            .env("GODWITSTEP_SETTINGS", &path)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        record_process(child.id());
        self.processes.push(child);
        Some(())
    }

    /// Sends a caller's request to an entry and records it. Returns the status and body; `None` without an answer.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(StatusCode, String)> {
        let headers = [
            ("host", "jobs.example"),
            ("x-api-key", API_KEY),
            ("x-deadline-ms", "3000"),
        ];
        let sent = Instant::now();
        let answer = exchange(self.callers[entry], method, path, &headers, body, timeout);
        let text = match &answer {
            Some((status, body)) => format!("{} {body}", status.as_u16()),
            None => "no answer".to_owned(),
        };
        let millis = sent.elapsed().as_millis();
        self.record.line(&format!(
            "{method} {path} ({} bytes) at entry {entry}: {text} after {millis} ms",
            body.len()
        ));
        answer
    }

    /// Freezes the machine of an agent for a time; its runner goes on.
    pub fn freeze_agent(&self, number: usize, time: Duration) {
        let process = &self.processes[self.callers.len() + number];
        let pid = Pid::from_child(process);
        self.record.line(&format!(
            "agent {number} freezes for {} ms",
            time.as_millis()
        ));
        // Fails only if the process has exited.
        let _ = kill_process(pid, Signal::STOP);
        std::thread::sleep(time);
        let _ = kill_process(pid, Signal::CONT);
        self.record.line(&format!("agent {number} goes on"));
    }

    /// Returns all runs whose task belongs to a job, with the index of their runner.
    pub fn runs(&self, job: &str) -> Vec<(usize, Run)> {
        let runners = self.runners.iter().enumerate();
        let runs = runners
            .flat_map(|(number, runner)| runner.runs().into_iter().map(move |run| (number, run)));
        runs.filter(|(_, run)| run.task.starts_with(job)).collect()
    }

    /// Records all runs of a job, at most ten of them one by one.
    pub fn record_runs(&self, job: &str) {
        let runs = self.runs(job);
        self.record.line(&format!("job {job}: {} runs", runs.len()));
        for (runner, run) in runs.iter().take(10) {
            let ended = run.ended.map_or("at work".to_owned(), |(end, how)| {
                format!("{how} at {:.3}", self.record.seconds(end))
            });
            let started = self.record.seconds(run.started);
            self.record.line(&format!(
                "  {} run {} on runner {runner} from {started:.3}: {ended}",
                run.task, run.attempt
            ));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Fails if the process has already exited.
            let _ = process.kill();
            let _ = process.wait();
        }
        if let Some(path) = std::env::var_os("REVIEW_PROCESSES") {
            // All have ended, so there is nothing left for the script to end.
            let _ = std::fs::write(path, "");
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Adds a process to the list by which the script ends those that an interrupted driver leaves.
fn record_process(id: u32) {
    let Some(path) = std::env::var_os("REVIEW_PROCESSES") else {
        return;
    };
    let list = std::fs::OpenOptions::new().append(true).open(path);
    let written = list
        .and_then(|mut list| std::io::Write::write_all(&mut list, format!("{id}\n").as_bytes()));
    written.expect("the list of processes can be written");
}

/// Sends a request on a new connection. Returns the status and the body; `None` without a complete response in time.
fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(StatusCode, String)> {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned().into()).ok()?;
    let response = smol::block_on(http::Client::new(address).exchange(request, timeout)).ok()?;
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Some((response.status(), text))
}

/// Polls a condition until it holds. Returns whether it does within the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

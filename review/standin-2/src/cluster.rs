//! A small deployment: the project's entries and agents as separate processes, beside stand-ins for the platform.

use crate::gang::Gangs;
use crate::http::{self, Server};
use crate::log::Log;
use crate::record::Record;
use crate::runner::{Facts, Runner};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Program that the deploy file names.
const PROGRAM: &str = "target/release/godwitstep-platform";
/// Time that a client waits for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Key of the clients.
pub const API_KEY: &str = "key-north";
const ZONES: [&str; 3] = ["zone-0", "zone-1", "zone-2"];

/// A process of the project with its settings.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options().create(true).append(true).open(self.settings.with_extension("log"))?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("GODWITSTEP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, which `kill` knows by this name.
    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status();
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The deployment. Dropping it ends all its processes.
pub struct Cluster {
    pub log: Log,
    pub runners: Vec<Runner>,
    pub fronts: Vec<SocketAddr>,
    pub gangs: Gangs,
    processes: Vec<Process>,
    record: Record,
    folder: PathBuf,
    _store: Server,
}

/// Returns a loopback address with a free port.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the limits of the small deployments in the project's settings.
fn bounds() -> Value {
    json!({"hold_ms": 6000, "stop_ms": 400, "gang_ms": 3000, "revoke_ms": 5000, "reclaim_ms": 2900,
        "grace_s": 6, "status_s": 120, "spread": 3, "checkpoint_s": 2})
}

impl Cluster {
    /// Starts entries and as many agents with a runner each. Three runners stand in a rack.
    pub fn start(record: &Record, entries: usize, runners: usize) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("godwitstep-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let log = Log::default();
        let store = free_address()?;
        let mut cluster = Self {
            log: log.clone(),
            runners: Vec::new(),
            fronts: Vec::new(),
            gangs: Gangs::default(),
            processes: Vec::new(),
            record: record.clone(),
            folder,
            _store: log.serve(store)?,
        };
        let mut seeds = Vec::new();
        for number in 0..entries {
            // All entries listen on one port, each on a loopback address of its own.
            let address = |port: u16| SocketAddr::from(([127, 0, 0, 10 + number as u8], port));
            if number == 0 {
                let free = free_address()?.port();
                seeds.push(SocketAddr::from(([127, 0, 0, 10], free)));
            }
            let port = seeds[0].port();
            if number > 0 {
                seeds.push(address(port));
            }
            let front = free_address()?;
            let settings = json!({
                "host": format!("edge-{number}"), "domain": ZONES[number % 3], "log": store, "agents": address(port),
                "callers": front, "ready": free_address()?, "sizes": {"record_bytes": 262_144, "append_bytes": 2_097_152},
                "bounds": bounds(),
            });
            cluster.fronts.push(front);
            cluster.spawn(&format!("edge-{number}"), "entry", &settings)?;
        }
        for number in 0..runners {
            let (admin, app) = (free_address()?, free_address()?);
            let zone = ZONES[number % 3].to_owned();
            let settings = json!({
                "host": format!("side-{number}"), "domain": zone, "log": store, "agents": SocketAddr::new(seeds[0].ip(), seeds[0].port()),
                "registrations": admin, "worker": app, "pool": "floor", "seeds": seeds, "bounds": bounds(),
            });
            cluster.spawn(&format!("side-{number}"), "agent", &settings)?;
            let rack = format!("r1-{}", number / 3 + 1);
            let facts = Facts { id: format!("i-{number}"), zone, rack, address: app, admin };
            cluster.runners.push(Runner::start(facts, record.clone(), cluster.gangs.clone())?);
        }
        Ok(cluster)
    }

    fn spawn(&mut self, name: &str, role: &'static str, settings: &Value) -> std::io::Result<()> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let mut process = Process { role, settings: path, child: None };
        process.start()?;
        self.processes.push(process);
        Ok(())
    }

    /// Writes a configuration with one queue.
    pub fn configure(&self, version: u64) {
        let config = json!({
            "version": version,
            "routes": [{"name": "seam", "host": "jobs.example", "path_prefix": "/seam/", "backend": "floor",
                "priority": 1, "attempts": 3, "slack_factor": 3.0, "target_latency_ms": 1000, "public": false}],
            "backends": [{"name": "floor", "admission_check": false}],
            "limits": {"max_body_bytes": 262_144},
            "tenants": [{"name": "north", "api_keys": [API_KEY], "guaranteed": {"gpus": 0}}],
        });
        self.log.write_operator_record("config", &config.to_string());
        self.record.write(&format!("operator: configuration {version} written"));
    }

    /// Sends a signal to the agent of a runner.
    pub fn signal_agent(&self, runner: usize, name: &str) {
        self.record.write(&format!("SIG{name} to the agent of i-{runner}"));
        self.processes[self.fronts.len() + runner].signal(name);
    }

    /// Returns a task that has two active runs.
    pub fn task_run_twice(&self) -> Option<String> {
        let mut tasks: Vec<(String, u64, &str)> = Vec::new();
        for runner in &self.runners {
            let active = runner.active().into_iter();
            tasks.extend(active.map(|(task, attempt)| (task, attempt, runner.facts.id.as_str())));
        }
        tasks.sort();
        let twice = tasks.windows(2).find(|pair| pair[0].0 == pair[1].0)?;
        let [one, other] = twice else { return None };
        Some(format!("{}: run {} on {} and run {} on {}", one.0, one.1, one.2, other.1, other.2))
    }

    /// Sends a request of a client to an entry and records it.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [("host", "jobs.example"), ("x-api-key", API_KEY), ("x-deadline-ms", "3000")];
        let answer = http::call(self.fronts[entry], method, path, &headers, body, CLIENT_TIMEOUT);
        let text = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {}", body.trim()));
        self.record.write(&format!("client: {method} {path} at entry {entry}: {text}"));
        answer
    }

    /// Hands a job in at one entry after the other until it is accepted.
    pub fn submit(&self, id: &str, body: &Value) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in (0..self.fronts.len()).cycle() {
            let answer = self.call(entry, "POST", &format!("/seam/{id}"), &body.to_string());
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the state of a job that an entry gives.
    pub fn state(&self, entry: usize, id: &str) -> Option<String> {
        let (_, body) = self.call(entry, "GET", &format!("/seam/{id}"), "")?;
        let body: Value = serde_json::from_str(&body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

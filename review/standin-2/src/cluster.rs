//! A small deployment: the project's entries and agents as separate processes, beside stand-ins for the platform.

use crate::gang::Gangs;
use crate::http;
use crate::log::Log;
use crate::record::Record;
use crate::runner::{Facts, Runner};
use crate::watchdog;
use serde_json::{Value, json};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Program that the deploy file names.
const PROGRAM: &str = "target/release/godwitstep-platform";
/// Time that a client waits for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Key of the clients of the tenant `north`.
pub const NORTH: &str = "key-north";
/// Key of the clients of the tenant `south`.
pub const SOUTH: &str = "key-south";
/// Number of the first entry's host.
const FIRST_ENTRY: u8 = 10;
const ZONES: [&str; 3] = ["zone-0", "zone-1", "zone-2"];

/// A process of the project with its settings.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("GODWITSTEP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()?;
        watchdog::add(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, which `kill` knows by this name.
    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {}", child.id()))
                .status();
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
}

/// Returns the folder for settings and logs.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("godwitstep-review-{}", std::process::id()))
}

/// Returns a loopback host of this process, so that cases that run at the same time don't take each other's ports.
fn host(number: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, high.max(1), low, number])
}

/// Returns an address on a host with a free port, below those of outgoing connections.
fn free_address(host: IpAddr) -> std::io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    loop {
        let address = SocketAddr::new(host, NEXT_PORT.fetch_add(1, Ordering::SeqCst));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() != ErrorKind::AddrInUse => return Err(error),
            Err(_) => {}
        }
    }
}

/// Returns the limits of the small deployments in the project's settings.
fn bounds() -> Value {
    json!({"hold_ms": 6000, "stop_ms": 400, "gang_ms": 3000, "revoke_ms": 5000, "reclaim_ms": 2900,
        "grace_s": 6, "status_s": 120, "spread": 3, "checkpoint_s": 2})
}

impl Cluster {
    /// Starts entries and as many agents with a runner each. Three runners stand in a rack.
    pub fn start(record: &Record, entries: usize, runners: usize) -> std::io::Result<Self> {
        let folder = folder();
        std::fs::create_dir_all(&folder)?;
        let log = Log::default();
        let store = free_address(host(1))?;
        let mut cluster = Self {
            log: log.clone(),
            runners: Vec::new(),
            fronts: Vec::new(),
            gangs: Gangs::default(),
            processes: Vec::new(),
            record: record.clone(),
            folder,
        };
        log.serve(store)?;
        // All entries listen on one port for agents, each on a host of its own.
        let port = free_address(host(FIRST_ENTRY))?.port();
        let internal = |number: usize| SocketAddr::new(host(FIRST_ENTRY + number as u8), port);
        let seeds: Vec<SocketAddr> = (0..entries).map(internal).collect();
        for number in 0..entries {
            let front = free_address(host(1))?;
            let settings = json!({
                "host": format!("edge-{number}"), "domain": ZONES[number % 3], "log": store, "agents": internal(number),
                "callers": front, "ready": free_address(host(1))?, "sizes": {"record_bytes": 262_144, "append_bytes": 2_097_152},
                "bounds": bounds(),
            });
            cluster.fronts.push(front);
            cluster.spawn(&format!("edge-{number}"), "entry", &settings)?;
        }
        for number in 0..runners {
            let (admin, app) = (free_address(host(1))?, free_address(host(1))?);
            let zone = ZONES[number % 3].to_owned();
            let settings = json!({
                "host": format!("side-{number}"), "domain": zone, "log": store, "agents": SocketAddr::new(host(1), port),
                "registrations": admin, "worker": app, "pool": "floor", "seeds": seeds, "bounds": bounds(),
            });
            cluster.spawn(&format!("side-{number}"), "agent", &settings)?;
            let rack = format!("r1-{}", number / 3 + 1);
            let facts = Facts {
                id: format!("i-{number}"),
                zone,
                rack,
                address: app,
                admin,
            };
            cluster
                .runners
                .push(Runner::start(facts, record.clone(), cluster.gangs.clone())?);
        }
        Ok(cluster)
    }

    fn spawn(&mut self, name: &str, role: &'static str, settings: &Value) -> std::io::Result<()> {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let mut process = Process {
            role,
            settings: path,
            child: None,
        };
        process.start()?;
        self.processes.push(process);
        Ok(())
    }

    /// Writes a configuration with two queues of one service and two tenants.
    pub fn configure(&self, version: u64) {
        let route = |name: &str| {
            json!({"name": name, "host": "jobs.example", "path_prefix": format!("/{name}/"), "backend": "floor",
                "priority": 1, "attempts": 3, "slack_factor": 3.0, "target_latency_ms": 1000, "public": false})
        };
        let tenant = |name: &str, key: &str| json!({"name": name, "api_keys": [key], "guaranteed": {"gpus": 0}});
        let config = json!({
            "version": version,
            "routes": [route("seam"), route("fade")],
            "backends": [{"name": "floor", "admission_check": false}],
            "limits": {"max_body_bytes": 262_144},
            "tenants": [tenant("north", NORTH), tenant("south", SOUTH)],
        });
        self.log
            .write_operator_record("config", &config.to_string());
        self.record
            .write(&format!("operator: configuration {version} written"));
    }

    /// Sends a signal to the agent of a runner.
    pub fn signal_agent(&self, runner: usize, name: &str) {
        self.record
            .write(&format!("SIG{name} to the agent of i-{runner}"));
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
        Some(format!(
            "{}: run {} on {} and run {} on {}",
            one.0, one.1, one.2, other.1, other.2
        ))
    }

    /// Sends a request of a client of `north` to an entry and records it.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        self.call_as(NORTH, entry, method, path, body)
    }

    /// Sends a request of a client with a key to an entry and records it.
    pub fn call_as(
        &self,
        key: &str,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers = [
            ("host", "jobs.example"),
            ("x-api-key", key),
            ("x-deadline-ms", "3000"),
        ];
        let answer = http::call(
            self.fronts[entry],
            method,
            path,
            &headers,
            body,
            CLIENT_TIMEOUT,
        );
        let text = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {}", body.trim())
            });
        self.record.write(&format!(
            "client with {key}: {method} {path} at entry {entry}: {text}"
        ));
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

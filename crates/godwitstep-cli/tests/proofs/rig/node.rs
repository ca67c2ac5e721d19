//! The entries and agents of a cluster, with their stand-ins and proxies.

use super::{Process, WAIT_TIMEOUT, operator_api, unix_time_us, wait_until};
use godwitstep_standin::proxy::{self, Control, Proxy};
use godwitstep_standin::{target, worker};
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A process with its settings and its log file, whether entry or agent.
pub struct Node {
    pub name: String,
    pub process: Process,
    role: &'static str,
    settings_path: PathBuf,
    log_path: PathBuf,
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(role: &'static str, name: &str, settings: &Value, directory: &Path) -> Self {
        let path = directory.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the directory is writable");
        let log_path = directory.join(format!("{name}.log"));
        Self {
            name: name.to_owned(),
            process: start_process(role, name, &path, &log_path),
            role,
            settings_path: path,
            log_path,
        }
    }

    /// Starts the process again, with the same settings, after it has ended.
    pub fn restart(&mut self) {
        assert!(
            !self.process.is_running(),
            "{} is already running",
            self.name
        );
        self.process = start_process(self.role, &self.name, &self.settings_path, &self.log_path);
    }
}

fn start_process(role: &str, name: &str, settings_path: &Path, log_path: &Path) -> Process {
    let settings = settings_path.to_str().expect("paths of tests are UTF-8");
    Process::start(name, &[role, "--settings", settings], log_path)
}

/// An entry with the proxies on its connections.
pub struct Entry {
    pub node: Node,
    /// Address for callers, without a proxy.
    pub caller_address: SocketAddr,
    /// Proxy between callers and this entry.
    pub caller_proxy: proxy::Handle,
    /// Address for operators, without a proxy.
    pub operator_address: SocketAddr,
    /// Proxy to the log.
    pub log_proxy: proxy::Handle,
    /// Proxies to the other entries, ordered by their index.
    pub peer_proxies: Vec<proxy::Handle>,
}

impl Entry {
    /// Returns the entry's status document; `Null` while it does not respond.
    pub fn status(&self) -> Value {
        operator_api::get(self.operator_address, "/v1/status")
    }

    /// Whether the entry's readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        operator_api::operator_request(self.operator_address, Method::GET, "/readyz", None, None).0
            == 200
    }
}

/// An agent with its target, its worker and the proxies on its connections.
pub struct Agent {
    pub node: Node,
    /// `None` while the target is killed.
    pub target: Option<target::Handle>,
    /// `None` once the worker is killed.
    pub worker: Option<worker::Handle>,
    /// Proxy to the target.
    pub target_proxy: proxy::Handle,
    /// Proxy to the worker.
    pub _worker_proxy: proxy::Handle,
    /// Proxies to the entries, ordered by their index.
    pub entry_proxies: Vec<proxy::Handle>,
    /// Ledgers of killed targets.
    pub past_runs: Vec<target::Entry>,
    /// Ledgers of killed workers.
    pub past_tasks: Vec<worker::TaskRecord>,
}

impl Agent {
    /// Returns every request run that its targets have started.
    pub fn runs(&self) -> Vec<target::Entry> {
        let current = self.target.as_ref().map(target::Handle::ledger);
        let mut runs = self.past_runs.clone();
        runs.extend(current.unwrap_or_default());
        runs
    }

    /// Returns every task that its workers have started.
    pub fn tasks(&self) -> Vec<worker::TaskRecord> {
        let current = self.worker.as_ref().map(worker::Handle::ledger);
        let mut tasks = self.past_tasks.clone();
        tasks.extend(current.unwrap_or_default());
        tasks
    }

    /// Kills the target with all requests that it runs, and keeps its ledger.
    pub fn kill_target(&mut self) {
        let target = self.target.take().expect("a target");
        self.past_runs.extend(target.stop());
    }

    /// Starts a new target in place of a killed one.
    pub fn restart_target(&mut self, settings: target::Settings) {
        // The port may meanwhile serve as the local port of another process's connection.
        let mut started = None;
        wait_until("the address is free", WAIT_TIMEOUT, || {
            started = target::Server::start(settings).ok();
            started.is_some()
        });
        self.target = started;
    }

    /// Kills the worker with all tasks that it runs, and keeps its ledger.
    pub fn kill_worker(&mut self) {
        let worker = self.worker.take().expect("a worker");
        let mut tasks = worker.stop();
        for task in &mut tasks {
            // Running tasks end with their worker.
            task.ended.get_or_insert_with(unix_time_us);
        }
        self.past_tasks.extend(tasks);
    }
}

/// Starts a fault-injecting proxy to an address.
pub fn start_proxy(upstream: SocketAddr) -> proxy::Handle {
    Proxy::start(proxy::Settings::new(upstream)).expect("a port is free")
}

/// Cuts a proxy: open connections are reset and new ones refused.
pub fn cut(proxy: &proxy::Handle) {
    proxy.control(&Control {
        cut: Some(true),
        ..Control::default()
    });
}

/// Ends all faults of a proxy.
pub fn heal(proxy: &proxy::Handle) {
    proxy.control(&Control::heal());
}

/// Stops forwarding on the open connections of a proxy for good without closing them; new
/// connections work.
pub fn silence(proxy: &proxy::Handle) {
    proxy.control(&Control {
        silence: true,
        ..Control::default()
    });
}

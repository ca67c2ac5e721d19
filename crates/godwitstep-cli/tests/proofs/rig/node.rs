//! An entry or an agent with all that stands beside it.

use super::{PATIENCE, Process, operator, wait_until, wall_us};
use godwitstep_standin::proxy::{self, Control, Proxy};
use godwitstep_standin::{target, worker};
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What both kinds of process have in common.
pub struct Node {
    pub name: String,
    pub process: Process,
    role: &'static str,
    settings: PathBuf,
    messages: PathBuf,
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(role: &'static str, name: &str, settings: &Value, directory: &Path) -> Self {
        let path = directory.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the directory takes files");
        let messages = directory.join(format!("{name}.log"));
        Self {
            name: name.to_owned(),
            process: run(role, name, &path, &messages),
            role,
            settings: path,
            messages,
        }
    }

    /// Starts the process again, with the same settings, after it has ended.
    pub fn restart(&mut self) {
        assert!(!self.process.runs(), "{} runs already", self.name);
        self.process = run(self.role, &self.name, &self.settings, &self.messages);
    }
}

fn run(role: &str, name: &str, settings: &Path, messages: &Path) -> Process {
    let settings = settings.to_str().expect("paths of tests are text");
    Process::start(name, &[role, "--settings", settings], messages)
}

/// An entry.
pub struct Entry {
    pub node: Node,
    /// Where callers reach it directly.
    pub callers: SocketAddr,
    /// Its way from callers.
    pub front: proxy::Handle,
    pub operators: SocketAddr,
    /// Its way to the log.
    pub log: proxy::Handle,
    /// Its ways to the other entries.
    pub peers: Vec<proxy::Handle>,
}

impl Entry {
    /// Returns what the entry tells about itself; `Null` while it does not answer.
    pub fn status(&self) -> Value {
        operator::get(self.operators, "/v1/status")
    }

    /// Whether the entry says that it is ready.
    pub fn ready(&self) -> bool {
        operator::call(self.operators, Method::GET, "/readyz", None, None).0 == 200
    }
}

/// An agent with its target and its worker.
pub struct Agent {
    pub node: Node,
    pub target: Option<target::Handle>,
    pub worker: Option<worker::Handle>,
    /// Its way to the target.
    pub target_link: proxy::Handle,
    /// Its way to the worker.
    pub _worker_link: proxy::Handle,
    /// Its ways to the entries.
    pub entries: Vec<proxy::Handle>,
    /// Ledgers of targets that were killed.
    pub past_runs: Vec<target::Entry>,
    /// Ledgers of workers that were killed.
    pub past_tasks: Vec<worker::Entry>,
}

impl Agent {
    /// Returns all that its targets ever started.
    pub fn runs(&self) -> Vec<target::Entry> {
        let current = self.target.as_ref().map(target::Handle::ledger);
        let mut all = self.past_runs.clone();
        all.extend(current.unwrap_or_default());
        all
    }

    /// Returns all that its workers ever started.
    pub fn tasks(&self) -> Vec<worker::Entry> {
        let current = self.worker.as_ref().map(worker::Handle::ledger);
        let mut all = self.past_tasks.clone();
        all.extend(current.unwrap_or_default());
        all
    }

    /// Ends the target at once, with all that it runs.
    pub fn kill_target(&mut self) {
        let target = self.target.take().expect("a target");
        self.past_runs.extend(target.stop());
    }

    /// Starts a new target in the place of one that was killed.
    pub fn restart_target(&mut self, settings: target::Settings) {
        // Another process's outgoing connection may have been given the port meanwhile.
        let mut started = None;
        wait_until("the address is free", PATIENCE, || {
            started = target::Server::start(settings).ok();
            started.is_some()
        });
        self.target = started;
    }

    /// Ends the worker at once, with all that it runs.
    pub fn kill_worker(&mut self) {
        let worker = self.worker.take().expect("a worker");
        let mut tasks = worker.stop();
        for task in &mut tasks {
            // What ran has ended with its worker.
            task.ended.get_or_insert_with(wall_us);
        }
        self.past_tasks.extend(tasks);
    }
}

/// Starts a proxy to an address.
pub fn way(upstream: SocketAddr) -> proxy::Handle {
    Proxy::start(proxy::Settings::new(upstream)).expect("a port is free")
}

/// Cuts a way: open connections are reset and new ones refused.
pub fn cut(way: &proxy::Handle) {
    way.control(&Control {
        cut: Some(true),
        ..Control::default()
    });
}

/// Ends all faults of a way.
pub fn heal(way: &proxy::Handle) {
    way.control(&Control::heal());
}

/// Makes the open connections of a way silent for good, while new ones work.
pub fn silence(way: &proxy::Handle) {
    way.control(&Control {
        silence: true,
        ..Control::default()
    });
}

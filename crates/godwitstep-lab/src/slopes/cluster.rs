//! Entries and agents as processes of the `godwitstep` executable, killed when the cluster is
//! dropped.

use godwitstep_standin::{log, target, worker};
use serde_json::{Value, json};
use std::error::Error;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const LINK_KEY: &str = "a key for measurements";
/// Longest time until all links are up.
const LINK_TIMEOUT: Duration = Duration::from_secs(30);

/// Entries and agents of one region, and the stand-ins for the log, the target and the worker.
pub(super) struct Cluster {
    entries: Vec<Child>,
    agents: Vec<Child>,
    /// Folder with the settings files of the processes.
    folder: PathBuf,
    log: log::Handle,
    target: target::Handle,
    worker: worker::Handle,
}

impl Cluster {
    /// Starts the processes and waits until all agents are linked to every entry. All agents have
    /// the same target; the first one also has a worker.
    pub(super) fn start(bin: &str, entries: usize, agents: usize) -> Result<Self, Box<dyn Error>> {
        let log = log::Server::start(log::Settings::default())?;
        let target = target::Server::start(target::Settings::default())?;
        let worker = worker::Server::start(worker::Settings::default())?;
        let folder = std::env::temp_dir().join(format!("godwitstep-slopes-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let links = free_addresses(entries)?;
        let callers = free_addresses(entries)?;
        let operators = free_addresses(entries)?;
        let mut cluster = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            folder,
            log,
            target,
            worker,
        };
        for index in 0..entries {
            let settings = json!({
                "name": format!("entry-{index}"), "region": "dk-vest", "domain": "dk-vest-a",
                "callers": callers[index], "operators": operators[index],
                "links": links[index], "peers": links, "log": cluster.log.address,
                "link_key": LINK_KEY, "log_level": "error",
            });
            let child = cluster.spawn(bin, "entry", index, &settings)?;
            cluster.entries.push(child);
        }
        for index in 0..agents {
            let target = json!({
                "service": "bookingsted", "slots": 8, "address": cluster.target.address,
            });
            let mut settings = json!({
                "name": format!("runner-{index}"), "region": "dk-vest", "domain": "dk-vest-a",
                "rack": "r1", "entries": links, "link_key": LINK_KEY, "log_level": "error",
                "target": target,
            });
            if index == 0 {
                let address = cluster.worker.address;
                settings["worker"] = json!({ "address": address, "accelerators": 8 });
            }
            let child = cluster.spawn(bin, "agent", index, &settings)?;
            cluster.agents.push(child);
        }
        for operator in operators {
            wait_until_linked(operator, agents)?;
        }
        Ok(cluster)
    }

    /// Returns the process id of the first entry.
    pub(super) fn entry_pid(&self) -> u32 {
        self.entries[0].id()
    }

    /// Returns the process id of the first agent.
    pub(super) fn agent_pid(&self) -> u32 {
        self.agents[0].id()
    }

    /// Writes the settings file of a process and starts the process.
    fn spawn(
        &self,
        bin: &str,
        role: &str,
        index: usize,
        settings: &Value,
    ) -> Result<Child, Box<dyn Error>> {
        let file = self.folder.join(format!("{role}-{index}.json"));
        fs::write(&file, settings.to_string())?;
        let mut command = Command::new(bin);
        command.arg(role).arg("--settings").arg(&file);
        let command = command.stdin(Stdio::null()).stdout(Stdio::null());
        Ok(command.spawn()?)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.agents.iter_mut().chain(&mut self.entries) {
            // Killing fails only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns loopback addresses with distinct free ports. Nothing reserves the ports after the return.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Box<dyn Error>> {
    let listeners: Vec<_> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    Ok(addresses.collect::<Result<_, _>>()?)
}

/// Waits until an entry is ready and all agents are linked to it.
fn wait_until_linked(operator: SocketAddr, agents: usize) -> Result<(), Box<dyn Error>> {
    let deadline = Instant::now() + LINK_TIMEOUT;
    while Instant::now() < deadline {
        let status = status(operator).unwrap_or_default();
        if status["ready"] == true && status["agents"] == agents {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(format!(
        "timed out waiting for the entry at {operator} to be ready with {agents} linked agents"
    )
    .into())
}

/// Requests the status of an entry at its operators' address.
fn status(operator: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(operator).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request =
        format!("GET /v1/status HTTP/1.1\r\nhost: {operator}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}

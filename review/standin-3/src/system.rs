//! The system's own processes, with settings as the platform writes them from the templates of the deploy file.

use crate::http;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/godwitstep-platform";

/// Addresses of a deployment: loopback addresses that differ by machine, and ports that are the same on all.
pub struct Addresses {
    net: u8,
    port: u16,
}

impl Addresses {
    /// Finds a range of ports that is free on all machines.
    pub fn find(machines: &[u8]) -> Option<Self> {
        let seed = std::process::id();
        (0..200).find_map(|attempt| {
            let number = seed.wrapping_mul(7_919).wrapping_add(attempt * 104_729);
            let found = Self {
                net: 64 + (number % 128) as u8,
                port: 20_000 + (number / 128 % 600) as u16 * 16,
            };
            let mut addresses = machines.iter().flat_map(|machine| (0..16).map(|offset| found.at(*machine, offset)));
            addresses.all(|address| TcpListener::bind(address).is_ok()).then_some(found)
        })
    }

    pub fn at(&self, machine: u8, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net, 7, machine], self.port + offset))
    }
}

/// Offsets of the ports that the platform assigns.
pub const STORE: u16 = 0;
pub const AGENTS: u16 = 1;
pub const FRONT: u16 = 2;
pub const READY: u16 = 3;
pub const ADMIN: u16 = 4;
pub const APP: u16 = 5;
const LAST: u16 = 15;

/// Returns the settings that the platform has of a machine.
pub fn fields(addresses: &Addresses, machine: u8, name: &str, zone: &str, seeds: &[SocketAddr], store: SocketAddr) -> Value {
    let at = |offset: u16| addresses.at(machine, offset);
    let side = name.starts_with("side");
    let mut fields = json!({
        "node_name": name, "zone": zone, "ip": at(0).ip().to_string(),
        "port_range": [at(AGENTS).port(), at(LAST).port()],
        "seeds": seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "listen_addrs": { "front": at(FRONT).to_string(), "ready_addr": at(READY).to_string(), "admin": at(ADMIN).to_string() },
        "limits": { "memory_mb": if side { 128 } else { 260 }, "max_fds": if side { 4_096 } else { 4_100 } },
        "thresholds": {
            "max_hold_ms": 6_000, "stop_grace_ms": 400, "gang_timeout_ms": 3_000, "revoke_ms": 5_000,
            "reclaim_ms": 2_900, "grace_period_s": 6, "status_s": 120, "spread_factor": 3, "checkpoint_s": 2,
        },
        "platform": { "address": store.to_string(), "max_record_bytes": 262_144, "max_call_bytes": 2_097_152 },
    });
    if side {
        fields["app"] = json!(at(APP).to_string());
        fields["backend"] = json!(crate::cases::POOL);
    }
    fields
}

/// Fills the placeholders of a template.
fn render(template: &str, fields: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (placeholder, after) = after.split_once("}}").unwrap_or((after, ""));
        let (path, as_json) = match placeholder.split_once('|') {
            Some((path, _)) => (path, true),
            None => (placeholder, false),
        };
        let pointer = format!("/{}", path.trim().replace('.', "/"));
        let value = fields.pointer(&pointer).cloned().unwrap_or(Value::Null);
        text.push_str(before);
        match value {
            Value::String(plain) if !as_json => text.push_str(&plain),
            // The metrics address is that of a port of its own, which is not tested here.
            other => text.push_str(&other.to_string()),
        }
        rest = after;
    }
    text + rest
}

/// Processes of the system; they end when this is dropped.
pub struct System {
    folder: PathBuf,
    children: Vec<(String, Child)>,
    /// Listeners at the addresses of machines that are gone: connections to them are not answered.
    silent: Vec<TcpListener>,
}

impl System {
    pub fn new(folder: &Path) -> std::io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            children: Vec::new(),
            silent: Vec::new(),
        })
    }

    /// Starts a role on a machine, as the deploy file says.
    pub fn spawn(&mut self, role: &str, fields: &Value) -> std::io::Result<()> {
        let name = fields["node_name"].as_str().unwrap_or_default();
        let template = fs::read_to_string(format!("deploy/{role}.json"))?;
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, render(&template, fields))?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("GODWITSTEP_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Removes a machine for good: its process is killed, and its addresses do not answer any more.
    pub fn remove(&mut self, name: &str, addresses: &[SocketAddr]) {
        if let Some(index) = self.children.iter().position(|(known, _)| known == name) {
            let (_, mut child) = self.children.swap_remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
        let listeners = addresses.iter().filter_map(|address| TcpListener::bind(address).ok());
        self.silent.extend(listeners);
    }

    /// Returns whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until an entry says that it is ready.
pub fn wait_ready(address: SocketAddr, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        let answer = http::call(address, "GET", "/ready", &[("Host", "ready")], b"", Duration::from_millis(500));
        if answer.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

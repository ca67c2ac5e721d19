//! Settings of an agent.

use godwitstep_core::id::{Accelerators, DomainId, Name, RackId, RegionId, ServiceId};
use godwitstep_core::resource::{Fault, MAX_NAME};
use godwitstep_wire::auth::Key;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Greatest number of slots of a target.
const MAX_SLOTS: u32 = 4_096;
/// Greatest number of accelerators of a worker.
const MAX_ACCELERATORS: Accelerators = 1_024;
/// Longest planned stop. Unit: milliseconds.
const MAX_STOP_LIMIT_MS: u64 = 3_600_000;

/// A target beside the agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service that it serves.
    pub service: ServiceId,
    /// Requests that it serves at the same time. From 1 to 4,096.
    pub slots: u32,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

/// A worker beside the agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Accelerators that it has. From 1 to 1,024.
    pub accelerators: Accelerators,
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the agent, its target and its worker; unique in the deployment.
    pub name: Name,
    /// Region that it is in.
    pub region: RegionId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Rack that it is in.
    pub rack: RackId,
    /// Addresses at which the entries listen for links. At least one, each named once.
    pub entries: Vec<SocketAddr>,
    /// Key that all processes share.
    pub link_key: Key,
    /// The target, if there is one.
    #[serde(default)]
    pub target: Option<Target>,
    /// The worker, if there is one.
    #[serde(default)]
    pub worker: Option<Worker>,
    /// Longest planned stop. From 0 to 3,600,000. Unit: milliseconds.
    #[serde(default = "Settings::default_stop_limit_ms")]
    pub stop_limit_ms: u64,
}

impl Settings {
    const fn default_stop_limit_ms() -> u64 {
        30_000
    }

    /// Returns the longest planned stop.
    #[must_use]
    pub const fn stop_limit(&self) -> Duration {
        Duration::from_millis(self.stop_limit_ms)
    }

    /// Returns every value that is not allowed.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let names = [
            ("name", &self.name),
            ("region", &self.region),
            ("domain", &self.domain),
            ("rack", &self.rack),
        ];
        let mut faults: Vec<Fault> = names
            .into_iter()
            .filter_map(|(path, value)| name(path, value))
            .collect();
        if self.entries.is_empty() {
            faults.push(Fault::new("entries", "[]", "at least one address"));
        }
        for (index, entry) in self.entries.iter().enumerate() {
            if self.entries[..index].contains(entry) {
                let path = format!("entries[{index}]");
                faults.push(Fault::new(path, entry, "each address once"));
            }
        }
        if let Some(target) = &self.target {
            faults.extend(name("target.service", &target.service));
            faults.extend(range("target.slots", target.slots, MAX_SLOTS));
        }
        if let Some(worker) = &self.worker {
            let path = "worker.accelerators";
            faults.extend(range(path, worker.accelerators, MAX_ACCELERATORS));
        }
        if self.stop_limit_ms > MAX_STOP_LIMIT_MS {
            let allowed = format!("0 to {MAX_STOP_LIMIT_MS}");
            faults.push(Fault::new("stop_limit_ms", self.stop_limit_ms, allowed));
        }
        faults
    }
}

fn name(path: &str, value: &str) -> Option<Fault> {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let fits = !value.is_empty() && value.len() <= MAX_NAME && value.bytes().all(legal);
    let allowed = "1 to 128 letters, digits, '-', '_' or '.'";
    (!fits).then(|| Fault::new(path, format!("{value:?}"), allowed))
}

fn range(path: &str, value: u32, most: u32) -> Option<Fault> {
    let fits = (1..=most).contains(&value);
    (!fits).then(|| Fault::new(path, value, format!("1 to {most}")))
}

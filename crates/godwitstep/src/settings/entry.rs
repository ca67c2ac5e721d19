//! Settings of the entry daemon, and keys that entries and agents share.

use super::key::{Form, Key, Presence};
use super::{Secret, Settings};
use crate::http::budget::Resources;
use crate::telemetry::{Format, Level};
use godwitstep_core::id::{DomainId, EntryId, RegionId};
use godwitstep_core::resource::Fault;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of entries of a region.
const MAX_ENTRIES: usize = 64;
/// Maximum duration of a graceful shutdown. Unit: milliseconds.
const MAX_STOP_LIMIT_MS: u64 = 600_000;

/// Minimum memory: a process without jobs takes 10 MB. Unit: MB.
const MIN_MEMORY_MB: u64 = 16;
/// Minimum number of descriptors: listeners, links, the log, and 16 connections of each server.
const MIN_OPEN_FILES: u64 = 128;

pub(super) const NAME: Key = Key::required(
    "name",
    Form::Name,
    "Name of this process, unique among the entries or agents of the region.",
);
pub(super) const REGION: Key = Key::required("region", Form::Name, "Region that it works in.");
pub(super) const DOMAIN: Key =
    Key::required("domain", Form::Name, "Failure domain that its host is in.");
pub(super) const LINK_KEY: Key = Key::required(
    "link_key",
    Form::Secret {
        min_len: 16,
        max_len: 256,
    },
    "Secret that entries and agents share; a process that does not know it can't link.",
);
pub(super) const STOP_LIMIT: Key = Key::required(
    "stop_limit_ms",
    Form::Integer {
        min: 0,
        max: MAX_STOP_LIMIT_MS,
    },
    "Time for work in progress to end after a request to stop. Unit: milliseconds.",
)
.presence(Presence::Integer(30_000));
pub(super) const LOG_FORMAT: Key = Key::required(
    "log_format",
    Form::Choice(&["human", "json"]),
    "Form of the diagnostic messages on the standard error stream.",
)
.presence(Presence::Choice("human"));
pub(super) const LOG_LEVEL: Key = Key::required(
    "log_level",
    Form::Choice(&["error", "warn", "info", "debug", "trace"]),
    "Least severity of the diagnostic messages that are written.",
)
.presence(Presence::Choice("info"));
pub(super) const ENTRY_ADDRESSES: Form = Form::Addresses {
    max_len: MAX_ENTRIES,
};

/// Settings of an entry, the daemon that serves callers and operators of a region.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry, unique in the region.
    pub name: EntryId,
    /// Region that the entry belongs to.
    pub region: RegionId,
    /// Failure domain of its host.
    pub domain: DomainId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for agents and other entries.
    pub links: SocketAddr,
    /// Link addresses of all entries of the region, including its own. Not empty, without duplicates.
    pub peers: Vec<SocketAddr>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Shared secret that authenticates links between entries and agents.
    pub link_key: Secret,
    /// Grace period for requests in progress during shutdown.
    #[serde(rename = "stop_limit_ms", deserialize_with = "milliseconds")]
    pub stop_limit: Duration,
    /// Minimum number of records that the log service retains per stream.
    pub retention_records: u64,
    /// Memory of the process and the kernel buffers of its connections. If unset, the memory that the process sees.
    /// Unit: MB (2^20 bytes).
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Maximum number of open descriptors. If unset, the limit that the process sees.
    #[serde(default)]
    pub open_files: Option<usize>,
    /// Output format of log messages.
    pub log_format: Format,
    /// Minimum severity of log messages.
    pub log_level: Level,
}

impl Entry {
    /// Returns the resources of the process.
    #[must_use]
    pub fn resources(&self) -> Resources {
        let memory = self.memory_mb.map(|megabytes| megabytes << 20);
        Resources::detect(memory, self.open_files)
    }
}

impl Settings for Entry {
    const KEYS: &'static [Key] = &[
        NAME,
        REGION,
        DOMAIN,
        Key::required("callers", Form::Address, "Where it listens for callers."),
        Key::required(
            "operators",
            Form::Address,
            "Where it listens for operators.",
        ),
        Key::required(
            "links",
            Form::Address,
            "Where it listens for agents and for other entries.",
        ),
        Key::required(
            "peers",
            ENTRY_ADDRESSES,
            "Link addresses of all entries of the region, this one included.",
        ),
        Key::required("log", Form::Address, "Address of the log service."),
        LINK_KEY,
        STOP_LIMIT,
        Key::required(
            "retention_records",
            Form::Integer {
                min: 100,
                max: 1_000_000_000,
            },
            "Records that a stream of the log is sure to keep. The region's decider writes a \
             snapshot after each quarter of it.",
        )
        .presence(Presence::Integer(100_000)),
        Key::required(
            "memory_mb",
            Form::Integer {
                min: MIN_MEMORY_MB,
                max: 1_000_000_000,
            },
            "Memory that the process may take, in MB. A third of it is for callers' requests. If left \
             out, the memory of the machine or of its control group.",
        )
        .presence(Presence::Optional),
        Key::required(
            "open_files",
            Form::Integer {
                min: MIN_OPEN_FILES,
                max: 1_000_000_000,
            },
            "Descriptors that the process may open. Half of them are for callers' connections. If \
             left out, its limit of open files.",
        )
        .presence(Presence::Optional),
        LOG_FORMAT,
        LOG_LEVEL,
    ];

    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let listeners = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("links", self.links),
        ];
        for (index, (path, address)) in listeners.iter().enumerate() {
            let duplicate = listeners[..index]
                .iter()
                .find(|(_, other)| conflicts(*address, *other));
            if let Some((other, _)) = duplicate {
                let allowed = format!("an address that differs from \"{other}\"");
                faults.push(Fault::new(*path, address, allowed));
            }
        }
        if !self.peers.iter().any(|peer| conflicts(self.links, *peer)) && self.links.port() != 0 {
            let allowed = format!("a list with this entry's own address {}", self.links);
            faults.push(Fault::new("peers", format!("{:?}", self.peers), allowed));
        }
        faults
    }
}

/// Reports whether two listeners can't bind both addresses. Port 0 means any free port.
fn conflicts(one: SocketAddr, other: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && (any || one.ip() == other.ip())
}

/// Deserializes a duration from a whole number of milliseconds.
pub(super) fn milliseconds<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    u64::deserialize(input).map(Duration::from_millis)
}

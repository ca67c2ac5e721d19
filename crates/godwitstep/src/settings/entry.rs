//! Settings of an entry.

use super::key::{Form, Key, Presence};
use super::{Secret, Settings};
use crate::telemetry::{Format, Level};
use godwitstep_core::id::{DomainId, EntryId, RegionId};
use godwitstep_core::resource::Fault;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::time::Duration;

/// Greatest number of entries of a region.
const MAX_ENTRIES: usize = 64;
/// Longest graceful shutdown. Unit: milliseconds.
const MAX_STOP_LIMIT: u64 = 600_000;

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
        least: 16,
        most: 256,
    },
    "Secret that entries and agents share; a process that does not know it can't link.",
);
pub(super) const STOP_LIMIT: Key = Key::required(
    "stop_limit_ms",
    Form::Integer {
        low: 0,
        high: MAX_STOP_LIMIT,
    },
    "Time for work in progress to end after a request to stop. Unit: milliseconds.",
)
.presence(Presence::Integer(30_000));
pub(super) const LOG_FORMAT: Key = Key::required(
    "log_format",
    Form::Word(&["human", "json"]),
    "Form of the diagnostic messages on the standard error stream.",
)
.presence(Presence::Word("human"));
pub(super) const LOG_LEVEL: Key = Key::required(
    "log_level",
    Form::Word(&["error", "warn", "info", "debug", "trace"]),
    "Least severity of the diagnostic messages that are written.",
)
.presence(Presence::Word("info"));
pub(super) const ENTRIES: Form = Form::Addresses { most: MAX_ENTRIES };

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the entry.
    pub name: EntryId,
    /// Region that it works in.
    pub region: RegionId,
    /// Failure domain that its host is in.
    pub domain: DomainId,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// Where it listens for agents and other entries.
    pub links: SocketAddr,
    /// Link addresses of all entries of the region, itself included. Not empty, each once.
    pub peers: Vec<SocketAddr>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Secret that entries and agents share.
    pub link_key: Secret,
    /// Time for requests in progress to end after a request to stop.
    #[serde(rename = "stop_limit_ms", deserialize_with = "milliseconds")]
    pub stop_limit: Duration,
    /// Records that a stream of the log is sure to keep.
    pub retention_records: u64,
    /// Form of the diagnostic messages.
    pub log_format: Format,
    /// Least severity of the diagnostic messages.
    pub log_level: Level,
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
            ENTRIES,
            "Link addresses of all entries of the region, this one included.",
        ),
        Key::required("log", Form::Address, "Address of the log service."),
        LINK_KEY,
        STOP_LIMIT,
        Key::required(
            "retention_records",
            Form::Integer {
                low: 100,
                high: 1_000_000_000,
            },
            "Records that a stream of the log is sure to keep. The region's decider writes a \
             snapshot after each quarter of it.",
        )
        .presence(Presence::Integer(100_000)),
        LOG_FORMAT,
        LOG_LEVEL,
    ];

    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let listens = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("links", self.links),
        ];
        for (index, (path, address)) in listens.iter().enumerate() {
            let taken = listens[..index]
                .iter()
                .find(|(_, other)| clash(*address, *other));
            if let Some((other, _)) = taken {
                let allowed = format!("an address that differs from \"{other}\"");
                faults.push(Fault::new(*path, address, allowed));
            }
        }
        if !self.peers.iter().any(|peer| clash(self.links, *peer)) && self.links.port() != 0 {
            let allowed = format!("a list with this entry's own address {}", self.links);
            faults.push(Fault::new("peers", format!("{:?}", self.peers), allowed));
        }
        faults
    }
}

/// Reports whether one socket can't listen at both addresses. Port 0 stands for any free port.
fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && (any || one.ip() == other.ip())
}

/// Reads a whole number of milliseconds.
pub(super) fn milliseconds<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    u64::deserialize(input).map(Duration::from_millis)
}

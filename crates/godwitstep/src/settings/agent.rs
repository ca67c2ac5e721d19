//! Settings of the agent daemon.

use super::entry::{
    DOMAIN, ENTRY_ADDRESSES, LINK_KEY, LOG_FORMAT, LOG_LEVEL, NAME, REGION, STOP_LIMIT,
    milliseconds,
};
use super::key::{Form, Key, Presence};
use super::{Secret, Settings};
use crate::telemetry::{Format, Level};
use godwitstep_core::id::{Accelerators, DomainId, Name, RackId, RegionId, ServiceId};
use godwitstep_core::resource::Fault;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an agent, the daemon that connects a target, a worker or both to the entries.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the agent, and of its target and worker.
    pub name: Name,
    /// Region that the agent belongs to.
    pub region: RegionId,
    /// Failure domain of its host.
    pub domain: DomainId,
    /// Rack of its host.
    pub rack: RackId,
    /// Link addresses of all entries of the region. Not empty, without duplicates.
    pub entries: Vec<SocketAddr>,
    /// Shared secret that authenticates links between entries and agents.
    pub link_key: Secret,
    /// Target on the same host. An agent has a target, a worker or both.
    #[serde(default)]
    pub target: Option<Target>,
    /// Worker on the same host.
    #[serde(default)]
    pub worker: Option<Worker>,
    /// Grace period for requests in progress during shutdown.
    #[serde(rename = "stop_limit_ms", deserialize_with = "milliseconds")]
    pub stop_limit: Duration,
    /// Output format of log messages.
    pub log_format: Format,
    /// Minimum severity of log messages.
    pub log_level: Level,
}

/// Target that an agent connects to the entries.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service whose requests the target handles.
    pub service: ServiceId,
    /// Maximum concurrent requests. At least 1.
    pub slots: u32,
    /// HTTP address of the target.
    pub address: SocketAddr,
}

/// Worker that an agent connects to the entries.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// HTTP address of the worker.
    pub address: SocketAddr,
    /// Number of accelerators of the worker. At least 1.
    pub accelerators: Accelerators,
}

const TARGET_KEYS: &[Key] = &[
    Key::required("service", Form::Name, "Service that the target serves."),
    Key::required(
        "slots",
        Form::Integer { min: 1, max: 4_096 },
        "Requests that the target runs at the same time.",
    )
    .presence(Presence::Integer(8)),
    Key::required("address", Form::Address, "HTTP address of the target."),
];

const WORKER_KEYS: &[Key] = &[
    Key::required("address", Form::Address, "HTTP address of the worker."),
    Key::required(
        "accelerators",
        Form::Integer { min: 1, max: 1_024 },
        "Accelerators that the worker has.",
    ),
];

impl Settings for Agent {
    const KEYS: &'static [Key] = &[
        NAME,
        REGION,
        DOMAIN,
        Key::required(
            "rack",
            Form::Name,
            "Rack that its host is in, unique in the failure domain.",
        ),
        Key::required(
            "entries",
            ENTRY_ADDRESSES,
            "Link addresses of all entries of the region.",
        ),
        LINK_KEY,
        Key::required(
            "target",
            Form::Group(TARGET_KEYS),
            "The target beside the agent.",
        )
        .presence(Presence::Optional),
        Key::required(
            "worker",
            Form::Group(WORKER_KEYS),
            "The worker beside the agent.",
        )
        .presence(Presence::Optional),
        STOP_LIMIT,
        LOG_FORMAT,
        LOG_LEVEL,
    ];

    fn faults(&self) -> Vec<Fault> {
        let has_neither = self.target.is_none() && self.worker.is_none();
        let fault = Fault::new("target", "a missing value", "a target, a worker or both");
        has_neither.then_some(fault).into_iter().collect()
    }
}

//! Settings of an agent.

use super::entry::{
    DOMAIN, ENTRIES, LINK_KEY, LOG_FORMAT, LOG_LEVEL, NAME, REGION, STOP_LIMIT, milliseconds,
};
use super::key::{Form, Key, Presence};
use super::{Secret, Settings};
use crate::telemetry::{Format, Level};
use godwitstep_core::id::{Accelerators, DomainId, Name, RackId, RegionId, ServiceId};
use godwitstep_core::resource::Fault;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name of the agent, and of its target and worker.
    pub name: Name,
    /// Region that it works in.
    pub region: RegionId,
    /// Failure domain that its host is in.
    pub domain: DomainId,
    /// Rack that its host is in.
    pub rack: RackId,
    /// Link addresses of all entries of the region. Not empty, each once.
    pub entries: Vec<SocketAddr>,
    /// Secret that entries and agents share.
    pub link_key: Secret,
    /// The target beside it. An agent has a target, a worker or both.
    #[serde(default)]
    pub target: Option<Target>,
    /// The worker beside it.
    #[serde(default)]
    pub worker: Option<Worker>,
    /// Time for requests in progress to end after a request to stop.
    #[serde(rename = "stop_limit_ms", deserialize_with = "milliseconds")]
    pub stop_limit: Duration,
    /// Form of the diagnostic messages.
    pub log_format: Format,
    /// Least severity of the diagnostic messages.
    pub log_level: Level,
}

/// A target beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service that it serves.
    pub service: ServiceId,
    /// Requests that it runs at the same time. At least 1.
    pub slots: u32,
    /// Its HTTP address.
    pub address: SocketAddr,
}

/// A worker beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Accelerators that it has. At least 1.
    pub accelerators: Accelerators,
}

const TARGET: &[Key] = &[
    Key::required("service", Form::Name, "Service that the target serves."),
    Key::required(
        "slots",
        Form::Integer {
            low: 1,
            high: 4_096,
        },
        "Requests that the target runs at the same time.",
    )
    .presence(Presence::Integer(8)),
    Key::required("address", Form::Address, "HTTP address of the target."),
];

const WORKER: &[Key] = &[
    Key::required("address", Form::Address, "HTTP address of the worker."),
    Key::required(
        "accelerators",
        Form::Integer {
            low: 1,
            high: 1_024,
        },
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
            ENTRIES,
            "Link addresses of all entries of the region.",
        ),
        LINK_KEY,
        Key::required(
            "target",
            Form::Group(TARGET),
            "The target beside the agent.",
        )
        .presence(Presence::Optional),
        Key::required(
            "worker",
            Form::Group(WORKER),
            "The worker beside the agent.",
        )
        .presence(Presence::Optional),
        STOP_LIMIT,
        LOG_FORMAT,
        LOG_LEVEL,
    ];

    fn faults(&self) -> Vec<Fault> {
        let idle = self.target.is_none() && self.worker.is_none();
        let fault = Fault::new("target", "a missing value", "a target, a worker or both");
        idle.then_some(fault).into_iter().collect()
    }
}

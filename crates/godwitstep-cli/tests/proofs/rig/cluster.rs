//! A cluster under test: log, entries, agents, targets and workers.

use super::caller::{RequestSpec, send_request};
use super::node::{Agent, Entry, Node, cut, start_proxy};
use super::{WAIT_TIMEOUT, godwitstep, permit, wait_until};
use godwitstep_standin::{log, target, worker};
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeFrom;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

const REGION: &str = "pilbara-coast";
const LINK_KEY: &str = "link key of the proofs";
/// Failure domains of the region.
pub const DOMAINS: [&str; 3] = ["karratha-shed", "dampier-depot", "roebourne-annex"];

/// Size and limits of a cluster. Entries and agents are spread over the three failure domains.
#[derive(Debug, Clone, Copy)]
pub struct ClusterConfig {
    pub entries: usize,
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Accelerators of each worker.
    pub accelerators: u32,
    /// Time limit of a graceful shutdown.
    pub stop_limit_ms: u64,
    /// Whether no other cluster runs at the same time, for tests that compare rates.
    pub exclusive: bool,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            entries: 3,
            agents: 3,
            slots: 8,
            accelerators: 8,
            stop_limit_ms: 20_000,
            exclusive: false,
        }
    }
}

/// A running cluster. Dropping it kills its processes and stops its stand-ins and proxies.
pub struct Cluster {
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub log: log::Handle,
    pub config: ClusterConfig,
    directory: PathBuf,
    _permit: permit::Permit,
}

/// Allocates listen addresses that stay valid across restarts, because nothing else on this machine
/// uses them: each cluster has a loopback address of its own, and no port is allocated twice.
struct Addresses {
    ip: IpAddr,
    ports: RangeFrom<u16>,
}

impl Addresses {
    fn for_cluster(number: u32) -> Self {
        let value = (std::process::id() & 0x1_ffff) << 6 | (number % 62 + 1);
        let [_, high, middle, low] = value.to_be_bytes();
        let ip = Ipv4Addr::new(127, high | 0x80, middle, low).into();
        let ports = 20_000..;
        Self { ip, ports }
    }

    fn next(&mut self) -> SocketAddr {
        let port = self.ports.next().expect("a cluster has few ports");
        (self.ip, port).into()
    }
}

impl Cluster {
    /// Starts a cluster and waits until every entry is ready and linked to every agent.
    pub fn start(config: ClusterConfig) -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let permit = if config.exclusive {
            permit::acquire_exclusive()
        } else {
            permit::acquire()
        };
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let mut addresses = Addresses::for_cluster(number);
        let name = format!("proofs-{}-{number}", std::process::id());
        let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("the target directory is writable");
        let log = log::Server::start(log::Settings::default()).expect("a port is free");
        let links: Vec<_> = (0..config.entries).map(|_| addresses.next()).collect();
        let mut cluster = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            log,
            config,
            directory,
            _permit: permit,
        };
        for index in 0..config.entries {
            let entry = cluster.start_entry(&mut addresses, index, &links);
            cluster.entries.push(entry);
        }
        for index in 0..config.agents {
            let agent = cluster.start_agent(&mut addresses, index, &links);
            cluster.agents.push(agent);
        }
        cluster.wait_until_ready();
        cluster
    }

    /// Starts a cluster, declares its domains and its workspace, and waits until every entry routes
    /// requests to every target.
    pub fn start_serving(config: ClusterConfig) -> Self {
        let cluster = Self::start(config);
        cluster.apply(&Self::resources(&json!([])));
        cluster.warm_up();
        cluster
    }

    fn start_entry(&self, addresses: &mut Addresses, index: usize, links: &[SocketAddr]) -> Entry {
        let name = format!("entry-{index}");
        let (caller_address, operator_address) = (addresses.next(), addresses.next());
        let log_proxy = start_proxy(self.log.address);
        let others = links
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let peer_proxies: Vec<_> = others.map(|(_, address)| start_proxy(*address)).collect();
        let mut peers = vec![links[index]];
        peers.extend(peer_proxies.iter().map(|proxy| proxy.address));
        let settings = json!({
            "name": name, "region": REGION, "domain": DOMAINS[index % 3],
            "callers": caller_address, "operators": operator_address, "links": links[index],
            "peers": peers, "log": log_proxy.address, "link_key": LINK_KEY,
            "stop_limit_ms": self.config.stop_limit_ms,
        });
        Entry {
            node: Node::start("entry", &name, &settings, &self.directory),
            caller_address,
            caller_proxy: start_proxy(caller_address),
            operator_address,
            log_proxy,
            peer_proxies,
        }
    }

    fn start_agent(&self, addresses: &mut Addresses, index: usize, links: &[SocketAddr]) -> Agent {
        let name = format!("agent-{index}");
        let domain = DOMAINS[index % 3];
        let target = target::Settings {
            listen: addresses.next(),
            ..self.target_settings()
        };
        let target = target::Server::start(target).expect("the address is free");
        let mut worker = worker::Settings::default();
        worker.status.accelerators = self.config.accelerators;
        let worker = worker::Server::start(worker).expect("a port is free");
        let (target_proxy, worker_proxy) =
            (start_proxy(target.address), start_proxy(worker.address));
        let entry_proxies: Vec<_> = links.iter().map(|address| start_proxy(*address)).collect();
        let entries: Vec<_> = entry_proxies.iter().map(|proxy| proxy.address).collect();
        let settings = json!({
            "name": name, "region": REGION, "domain": domain, "rack": format!("rack-{index}"),
            "entries": entries, "link_key": LINK_KEY, "stop_limit_ms": self.config.stop_limit_ms,
            "target": {
                "service": "stitchwatch", "slots": self.config.slots, "address": target_proxy.address,
            },
            "worker": {
                "address": worker_proxy.address, "accelerators": self.config.accelerators,
            },
        });
        Agent {
            node: Node::start("agent", &name, &settings, &self.directory),
            target: Some(target),
            worker: Some(worker),
            target_proxy,
            _worker_proxy: worker_proxy,
            entry_proxies,
            past_runs: Vec::new(),
            past_tasks: Vec::new(),
        }
    }

    /// Returns the settings of the targets, with a listen address to be filled in.
    pub fn target_settings(&self) -> target::Settings {
        target::Settings {
            slots: self.config.slots as usize,
            ..target::Settings::default()
        }
    }

    /// Waits until every entry is ready and linked to every agent.
    pub fn wait_until_ready(&self) {
        for entry in &self.entries {
            let description = format!("{} ready with all agents", entry.node.name);
            wait_until(&description, WAIT_TIMEOUT, || {
                entry.is_ready() && entry.status()["agents"] == self.agents.len()
            });
        }
    }

    /// Returns the documents of the domains, of one workspace without guarantees, and of additional
    /// resources.
    pub fn resources(additional: &Value) -> Value {
        let domain = |name: &&str| {
            json!({
                "kind": "domain", "name": name,
                "spec": { "region": REGION, "in_service": true },
            })
        };
        let mut documents: Vec<_> = DOMAINS.iter().map(domain).collect();
        documents.push(workspace_document("airfield-socks", 1, &json!([])));
        documents.extend(additional.as_array().cloned().unwrap_or_default());
        documents.into()
    }

    /// Declares resources and submits jobs with `godwitstep apply`.
    pub fn apply(&self, documents: &Value) {
        let path = self.directory.join("apply.json");
        std::fs::write(&path, documents.to_string()).expect("the directory is writable");
        let file = path.to_str().expect("paths of tests are UTF-8");
        let output = godwitstep(&["apply", "-f", file, "--server", &self.operator_addresses()]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "apply: {text}");
    }

    /// Returns the addresses for operators of all entries, separated by commas.
    pub fn operator_addresses(&self) -> String {
        let addresses = self
            .entries
            .iter()
            .map(|entry| entry.operator_address.to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Returns the addresses for callers of all entries, without proxies.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.caller_address)
            .collect()
    }

    /// Returns the addresses of the proxies between callers and all entries.
    pub fn proxied_caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.caller_proxy.address)
            .collect()
    }

    /// Sends probe requests through each entry until every running target has run one of each
    /// entry.
    pub fn warm_up(&self) {
        for entry in &self.entries {
            let mut round = 0;
            let prefix = format!(
                "airfield-socks/probe-{}-{}-",
                entry.node.name,
                super::unix_time_us()
            );
            let probed = |agent: &Agent| {
                let mut runs = agent.runs().into_iter();
                agent.target.is_none() || runs.any(|run| run.key.starts_with(&prefix))
            };
            let description = format!("{} uses all targets", entry.node.name);
            wait_until(&description, WAIT_TIMEOUT, || {
                round += 1;
                std::thread::scope(|scope| {
                    for probe in 0..2 * self.agents.len() {
                        let key = format!("{}{round}-{probe}", &prefix["airfield-socks/".len()..]);
                        scope.spawn(move || {
                            send_request(entry.caller_address, &RequestSpec::new(key, 100))
                        });
                    }
                });
                self.agents.iter().all(probed)
            });
        }
    }

    /// Cuts an entry off from the log and from the other entries.
    pub fn isolate(&self, index: usize) {
        cut(&self.entries[index].log_proxy);
        self.for_each_peer_proxy(index, cut);
    }

    /// Changes the proxies between an entry and its peers, in both directions.
    fn for_each_peer_proxy(&self, index: usize, change: fn(&godwitstep_standin::proxy::Handle)) {
        for (other, entry) in self.entries.iter().enumerate() {
            if other == index {
                entry.peer_proxies.iter().for_each(change);
            } else {
                // An entry has no proxy to itself, so the indexes after its own are shifted.
                change(&entry.peer_proxies[if index < other { index } else { index - 1 }]);
            }
        }
    }

    /// Returns how often the targets have started the request with a key, in total.
    pub fn run_count(&self, key: &str) -> usize {
        let key = format!("airfield-socks/{key}");
        let runs = self.agents.iter().flat_map(Agent::runs);
        runs.filter(|run| run.key == key).count()
    }
}

/// Returns the document of a workspace with three kinds, one for each priority.
pub fn workspace_document(name: &str, rank: u32, guarantees: &Value) -> Value {
    let kind = |priority: &str| json!({ "name": priority, "priority": priority, "objective_ms": 20_000, "refund": 1.0 });
    json!({
        "kind": "workspace", "name": name,
        "spec": {
            "rank": rank, "guarantees": guarantees, "max_queued": 2_000,
            "kinds": [kind("urgent"), kind("normal"), kind("patient")],
        },
    })
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _removed = std::fs::remove_dir_all(&self.directory);
        }
    }
}

//! A whole cluster: log, entries, agents, targets and workers.

use super::caller::{Ask, ask};
use super::node::{Agent, Entry, Node, cut, way};
use super::{PATIENCE, godwitstep, slot, wait_until};
use godwitstep_standin::{log, target, worker};
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeFrom;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

const REGION: &str = "pilbara-coast";
const KEY: &str = "link key of the proofs";
pub const DOMAINS: [&str; 3] = ["karratha-shed", "dampier-depot", "roebourne-annex"];

/// What a cluster consists of. Agents are spread over the three failure domains.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub entries: usize,
    pub agents: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Accelerators of each worker.
    pub accelerators: u32,
    pub stop_limit_ms: u64,
    /// Whether no other cluster runs meanwhile, for tests that compare rates.
    pub alone: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            agents: 3,
            slots: 8,
            accelerators: 8,
            stop_limit_ms: 20_000,
            alone: false,
        }
    }
}

/// A running cluster. Dropping it ends everything that belongs to it.
pub struct Cluster {
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub log: log::Handle,
    pub plan: Plan,
    directory: PathBuf,
    _slot: slot::Slot,
}

/// Addresses that nothing else on this machine uses, so that they can be used again after a
/// restart: a loopback address for each cluster, with ports of which none is given twice.
struct Addresses {
    ip: IpAddr,
    ports: RangeFrom<u16>,
}

impl Addresses {
    fn of_cluster(number: u32) -> Self {
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
    /// Starts a cluster and waits until every entry is ready and knows every agent.
    pub fn start(plan: Plan) -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let slot = if plan.alone {
            slot::take_all()
        } else {
            slot::take()
        };
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let mut addresses = Addresses::of_cluster(number);
        let name = format!("proofs-{}-{number}", std::process::id());
        let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("the target directory takes files");
        let log = log::Server::start(log::Settings::default()).expect("a port is free");
        let links: Vec<_> = (0..plan.entries).map(|_| addresses.next()).collect();
        let mut cluster = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            log,
            plan,
            directory,
            _slot: slot,
        };
        for index in 0..plan.entries {
            let entry = cluster.entry(&mut addresses, index, &links);
            cluster.entries.push(entry);
        }
        for index in 0..plan.agents {
            let agent = cluster.agent(&mut addresses, index, &links);
            cluster.agents.push(agent);
        }
        cluster.settle();
        cluster
    }

    /// Starts a cluster with its domains and workspaces declared and every target known to every
    /// entry.
    pub fn serving(plan: Plan) -> Self {
        let cluster = Self::start(plan);
        cluster.apply(&Self::declarations(&json!([])));
        cluster.warm();
        cluster
    }

    fn entry(&self, free: &mut Addresses, index: usize, links: &[SocketAddr]) -> Entry {
        let name = format!("entry-{index}");
        let (callers, operators) = (free.next(), free.next());
        let log = way(self.log.address);
        let others = links
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let peers: Vec<_> = others.map(|(_, address)| way(*address)).collect();
        let mut addresses = vec![links[index]];
        addresses.extend(peers.iter().map(|way| way.address));
        let settings = json!({
            "name": name, "region": REGION, "domain": DOMAINS[index % 3],
            "callers": callers, "operators": operators, "links": links[index],
            "peers": addresses, "log": log.address, "link_key": KEY,
            "stop_limit_ms": self.plan.stop_limit_ms,
        });
        Entry {
            node: Node::start("entry", &name, &settings, &self.directory),
            callers,
            front: way(callers),
            operators,
            log,
            peers,
        }
    }

    fn agent(&self, free: &mut Addresses, index: usize, links: &[SocketAddr]) -> Agent {
        let name = format!("agent-{index}");
        let domain = DOMAINS[index % 3];
        let target = target::Settings {
            listen: free.next(),
            ..self.target_settings()
        };
        let target = target::Server::start(target).expect("the address is free");
        let mut worker = worker::Settings::default();
        worker.status.accelerators = self.plan.accelerators;
        let worker = worker::Server::start(worker).expect("a port is free");
        let (target_link, worker_link) = (way(target.address), way(worker.address));
        let entries: Vec<_> = links.iter().map(|address| way(*address)).collect();
        let addresses: Vec<_> = entries.iter().map(|way| way.address).collect();
        let settings = json!({
            "name": name, "region": REGION, "domain": domain, "rack": format!("rack-{index}"),
            "entries": addresses, "link_key": KEY, "stop_limit_ms": self.plan.stop_limit_ms,
            "target": {
                "service": "stitchwatch", "slots": self.plan.slots, "address": target_link.address,
            },
            "worker": {
                "address": worker_link.address, "accelerators": self.plan.accelerators,
            },
        });
        Agent {
            node: Node::start("agent", &name, &settings, &self.directory),
            target: Some(target),
            worker: Some(worker),
            target_link,
            _worker_link: worker_link,
            entries,
            past_runs: Vec::new(),
            past_tasks: Vec::new(),
        }
    }

    /// Returns how targets are started.
    pub fn target_settings(&self) -> target::Settings {
        target::Settings {
            slots: self.plan.slots as usize,
            ..target::Settings::default()
        }
    }

    /// Waits until every entry is ready and linked to every agent.
    pub fn settle(&self) {
        for entry in &self.entries {
            let what = format!("{} ready with all agents", entry.node.name);
            wait_until(&what, PATIENCE, || {
                entry.ready() && entry.status()["agents"] == self.agents.len()
            });
        }
    }

    /// Returns the domains, one workspace without guarantees, and some more workspaces.
    pub fn declarations(more: &Value) -> Value {
        let domain = |name: &&str| {
            json!({
                "kind": "domain", "name": name,
                "spec": { "region": REGION, "in_service": true },
            })
        };
        let mut all: Vec<_> = DOMAINS.iter().map(domain).collect();
        all.push(workspace("airfield-socks", 1, &json!([])));
        all.extend(more.as_array().cloned().unwrap_or_default());
        all.into()
    }

    /// Declares resources and submits jobs with the operators' command.
    pub fn apply(&self, documents: &Value) {
        let path = self.directory.join("apply.json");
        std::fs::write(&path, documents.to_string()).expect("the directory takes files");
        let file = path.to_str().expect("paths of tests are text");
        let output = godwitstep(&["apply", "-f", file, "--server", &self.servers()]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "apply: {text}");
    }

    /// Returns the operators' addresses of all entries.
    pub fn servers(&self) -> String {
        let all = self.entries.iter().map(|entry| entry.operators.to_string());
        all.collect::<Vec<_>>().join(",")
    }

    /// Returns the callers' addresses of all entries, without the proxies before them.
    pub fn direct(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Returns the callers' addresses of all entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.front.address)
            .collect()
    }

    /// Sends probes through each entry until every running target has had one of each.
    pub fn warm(&self) {
        for entry in &self.entries {
            let mut round = 0;
            let prefix = format!(
                "airfield-socks/probe-{}-{}-",
                entry.node.name,
                super::wall_us()
            );
            let seen = |agent: &Agent| {
                let mut runs = agent.runs().into_iter();
                agent.target.is_none() || runs.any(|run| run.key.starts_with(&prefix))
            };
            let what = format!("{} uses all targets", entry.node.name);
            wait_until(&what, PATIENCE, || {
                round += 1;
                std::thread::scope(|scope| {
                    for probe in 0..2 * self.agents.len() {
                        let key = format!("{}{round}-{probe}", &prefix["airfield-socks/".len()..]);
                        scope.spawn(move || ask(entry.callers, &Ask::new(key, 100)));
                    }
                });
                self.agents.iter().all(seen)
            });
        }
    }

    /// Cuts an entry off from the log and from the other entries.
    pub fn isolate(&self, index: usize) {
        cut(&self.entries[index].log);
        self.for_peer_ways(index, cut);
    }

    fn for_peer_ways(&self, index: usize, change: fn(&godwitstep_standin::proxy::Handle)) {
        for (other, entry) in self.entries.iter().enumerate() {
            if other == index {
                entry.peers.iter().for_each(change);
            } else {
                // The list of an entry's ways leaves out the entry itself.
                change(&entry.peers[if index < other { index } else { index - 1 }]);
            }
        }
    }

    /// Returns how often each target ever started a key of a request.
    pub fn starts(&self, key: &str) -> usize {
        let key = format!("airfield-socks/{key}");
        let all = self.agents.iter().flat_map(Agent::runs);
        all.filter(|run| run.key == key).count()
    }
}

/// Returns the declaration of a workspace with three kinds, one for each priority.
pub fn workspace(name: &str, rank: u32, guarantees: &Value) -> Value {
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
            let _left = std::fs::remove_dir_all(&self.directory);
        }
    }
}

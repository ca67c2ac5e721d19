//! A host with an agent and a worker.

use super::worker::Worker;
use godwitstep_batch::agent::Agent;
use godwitstep_batch::bounds::Bounds;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of the worker's registrations.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

pub struct Host {
    pub agent: Agent,
    /// Number of the agent's process.
    pub process: u64,
    pub worker: Worker,
    /// Number of the decider that the agent reports to.
    pub decider: usize,
    pub next_report: Duration,
    pub next_poll: Duration,
    /// Until when the agent's process is suspended.
    pub resumes_at: Duration,
    next_heartbeat: Duration,
}

impl Host {
    pub fn new(now: Duration, worker: Worker) -> Self {
        Self {
            agent: new_agent(now, 1, &worker),
            process: 1,
            worker,
            decider: 0,
            next_report: now,
            next_poll: now,
            resumes_at: now,
            next_heartbeat: now,
        }
    }

    /// Replaces the agent's process.
    pub fn restart_agent(&mut self, now: Duration) {
        self.process += 1;
        self.agent = new_agent(now, self.process, &self.worker);
        self.next_heartbeat = now;
        self.resumes_at = now;
    }

    /// Lets the worker register if it is due to.
    pub fn register(&mut self, now: Duration) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let registration = self.worker.registration.clone();
        self.agent.register(now, registration, address);
    }

    /// Delivers a deregistration under the worker's name.
    pub fn deregister(&mut self, now: Duration) {
        let worker = &self.worker.registration.info.incarnation.worker;
        self.agent.deregister(now, worker);
    }
}

fn new_agent(now: Duration, process: u64, worker: &Worker) -> Agent {
    let host = worker.registration.info.incarnation.host.clone();
    Agent::new(now, host, process, Bounds::default())
}

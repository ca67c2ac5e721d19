//! Evaluates whether this entry may start work, and sends the result to agents and peers.

use super::State;
use super::peers;
use crate::decider;
use crate::link::{HEARTBEAT_INTERVAL, Link};
use godwitstep_core::authority::{EVIDENCE_LIMIT, Evidence, OperatingMode, Peers};
use godwitstep_core::id::Name;
use godwitstep_core::registry::Stream;
use godwitstep_core::router;
use godwitstep_wire::{Frame, Heartbeat, Role, Rules};
use smol::Timer;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two evaluations of the operating mode.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Evaluates the operating mode and sends heartbeats until the entry stops.
pub(super) async fn run(state: Rc<State>) {
    let mut sequence = 0;
    let mut heartbeat_due = state.now();
    loop {
        let now = state.now();
        set_operating_mode(&state, evaluate(&state, now), now);
        if now >= heartbeat_due {
            sequence += 1;
            send_heartbeats(&state, sequence);
            heartbeat_due = (heartbeat_due + HEARTBEAT_INTERVAL).max(now);
        }
        Timer::after(EVALUATION_INTERVAL).await;
    }
}

/// Derives the operating mode from the older of the evidence for the two streams and from the
/// peers.
fn evaluate(state: &State, now: Duration) -> OperatingMode {
    if !state.is_ready() {
        // The folded state may not yet show a failure domain that is out of service.
        return OperatingMode::Halted;
    }
    let evidence = oldest_evidence(state, now);
    OperatingMode::derive(evidence, peer_counts(state, now))
}

/// Returns the older of the evidence for the two streams; `None` if a stream has no evidence.
pub(super) fn oldest_evidence(state: &State, now: Duration) -> Option<Evidence> {
    let registry = state.registry.borrow();
    let evidence = |stream| {
        state
            .stream(stream)
            .evidence(now, registry.position(stream))
    };
    let both = evidence(Stream::Config).zip(evidence(Stream::Jobs));
    both.map(
        |(config, jobs)| {
            if config.age > jobs.age { config } else { jobs }
        },
    )
}

fn peer_counts(state: &State, now: Duration) -> Peers {
    let links = state.links.borrow();
    let fresh =
        |at: &Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= EVIDENCE_LIMIT);
    let mut reachable = BTreeSet::<Name>::new();
    let mut with_evidence = BTreeSet::<Name>::new();
    for peer in links.peers() {
        reachable.insert(peer.link.peer().name.clone());
        if peer.evidence.iter().all(fresh) {
            with_evidence.insert(peer.link.peer().name.clone());
        }
    }
    let configured = state.settings.peers.len();
    Peers {
        configured,
        reachable: (reachable.len() + 1).min(configured),
        with_evidence: with_evidence.len(),
    }
}

fn set_operating_mode(state: &Rc<State>, operating_mode: OperatingMode, now: Duration) {
    if state.operating_mode.replace(operating_mode) == operating_mode {
        return;
    }
    state.operating_mode_since.set(now);
    match operating_mode {
        OperatingMode::Normal => tracing::info!("log tail is known"),
        OperatingMode::Degraded => {
            tracing::warn!("log cannot be read; continuing with the last known configuration");
        }
        OperatingMode::Halted => {
            tracing::warn!("possibly cut off from the log; starting no new work");
        }
    }
    // Agents follow the last rules of an entry until they receive the next ones.
    broadcast_rules(state);
    if let Some(front) = state.front() {
        front.handle(router::Event::OperatingMode(operating_mode));
    }
    decider::send_event(
        state,
        godwitstep_core::planner::Event::OperatingMode(decider::planner_operating_mode(
            operating_mode,
        )),
    );
}

fn send_heartbeats(state: &State, sequence: u64) {
    let rules = rules(state);
    let links = state.links.borrow();
    for agent in links.agents() {
        send_rules(&agent.link, sequence, rules.clone());
    }
    let peers: Vec<_> = links.peers().map(|peer| peer.link.clone()).collect();
    drop(links);
    for peer in peers {
        peers::send_heartbeat(state, &peer, sequence);
    }
}

fn rules(state: &State) -> Rules {
    let registry = state.registry.borrow();
    Rules {
        operating_mode: state.operating_mode.get(),
        version: registry.position(Stream::Config),
        out_of_service: registry.out_of_service().cloned().collect(),
        epoch: registry.epoch(),
        deciding: state.decider.borrow().is_some(),
    }
}

/// Sends the rules to all agents at once, after a change that must not wait for the next
/// heartbeat.
pub(super) fn broadcast_rules(state: &State) {
    let rules = rules(state);
    for agent in state.links.borrow().agents() {
        send_rules(&agent.link, 0, rules.clone());
    }
}

/// Sends the first heartbeat on a new link: the rules to an agent, the known tails to a peer.
pub(super) fn send_first_heartbeat(state: &State, link: &Link) {
    match link.peer().role {
        Role::Agent => send_rules(link, 0, rules(state)),
        Role::Entry => peers::send_heartbeat(state, link, 0),
    }
}

fn send_rules(link: &Link, sequence: u64, rules: Rules) {
    link.send(Frame::Heartbeat(Heartbeat {
        sequence,
        load: None,
        busy_accelerators: None,
        rules: Some(rules),
        targets: Vec::new(),
    }));
}

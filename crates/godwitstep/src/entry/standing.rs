//! Judges whether this entry may start work, and tells the agents and peers.

use super::State;
use super::peers;
use crate::decider;
use crate::link::{HEARTBEAT, Link};
use godwitstep_core::authority::{EVIDENCE_LIMIT, Evidence, Peers, Standing};
use godwitstep_core::id::Name;
use godwitstep_core::registry::Stream;
use godwitstep_core::router;
use godwitstep_wire::{Frame, Heartbeat, Role, Rules};
use smol::Timer;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Time between two judgements.
const TICK: Duration = Duration::from_millis(100);

/// Judges the standing and sends heartbeats for the life of the entry.
pub(super) async fn keep(state: Rc<State>) {
    let mut sequence = 0;
    let mut due = state.now();
    loop {
        let now = state.now();
        update(&state, judge(&state, now), now);
        if now >= due {
            sequence += 1;
            beat(&state, sequence);
            due = (due + HEARTBEAT).max(now);
        }
        Timer::after(TICK).await;
    }
}

/// Derives the standing from the evidence for both streams, whichever is older.
fn judge(state: &State, now: Duration) -> Standing {
    if !state.is_ready() {
        // The folded state may lack a domain that is out of service.
        return Standing::Halted;
    }
    let evidence = oldest(state, now);
    Standing::derive(evidence, peers_of(state, now))
}

/// Returns the older of the evidence for the two streams; `None` if either has none.
pub(super) fn oldest(state: &State, now: Duration) -> Option<Evidence> {
    let registry = state.registry.borrow();
    let of = |stream| {
        state
            .stream(stream)
            .evidence(now, registry.position(stream))
    };
    let both = of(Stream::Config).zip(of(Stream::Jobs));
    both.map(
        |(config, jobs)| {
            if config.age > jobs.age { config } else { jobs }
        },
    )
}

fn peers_of(state: &State, now: Duration) -> Peers {
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

fn update(state: &Rc<State>, standing: Standing, now: Duration) {
    if state.standing.replace(standing) == standing {
        return;
    }
    state.since.set(now);
    match standing {
        Standing::Fresh => tracing::info!("the log's tail is known"),
        Standing::Coasting => {
            tracing::warn!("the log can't be read; going on with the last configuration");
        }
        Standing::Halted => tracing::warn!("may be cut off from the log; nothing new starts"),
    }
    // Agents act on the last word of an entry until the next one comes.
    announce(state);
    if let Some(front) = state.front() {
        front.handle(router::Event::Standing(standing));
    }
    decider::send_event(
        state,
        godwitstep_core::planner::Event::Standing(decider::planner_standing(standing)),
    );
}

fn beat(state: &State, sequence: u64) {
    let rules = rules(state);
    let links = state.links.borrow();
    for agent in links.agents() {
        tell(&agent.link, sequence, rules.clone());
    }
    let peers: Vec<_> = links.peers().map(|peer| peer.link.clone()).collect();
    drop(links);
    for peer in peers {
        peers::beat(state, &peer, sequence);
    }
}

fn rules(state: &State) -> Rules {
    let registry = state.registry.borrow();
    Rules {
        standing: state.standing.get(),
        version: registry.position(Stream::Config),
        out: registry.out_of_service().cloned().collect(),
        epoch: registry.epoch(),
        deciding: state.decider.borrow().is_some(),
    }
}

/// Tells all agents at once what may start, after a change that must not wait for the next
/// heartbeat.
pub(super) fn announce(state: &State) {
    let rules = rules(state);
    for agent in state.links.borrow().agents() {
        tell(&agent.link, 0, rules.clone());
    }
}

/// Tells a new link what may start, or what is known of the log.
pub(super) fn greet(state: &State, link: &Link) {
    match link.peer().role {
        Role::Agent => tell(link, 0, rules(state)),
        Role::Entry => peers::beat(state, link, 0),
    }
}

fn tell(link: &Link, sequence: u64, rules: Rules) {
    link.send(Frame::Heartbeat(Heartbeat {
        sequence,
        load: None,
        busy_accelerators: None,
        rules: Some(rules),
        targets: Vec::new(),
    }));
}

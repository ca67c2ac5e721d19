//! Tests of the fencing tokens that fence off calls which a worker carries out late.

mod simulation;

use godwitstep_batch::agent::{Agent, Answer, Call, Contact, Registration, RunLists};
use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::claim::next_epoch;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Task, Token};
use godwitstep_batch::message::{self, Directive, Report, Start, WorkerInfo};
use godwitstep_batch::planner::OperatorView;
use godwitstep_batch::token::{TOKENS_PER_EPOCH, first_token};
use serde::{Deserialize, Serialize};
use simulation::Simulation;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

const EPOCH: Epoch = 1 << 20;
const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const TASK: Task = Task {
    job: 7,
    step: 0,
    index: 0,
};

const fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: "worker-1".into(),
        started_ms,
    }
}

fn empty_lists(started_ms: u64) -> RunLists {
    RunLists {
        clock: 1_000,
        started_ms: Some(started_ms),
        ..RunLists::default()
    }
}

/// Registers an incarnation and answers the probe that follows. Returns the token of the probe.
fn start_worker(agent: &mut Agent, now: Duration, started_ms: u64) -> Token {
    let info = WorkerInfo {
        incarnation: incarnation(started_ms),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    agent.register(now, Registration { info, sequence: 1 }, ADDRESS);
    let mut probe = agent.due_probe(now).expect("a probe is due");
    if probe.request.incarnation != incarnation(started_ms) {
        agent.probe_answered(now, now, &probe, Contact::OtherLife);
        let now = now + millis(50);
        probe = agent.due_probe(now).expect("a probe is due");
    }
    let lists = Contact::Lists(empty_lists(started_ms));
    agent.probe_answered(now, now, &probe, lists);
    assert_eq!(agent.incarnation(), Some(&incarnation(started_ms)));
    probe.request.token
}

/// Delivers the reply of a decider that gave the process a first token, with an order to start a run.
fn deliver(agent: &mut Agent, now: Duration, token: Token) {
    let report = agent.report(now, false);
    let start = Start {
        task: TASK,
        run: 1,
        spec: "x".into(),
        saved: "".into(),
    };
    let directive = Directive {
        epoch: EPOCH,
        token,
        sequence: report.sequence,
        incarnation: report.worker.map(|worker| worker.info.incarnation),
        start: vec![start],
        ..Directive::default()
    };
    assert!(agent.apply_directive(now, directive));
}

/// Returns an agent whose worker started at 50 and has an order to start a run.
fn agent(token: Token) -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    deliver(&mut agent, Duration::ZERO, token);
    start_worker(&mut agent, Duration::ZERO, 50);
    deliver(&mut agent, Duration::ZERO, token);
    agent
}

fn due_call(agent: &mut Agent, now: Duration) -> Call {
    agent.due_calls(now).pop().expect("a call is due")
}

/// Guards against a late call to an incarnation of a worker that the next one under the same name carries out.
#[test]
fn calls_to_the_next_incarnation_have_higher_tokens() {
    for failure in [None, Some(Contact::OtherLife), Some(Contact::Refused)] {
        let mut agent = agent(first_token(EPOCH, 1));
        let call = due_call(&mut agent, Duration::ZERO);
        if let Some(failure) = failure {
            agent.poll_failed(millis(90), &incarnation(50), &failure);
        }
        let probe = start_worker(&mut agent, millis(100), 60);
        assert!(probe > call.token, "{probe} after {}", call.token);
        let request = agent.lease_request(millis(101)).expect("a worker is known");
        assert!(request.token >= probe);
    }
}

/// Guards against late calls that are carried out between a worker's restart and its registration.
#[test]
fn another_incarnation_that_answers_is_called_with_a_higher_token_at_once() {
    let mut agent = agent(first_token(EPOCH, 1));
    let call = due_call(&mut agent, Duration::ZERO);
    agent.poll_failed(millis(10), &incarnation(50), &Contact::OtherLife);
    let probe = agent.due_probe(millis(50)).expect("a probe is due");
    assert_eq!(probe.address, ADDRESS);
    assert!(probe.request.token > call.token);
    agent.probe_answered(millis(51), millis(50), &probe, Contact::OtherLife);
    assert_eq!(
        agent.due_probe(millis(110)),
        None,
        "one call is enough until the incarnation registers"
    );
}

/// Guards against late calls of an agent's process that are carried out after its restart and that of its worker.
#[test]
fn the_next_process_of_an_agent_has_higher_tokens() {
    let mut sim = Simulation::new(1, 1);
    let view = OperatorView {
        policy: &sim.policy,
        domains_out: &sim.domains_out,
        age: Duration::ZERO,
        jobs_age: Duration::ZERO,
    };
    let epoch = sim.planner.epoch();
    let mut last = epoch;
    for process in 1..40 {
        let report = Report {
            host: "host-00".into(),
            incarnation: 1_000 - process,
            nonce: process,
            sequence: 1,
            ..Report::default()
        };
        sim.planner.report(sim.now, report.clone());
        for _ in 0..2 {
            let directive = sim
                .planner
                .directive(&report, &sim.ledger, &view, Vec::new());
            assert_eq!(directive.token, first_token(epoch, process));
        }
        assert!(first_token(epoch, process) > last + 100);
        last = first_token(epoch, process);
    }
    assert!(next_epoch(epoch, 0) > first_token(epoch, u64::MAX));
}

/// Guards against a decider whose calls its predecessor's tokens fence off.
#[test]
fn each_epoch_is_above_the_tokens_of_the_one_before() {
    let last_claimant = TOKENS_PER_EPOCH - 1;
    for (after, claimant) in [(7, 3), (1 << 20, 0), ((1 << 20) + last_claimant, 0)] {
        let next = next_epoch(after, claimant);
        assert!(next >= after + TOKENS_PER_EPOCH, "{next} after {after}");
    }
}

/// Guards against an order that waits for the decider because the token was raised while the call was under way.
#[test]
fn a_call_with_an_outdated_token_is_repeated_with_the_current_one() {
    let mut agent = agent(first_token(EPOCH, 1));
    let call = due_call(&mut agent, Duration::ZERO);
    agent.poll_failed(millis(10), &incarnation(50), &Contact::Unanswered);
    agent.call_answered(millis(20), &call, Answer::Fenced);
    let again = due_call(&mut agent, millis(100));
    assert!(again.token > call.token);
    agent.call_answered(millis(110), &again, Answer::Fenced);
    assert_eq!(agent.pending_orders(), 0, "another agent calls the worker");
}

/// Guards against tokens above those of the next process, which a decider of an earlier version tells nothing.
#[test]
fn without_a_range_the_token_is_the_epoch() {
    let mut agent = agent(0);
    agent.poll_failed(millis(10), &incarnation(50), &Contact::OtherLife);
    assert_eq!(start_worker(&mut agent, millis(100), 60), EPOCH);
}

/// Guards against a token that leaves the range of the process.
#[test]
fn tokens_stay_within_the_range_of_the_process() {
    let mut agent = agent(first_token(EPOCH, 1));
    let mut last = 0;
    for step in 1..3_000 {
        let token = start_worker(&mut agent, millis(100 * step), 50 + step);
        assert!((last..first_token(EPOCH, 2)).contains(&token));
        last = token;
    }
}

/// Directive of the version before, as far as its orders don't matter.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct FormerDirective {
    epoch: Epoch,
    sequence: u64,
}

/// Guards against an agent and a decider of which only one names tokens, and that can't read each other's messages.
#[test]
fn directives_can_be_read_by_and_from_the_version_before() {
    let former = FormerDirective {
        epoch: EPOCH,
        sequence: 4,
    };
    let directive: Directive = message::decode(&message::encode(&former)).unwrap();
    assert_eq!((directive.epoch, directive.token), (EPOCH, 0));
    let directive = Directive {
        token: first_token(EPOCH, 1),
        ..directive
    };
    let read: FormerDirective = message::decode(&message::encode(&directive)).unwrap();
    assert_eq!(read, former);
}

//! Two deciders that both answer agents: the former one until its lease ends, and the one that has taken over.

mod simulation;

use godwitstep_batch::agent::{Agent, Contact, Operation, Registration, RunLists};
use godwitstep_batch::bounds::{Bounds, DECIDER_LEASE, UNREACHABLE_TAKEOVER_TIMEOUT};
use godwitstep_batch::id::Task;
use godwitstep_batch::message::{Reachability, Refusal, Refused, Worker};
use godwitstep_batch::planner::{OperatorView, Planner};
use simulation::{Simulation, seconds, step};

const TASK: Task = Task {
    job: 1,
    step: 0,
    index: 0,
};

/// Returns a simulation of two workers in which a task is placed on the first one, which has not received its start.
fn placed() -> Simulation {
    let mut sim = Simulation::new(2, 2);
    sim.round();
    sim.host(0).executes_orders = false;
    sim.host(1).reachable = false;
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(2));
    assert!(sim.started(1));
    sim.host(1).reachable = true;
    sim
}

/// Guards against a second run of a task: an agent reports an expired lease to the decider that has taken over and restarts;
/// its next process reports to the former decider, whose lease lasts, and is told to start the run.
#[test]
fn a_restarted_agent_starts_no_run_that_a_new_decider_has_ended() {
    check_restarted_agent(|worker| worker.reachability = Reachability::LeaseExpired);
}

/// Guards against a second run of a task: the same, after the worker has refused the start.
#[test]
fn a_restarted_agent_starts_no_run_that_its_former_process_reported_as_refused() {
    check_restarted_agent(|worker| {
        let (task, run) = (TASK, 1);
        let reason = Refusal::Unhealthy;
        worker.refused.push(Refused { task, run, reason });
    });
}

/// Checks that a run does not move within the lease of the former decider, and moves after it, once an agent has reported to
/// the new one that the run is over.
fn check_restarted_agent(end: impl Fn(&mut Worker)) {
    let mut former = placed();
    let mut next = placed();
    next.planner = Planner::new(2 << 20, next.now, Bounds::default());
    next.deliver_reports();
    end(&mut next.host(0).worker);
    next.run_for(seconds(1));
    let moved = next.hosts_running(1) == ["host-01"];
    next.run_for(DECIDER_LEASE);
    assert_eq!(next.hosts_running(1), ["host-01"], "the run moves later");
    // The former decider's last record was sent at least this long before the other one claimed the role.
    assert!(UNREACHABLE_TAKEOVER_TIMEOUT + seconds(1) < DECIDER_LEASE);

    let now = former.now;
    let info = former.host(0).worker.info.clone();
    let mut agent = Agent::new(now, "host-00".into(), 2, Bounds::default());
    let address = "10.0.0.1:8080".parse().unwrap();
    agent.register(now, Registration { info, sequence: 1 }, address);
    for _ in 0..3 {
        let report = agent.report(now, false);
        former.planner.report(now, report.clone());
        let view = OperatorView {
            policy: &former.policy,
            domains_out: &former.domains_out,
            age: former.view_age,
            jobs_age: former.jobs_age,
        };
        let directive = former
            .planner
            .directive(&report, &former.ledger, &view, Vec::new());
        agent.apply_directive(now, directive);
        if let Some(probe) = agent.due_probe(now) {
            let started_ms = Some(probe.request.incarnation.started_ms);
            let lists = RunLists {
                started_ms,
                ..RunLists::default()
            };
            agent.probe_answered(now, now, &probe, Contact::Lists(lists));
        }
    }
    let calls = agent.due_calls(now);
    let starts = calls
        .iter()
        .any(|call| matches!(call.operation, Operation::Start(_)));
    assert!(!(moved && starts), "the task runs twice");
}

//! Runs that are taken for over because time has passed: nothing may start them any more.

mod simulation;

use godwitstep_batch::agent::{Agent, Answer, Call, Contact, Operation, Registration, RunLists};
use godwitstep_batch::bounds::{AGENT_LEASE, Bounds};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{Epoch, Incarnation, Run, Task};
use godwitstep_batch::message::{
    Directive, EndReason, Reachability, Report, Running, Start, WorkerInfo,
};
use godwitstep_batch::planner::{OperatorView, Plan};
use simulation::{COMPLETED, ROUND_INTERVAL, Simulation, seconds, step};
use std::net::SocketAddr;
use std::time::Duration;

const EPOCH: Epoch = 1 << 20;
const TASK: Task = Task {
    job: 7,
    step: 0,
    index: 0,
};
/// Simulated time between two exchanges of the agent.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);

fn incarnation() -> Incarnation {
    Incarnation {
        host: "host-1".into(),
        worker: "worker-1".into(),
        started_ms: 1,
    }
}

/// Returns the worker's lists without any run.
fn lists(now: Duration) -> RunLists {
    RunLists {
        clock: u64::try_from(now.as_millis()).unwrap(),
        started_ms: Some(1),
        ..RunLists::default()
    }
}

/// Returns an agent whose worker has answered at time zero.
fn new_agent() -> Agent {
    let mut agent = Agent::new(Duration::ZERO, "host-1".into(), 1, Bounds::default());
    let report = agent.report(Duration::ZERO, false);
    agent.apply_directive(Duration::ZERO, reply(&report, None));
    register(&mut agent, Duration::ZERO);
    agent
}

/// Lets the worker register and answer its probe.
fn register(agent: &mut Agent, now: Duration) {
    let info = WorkerInfo {
        incarnation: incarnation(),
        pool: "floor".into(),
        domain: "domain-1".into(),
        capacity: Demand::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    agent.register(now, Registration { info, sequence: 1 }, address);
    let probe = agent.due_probe(now).expect("a probe is due");
    agent.probe_answered(now, now, &probe, Contact::Lists(lists(now)));
}

/// Returns the decider's reply to a report, which orders the start of a run.
fn reply(report: &Report, run: Option<Run>) -> Directive {
    let start = |run| Start {
        task: TASK,
        run,
        spec: "spec".into(),
        saved: "".into(),
    };
    Directive {
        epoch: EPOCH,
        sequence: report.sequence,
        incarnation: report
            .worker
            .as_ref()
            .map(|worker| worker.info.incarnation.clone()),
        start: run.into_iter().map(start).collect(),
        ..Directive::default()
    }
}

/// Lets the worker answer nothing until the agent reports that its lease has expired, while the decider orders a run with
/// each reply. Returns the time and the last two reports.
fn expire_lease(agent: &mut Agent, run: Run) -> (Duration, Report, Report) {
    let mut now = Duration::ZERO;
    let mut previous = agent.report(now, false);
    loop {
        now += EXCHANGE_INTERVAL;
        assert!(now < AGENT_LEASE * 2, "the lease does not expire");
        let report = agent.report(now, false);
        let reachability = report.worker.as_ref().map(|worker| worker.reachability);
        if reachability == Some(Reachability::LeaseExpired) {
            return (now, previous, report);
        }
        agent.apply_directive(now, reply(&report, Some(run)));
        for call in agent.due_calls(now) {
            agent.call_answered(now, &call, Answer::Unanswered);
        }
        assert!(agent.lease_request(now).is_some());
        agent.poll_failed(now, &incarnation(), &Contact::Unanswered);
        previous = report;
    }
}

/// Lets the worker answer a poll, after which it is in reach again.
fn answer_poll(agent: &mut Agent, now: Duration) {
    assert!(agent.lease_request(now).is_some());
    agent.poll_answered(now, now, &incarnation(), lists(now));
}

fn starts(calls: &[Call]) -> usize {
    calls
        .iter()
        .filter(|call| matches!(call.operation, Operation::Start(_)))
        .count()
}

/// Guards against a second run of a task: a start that was ordered before the agent reported the lease as expired is sent
/// when the worker answers again.
#[test]
fn a_start_from_before_an_expired_lease_is_not_sent_after_it() {
    let mut agent = new_agent();
    let (now, _, _) = expire_lease(&mut agent, 1);
    answer_poll(&mut agent, now);
    assert_eq!(starts(&agent.due_calls(now)), 0);
}

/// Guards against a second run of a task: an order that answers a report from before the expired lease, or the report of
/// it, arrives when the worker answers again.
#[test]
fn an_order_that_answers_no_later_report_than_that_of_the_expired_lease_is_ignored() {
    let mut agent = new_agent();
    let (now, before, expired) = expire_lease(&mut agent, 1);
    answer_poll(&mut agent, now);
    for report in [before, expired] {
        agent.apply_directive(now, reply(&report, Some(1)));
        agent.apply_directive(now, reply(&report, Some(2)));
        assert_eq!(starts(&agent.due_calls(now)), 0, "{}", report.sequence);
    }
}

/// Guards against a task that never starts again: a decider that did not receive the report of the expired lease goes on
/// ordering the run.
#[test]
fn an_order_that_answers_a_later_report_is_carried_out() {
    let mut agent = new_agent();
    let (now, _, _) = expire_lease(&mut agent, 1);
    answer_poll(&mut agent, now);
    let report = agent.report(now, false);
    agent.apply_directive(now, reply(&report, Some(1)));
    assert_eq!(starts(&agent.due_calls(now)), 1);
}

/// Returns the orders for the only host.
fn directive(sim: &Simulation, report: &Report) -> Directive {
    let view = OperatorView {
        policy: &sim.policy,
        domains_out: &sim.domains_out,
        age: sim.view_age,
        jobs_age: sim.jobs_age,
    };
    sim.planner
        .directive(report, &sim.ledger, &view, Vec::new())
}

/// Plans a round whose records are not stored yet.
fn plan(sim: &mut Simulation) -> Plan {
    let view = OperatorView {
        policy: &sim.policy,
        domains_out: &sim.domains_out,
        age: sim.view_age,
        jobs_age: sim.jobs_age,
    };
    sim.planner.decide(sim.now, 0, &sim.ledger, &view)
}

/// Returns a simulation of one worker on which a task is placed whose start has not been carried out.
fn placed() -> Simulation {
    let mut sim = Simulation::new(1, 1);
    sim.round();
    sim.host(0).executes_orders = false;
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.round();
    assert!(sim.started(1));
    sim
}

/// Delivers a report of the only host, and returns the part of it that its reply depends on.
fn report(sim: &mut Simulation, reachability: Reachability) -> Report {
    sim.host(0).worker.reachability = reachability;
    sim.deliver_reports();
    Report {
        host: "host-00".into(),
        incarnation: 1,
        epoch: sim.planner.epoch(),
        ..Report::default()
    }
}

/// Guards against a second run of a task: while the record of a run's end is under way to the log, the agent whose worker
/// answers again is told to start that run.
#[test]
fn a_run_whose_end_is_not_recorded_yet_is_not_ordered() {
    let mut sim = placed();
    report(&mut sim, Reachability::LeaseExpired);
    let records = plan(&mut sim).records;
    assert!(!records.is_empty(), "the run has ended");
    let reachable = report(&mut sim, Reachability::Reachable);
    assert_eq!(directive(&sim, &reachable).start, []);
    sim.planner.refresh_assignments(&sim.ledger);
    assert_eq!(directive(&sim, &reachable).start, []);
}

/// Guards against a second run of a task: an agent that comes back after a long silence is told to start a run whose end is
/// under way to the log.
#[test]
fn a_run_of_a_silent_agent_whose_end_is_not_recorded_yet_is_not_ordered() {
    let mut sim = placed();
    report(&mut sim, Reachability::Reachable);
    sim.now += Bounds::default().agent_timeout() + seconds(1);
    let records = plan(&mut sim).records;
    assert!(!records.is_empty(), "the run has ended");
    let reachable = report(&mut sim, Reachability::Reachable);
    assert_eq!(directive(&sim, &reachable).start, []);
}

/// Guards against a second run of a task: the report of the expired lease itself is answered with a start.
#[test]
fn a_report_of_an_expired_lease_is_answered_without_starts() {
    let mut sim = placed();
    let expired = report(&mut sim, Reachability::LeaseExpired);
    assert_eq!(directive(&sim, &expired).start, []);
}

/// Guards against a task that waits for good: the record of its run's end is lost, and the run is neither started nor ended.
#[test]
fn a_run_whose_end_was_never_recorded_is_stopped() {
    let mut sim = placed();
    report(&mut sim, Reachability::LeaseExpired);
    plan(&mut sim);
    let reachable = report(&mut sim, Reachability::Reachable);
    assert_eq!(directive(&sim, &reachable).stop.len(), 1);
    sim.host(0).executes_orders = true;
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1), ["host-00"]);
}

/// Guards against a second run of a task: an order that answers a report from before the agent gave its worker up arrives
/// when the same worker is back.
#[test]
fn an_order_from_before_a_worker_was_given_up_is_ignored_after_its_return() {
    let mut agent = new_agent();
    agent.deregister(Duration::ZERO, "worker-1");
    let mut now = Duration::ZERO;
    let mut previous = agent.report(now, false);
    while agent.incarnation().is_some() {
        now += EXCHANGE_INTERVAL;
        assert!(now < AGENT_LEASE * 2, "the lease does not expire");
        previous = agent.report(now, false);
        agent.apply_directive(now, reply(&previous, None));
        assert!(agent.lease_request(now).is_some());
        agent.poll_failed(now, &incarnation(), &Contact::Unanswered);
    }
    let gone = agent.report(now, false);
    assert_eq!(gone.deregistered, Some(incarnation()), "ends all runs");
    register(&mut agent, now);
    assert_eq!(agent.incarnation(), Some(&incarnation()));
    agent.apply_directive(now, reply(&previous, Some(1)));
    assert_eq!(starts(&agent.due_calls(now)), 0);
    let report = agent.report(now, false);
    agent.apply_directive(now, reply(&report, Some(1)));
    assert_eq!(starts(&agent.due_calls(now)), 1, "a later order counts");
}

/// Returns a simulation of two workers and the name of the host on which a late run of a waiting task is listed. Its stop
/// is not executed.
fn late_run() -> (Simulation, String) {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let name = sim.hosts_running(1)[0].clone();
    let host = sim.hosts.get_mut(&name).unwrap();
    let late = host.worker.running[0].clone();
    host.end_run(late.task, late.run, EndReason::LeaseExpired);
    host.worker.running.push(late);
    host.executes_orders = false;
    sim.deliver_reports();
    sim.decide();
    sim.hosts.get_mut(&name).unwrap().worker.ended.clear();
    sim.run_for(seconds(1));
    assert_eq!(last_run(&sim), 1, "restarted while a run of it is listed");
    (sim, name)
}

/// Returns the number of the last run of the only task of job 1.
fn last_run(sim: &Simulation) -> Run {
    sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run
}

/// Guards against a second run of a task: a late run counted as over 1.5 s after the last report of its agent.
#[test]
fn a_late_run_on_a_silent_agent_holds_its_task_back_until_its_lease_is_over() {
    let (mut sim, name) = late_run();
    sim.hosts.get_mut(&name).unwrap().reachable = false;
    // The last report was sent one round before.
    let silence = Bounds::default().agent_timeout();
    sim.run_for(silence.saturating_sub(ROUND_INTERVAL * 2));
    assert_eq!(last_run(&sim), 1, "restarted too early");
    sim.run_for(seconds(1));
    assert_eq!(last_run(&sim), 2, "not restarted");
}

/// Guards against a second run of a task: a late run counted as over with the first report of a restarted agent, which has
/// not found its worker yet.
#[test]
fn a_late_run_holds_its_task_back_while_a_restarted_agent_knows_no_worker() {
    let (mut sim, name) = late_run();
    sim.hosts.get_mut(&name).unwrap().reachable = false;
    let mut sequence = 0;
    let mut run_without_worker = |sim: &mut Simulation, time: Duration| {
        let end = sim.now + time;
        while sim.now < end {
            sequence += 1;
            let report = Report {
                host: name.as_str().into(),
                incarnation: 2,
                sequence,
                epoch: sim.planner.epoch(),
                ..Report::default()
            };
            sim.planner.report(sim.now, report);
            sim.round();
        }
    };
    // The former process may have renewed the lease until its end.
    let longest = Bounds::default().max_lease_duration();
    run_without_worker(&mut sim, longest.saturating_sub(ROUND_INTERVAL * 2));
    assert_eq!(last_run(&sim), 1, "restarted too early");
    run_without_worker(&mut sim, seconds(3));
    assert_eq!(last_run(&sim), 2, "not restarted");
}

/// Guards against a late start of a done task: its second run was listed by a worker that has restarted since, and counted
/// as stopped although the next incarnation had not been told to stop it.
#[test]
fn a_late_result_waits_for_the_stop_of_a_run_that_the_newest_report_does_not_list() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let first = sim.hosts_running(1)[0].clone();
    sim.hosts.get_mut(&first).unwrap().reachable = false;
    sim.run_for(Bounds::default().agent_timeout() + seconds(1));
    let mut hosts = sim.hosts_running(1);
    hosts.retain(|host| *host != first);
    let second = hosts.pop().expect("the task is restarted");
    sim.hosts.get_mut(&second).unwrap().restart_worker();
    sim.deliver_reports();
    let host = sim.hosts.get_mut(&first).unwrap();
    host.reachable = true;
    let done = host.worker.running[0].clone();
    host.end_run(done.task, done.run, EndReason::Done);
    sim.deliver_reports();
    sim.decide();
    assert_eq!(sim.directives[&second].stop, [(done.task, 2)]);
    sim.execute_orders();
    sim.run_for(ROUND_INTERVAL * 2);
    assert_eq!(sim.status(1), COMPLETED);
}

/// Guards against a worker with too many runs: a start that was sent before it restarted under its name can still be carried
/// out, and its room counted as free with the first report of the next incarnation.
#[test]
fn a_run_of_an_earlier_incarnation_keeps_its_room_until_its_stop_is_answered() {
    let mut sim = placed();
    sim.submit(2, "normal", "north", vec![step(1, 8, seconds(60))]);
    let host = sim.host(0);
    host.restart_worker();
    host.executes_orders = true;
    sim.deliver_reports();
    sim.decide();
    assert!(!sim.started(2), "placed before the stop is answered");
    // The late start is carried out now, and then the stop.
    let task = Task { job: 1, ..TASK };
    sim.host(0).worker.running.push(Running {
        task,
        run: 1,
        saved: "".into(),
        percent: 0,
    });
    sim.execute_orders();
    sim.run_for(seconds(1));
    sim.assert_capacity();
    assert_eq!(sim.hosts_running(1).len() + sim.hosts_running(2).len(), 1);
}

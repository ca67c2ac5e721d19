//! Effects of ended runs, whether their end is reported or inferred.

mod simulation;

use godwitstep_batch::bounds::{AGENT_LEASE, Bounds, DECIDER_LEASE};
use godwitstep_batch::id::Task;
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{EndReason, Reachability, Report};
use godwitstep_batch::planner::Planner;
use godwitstep_batch::progress::{Outcome, State};
use simulation::{COMPLETED, ROUND_INTERVAL, Simulation, gang, seconds, step};
use std::time::Duration;

/// Guards against a task that is restarted after it failed as often as its queue allows.
#[test]
fn task_that_always_fails_ends_its_job() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "normal", "north", vec![step(1, 1, seconds(2))]);
    for _ in 0..30 {
        sim.round();
        for number in 0..3 {
            let listed_runs = sim.host(number).worker.running.clone();
            for listed_run in listed_runs {
                assert!(
                    listed_run.run <= 3,
                    "run {} exceeds the 3 allowed attempts",
                    listed_run.run
                );
                sim.host(number)
                    .end_run(listed_run.task, listed_run.run, EndReason::Failed);
            }
        }
    }
    assert_eq!(sim.status(1), Some(Status::Ended(Outcome::Failed)));
}

/// Guards against a failed run of a gang being counted once for each member.
#[test]
fn failed_gang_run_counts_once() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "normal", "north", vec![gang(3, 8, seconds(2))]);
    sim.round();
    for number in 0..3 {
        let listed_runs = sim.host(number).worker.running.clone();
        for listed_run in listed_runs {
            sim.host(number)
                .end_run(listed_run.task, listed_run.run, EndReason::Failed);
        }
    }
    sim.round();
    let tasks = &sim.ledger.job(1).unwrap().progress.steps[0].tasks;
    let failures: u32 = tasks.iter().map(|task| task.failures).sum();
    assert_eq!(failures, 1);
}

/// Guards against a second run while the agent of the first one may still renew its lease.
#[test]
fn work_of_a_silent_agent_restarts_only_after_the_longest_lease() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    sim.hosts.get_mut(&host).unwrap().reachable = false;
    let silence = Bounds::default().agent_timeout();
    assert!(silence > AGENT_LEASE + Bounds::default().max_lease);
    // The last report was sent one round before.
    sim.run_for(silence.saturating_sub(ROUND_INTERVAL * 2));
    assert_eq!(
        sim.hosts_running(1),
        std::slice::from_ref(&host),
        "restarted too early"
    );
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1).len(), 2, "not restarted elsewhere");
}

/// Guards against a second run beside one whose agent the previous decider answered last.
#[test]
fn work_of_an_agent_that_the_previous_decider_answered_last_restarts_after_the_longest_lease() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    sim.planner = Planner::new(2 << 20, sim.now, Bounds::default());
    let answered_until = sim.now + DECIDER_LEASE;
    sim.deliver_reports();
    sim.decide();
    // The reply is lost.
    sim.hosts.get_mut(&host).unwrap().reachable = false;
    sim.run_for((answered_until + Bounds::default().agent_timeout()).saturating_sub(sim.now));
    assert_eq!(
        sim.hosts_running(1),
        std::slice::from_ref(&host),
        "restarted too early"
    );
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1).len(), 2, "not restarted elsewhere");
}

/// Guards against the end of an independent task being applied to another task of its step, whose
/// agent is silent.
#[test]
fn end_of_an_independent_task_does_not_end_another() {
    let mut sim = Simulation::new(2, 2);
    let checkpointed = Step {
        checkpointable: true,
        ..step(2, 8, seconds(60))
    };
    sim.submit(1, "normal", "north", vec![checkpointed]);
    sim.run_for(seconds(2));
    sim.host(0).reachable = false;
    let listed_run = sim.host(1).worker.running[0].clone();
    sim.host(1)
        .end_run(listed_run.task, listed_run.run, EndReason::Failed);
    sim.run_for(seconds(4));
    let lost = sim.host(0).worker.running[0].task;
    let state = &sim.ledger.job(1).unwrap().progress.steps[0].tasks[usize::from(lost.index)];
    assert!(matches!(state.state, State::Placed(_)));
}

/// Guards against a gang that waits for the longest lease of a silent agent although its other
/// members have ended and with them the whole gang.
#[test]
fn gang_with_ended_members_is_over_on_a_silent_agent() {
    let mut sim = Simulation::new(3, 3);
    sim.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let hosts = sim.hosts_running(1);
    sim.hosts.get_mut(&hosts[0]).unwrap().reachable = false;
    let other = sim.hosts.get_mut(&hosts[1]).unwrap();
    let listed_run = other.worker.running[0].clone();
    other.end_run(listed_run.task, listed_run.run, EndReason::GangEnded);
    sim.run_for(seconds(3));
    let run = sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 2, "the gang was not restarted");
}

/// Guards against tasks that wait for the lease of a restarted worker to expire.
#[test]
fn restarted_worker_ends_runs_of_its_previous_incarnation() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(3))]);
    sim.run_for(seconds(1));
    sim.host(0).restart_worker();
    sim.run_for(ROUND_INTERVAL * 3);
    let listed_runs = &sim.host(0).worker.running;
    assert_eq!(listed_runs.len(), 1);
    assert_eq!(listed_runs[0].run, 2);
}

/// Guards against a result that is dropped because its run was considered lost, and against a
/// confirmation before the result is recorded.
#[test]
fn late_result_is_recorded_before_it_is_confirmed() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    sim.hosts.get_mut(&host).unwrap().reachable = false;
    sim.run_for(Bounds::default().agent_timeout() + seconds(1));
    let task = Task {
        job: 1,
        step: 0,
        index: 0,
    };
    let returned = sim.hosts.get_mut(&host).unwrap();
    returned.reachable = true;
    returned.end_run(task, 1, EndReason::Done);
    sim.deliver_reports();
    sim.decide();
    assert_eq!(sim.status(1), COMPLETED);
    sim.round();
    assert!(
        sim.hosts[&host].worker.ended.is_empty(),
        "the end is not confirmed"
    );
}

/// Guards against new tasks on a worker that its agent cannot reach, and against a wait beyond the
/// end of its lease.
#[test]
fn work_on_an_unreachable_worker_moves_after_its_lease() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    let worker = &mut sim.hosts.get_mut(&host).unwrap().worker;
    worker.reachability = Reachability::Unreachable;
    sim.run_for(seconds(2));
    assert_eq!(sim.hosts_running(1), std::slice::from_ref(&host));
    let worker = &mut sim.hosts.get_mut(&host).unwrap().worker;
    worker.reachability = Reachability::LeaseExpired;
    worker.running.clear();
    sim.run_for(seconds(1));
    assert_ne!(sim.hosts_running(1), [host]);
}

/// Guards against a second run of a gang while its other members are about to end. This arises when
/// no agent has reported for a while because the log was unavailable, and the first report after
/// that shows an end.
#[test]
fn gang_is_not_over_as_soon_as_one_member_ends() {
    let mut sim = Simulation::new(4, 4);
    sim.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let hosts = sim.hosts_running(1);
    for host in sim.hosts.values_mut() {
        host.reachable = false;
    }
    sim.run_for(seconds(2));
    for (name, host) in &mut sim.hosts {
        host.reachable = *name != hosts[1];
    }
    let first = sim.hosts.get_mut(&hosts[0]).unwrap();
    let listed_run = first.worker.running[0].clone();
    first.end_run(listed_run.task, listed_run.run, EndReason::Stopped);
    sim.run_for(Duration::from_millis(500));
    let run = sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 1, "restarted while a member may still run");
}

/// Guards against a second run of a task whose start was executed by the next incarnation of the
/// worker, which came up under the same name before its agent noticed (soak, seeds 1209 and 1308).
#[test]
fn start_executed_by_the_next_incarnation_is_stopped_before_a_restart() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    let worker = sim.hosts.get_mut(&host).unwrap();
    let listed_runs = worker.worker.running.clone();
    worker.restart_worker();
    worker.worker.running = listed_runs;
    for _ in 0..10 {
        sim.deliver_reports();
        sim.decide();
        let started = sim
            .directives
            .values()
            .any(|directive| !directive.start.is_empty());
        assert!(
            !started || sim.hosts_running(1).is_empty(),
            "{:?}",
            sim.hosts_running(1)
        );
        sim.execute_orders();
        sim.advance(ROUND_INTERVAL);
    }
    let run = sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 2, "the task was not restarted");
}

/// Guards against capacity being assigned to another task while a second run is about to start
/// there, because the first run, which was considered lost, turns out to be done (large, scale-2
/// seed 1: LIMIT).
#[test]
fn late_result_does_not_free_the_capacity_of_a_new_run() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let first = sim.hosts_running(1)[0].clone();
    sim.hosts.get_mut(&first).unwrap().reachable = false;
    for _ in 0..200 {
        sim.deliver_reports();
        sim.decide();
        sim.execute_orders();
        if sim.hosts_running(1).len() == 2 {
            break;
        }
        sim.advance(ROUND_INTERVAL);
    }
    let second = sim.hosts_running(1).into_iter().find(|host| *host != first);
    let second = second.expect("the task is restarted");
    let host = sim.hosts.get_mut(&first).unwrap();
    host.reachable = true;
    let listed_run = host.worker.running[0].clone();
    host.end_run(listed_run.task, listed_run.run, EndReason::Done);
    // The first host still reports its runs, but its capacity is not available to other tasks.
    sim.hosts.get_mut(&first).unwrap().worker.info.draining = true;
    sim.submit(2, "normal", "north", vec![step(1, 8, seconds(60))]);
    // The report that lists the second run is late.
    sim.hosts.get_mut(&second).unwrap().reachable = false;
    sim.deliver_reports();
    sim.decide();
    sim.hosts.get_mut(&second).unwrap().reachable = true;
    sim.execute_orders();
    sim.assert_capacity();
    for _ in 0..20 {
        sim.round();
        sim.assert_capacity();
    }
    assert_eq!(sim.status(1), COMPLETED);
    assert!(sim.started(2));
}

/// Guards against runs that stay placed for ever because their worker restarted with an earlier time of day.
#[test]
fn worker_restarted_after_the_clock_was_set_back_ends_earlier_runs() {
    let mut sim = Simulation::new(1, 1);
    sim.host(0).worker.info.incarnation.started_ms = 10_000;
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(3))]);
    sim.run_for(seconds(1));
    let host = sim.host(0);
    host.restart_worker();
    host.worker.info.incarnation.started_ms = 1_000;
    sim.run_for(ROUND_INTERVAL * 3);
    let listed_runs = &sim.host(0).worker.running;
    assert_eq!(listed_runs.len(), 1, "the task was not restarted");
    assert_eq!(listed_runs[0].run, 2);
}

/// Guards against runs of a live worker that end because another one has registered.
#[test]
fn unknown_worker_does_not_end_runs_of_the_former_one_within_its_lease() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    let worker = &mut sim.hosts.get_mut(&host).unwrap().worker;
    worker.info.incarnation.worker = "another".into();
    worker.info.incarnation.started_ms = u64::MAX;
    worker.reachability = Reachability::Unknown;
    worker.running.clear();
    sim.run_for(Bounds::default().max_lease_duration());
    let run = |sim: &Simulation| sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run(&sim), 1, "restarted within the lease");
    // A report may be late by 1.5 s.
    sim.run_for(seconds(2));
    assert_eq!(run(&sim), 2, "not restarted after the lease");
}

/// Guards against runs that stay placed for ever because their worker did not return after a restart of its agent.
#[test]
fn runs_of_a_worker_that_a_restarted_agent_never_finds_end_after_its_lease() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(1));
    let host = sim.hosts_running(1)[0].clone();
    sim.hosts.get_mut(&host).unwrap().reachable = false;
    let mut sequence = 0;
    let mut run_without_worker = |sim: &mut Simulation, time: Duration| {
        let end = sim.now + time;
        while sim.now < end {
            sequence += 1;
            let report = Report {
                host: host.as_str().into(),
                incarnation: 2,
                sequence,
                epoch: sim.planner.epoch(),
                ..Report::default()
            };
            sim.planner.report(sim.now, report);
            sim.round();
        }
    };
    let run = |sim: &Simulation| sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    run_without_worker(&mut sim, Bounds::default().max_lease_duration());
    assert_eq!(run(&sim), 1, "restarted within the lease");
    // A report may be late by 1.5 s.
    run_without_worker(&mut sim, seconds(2));
    assert_eq!(run(&sim), 2, "not restarted after the lease");
}

/// Guards against a second run beside a late start that the next incarnation of the worker executed.
#[test]
fn late_start_on_a_restarted_worker_is_not_ruled_out_by_an_old_report() {
    let mut sim = Simulation::new(2, 2);
    sim.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    sim.run_for(seconds(3));
    let name = sim.hosts_running(1)[0].clone();
    let host = sim.hosts.get_mut(&name).unwrap();
    host.restart_worker();
    host.executes_orders = false;
    sim.run_for(seconds(5));
    sim.hosts.get_mut(&name).unwrap().reachable = false;
    let run = |sim: &Simulation| sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    // The agent may renew the worker's lease until then.
    sim.run_for(
        Bounds::default()
            .agent_timeout()
            .saturating_sub(ROUND_INTERVAL * 2),
    );
    assert_eq!(run(&sim), 1, "restarted too early");
    sim.run_for(seconds(1));
    assert_eq!(run(&sim), 2, "not restarted");
}

/// Guards against a second run of a gang beside a member that waits alone on a silent agent.
#[test]
fn gang_member_that_waits_alone_is_not_over_with_an_earlier_one() {
    let mut sim = Simulation::new(4, 4);
    sim.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    sim.round();
    let hosts = sim.hosts_running(1);
    let late = sim.hosts.get_mut(&hosts[1]).unwrap();
    let waiting = late.worker.running.remove(0);
    sim.deliver_reports();
    let first = sim.hosts.get_mut(&hosts[0]).unwrap();
    let failed = first.worker.running[0].clone();
    first.end_run(failed.task, failed.run, EndReason::Failed);
    sim.now += ROUND_INTERVAL * 2;
    let late = sim.hosts.get_mut(&hosts[1]).unwrap();
    late.worker.running.push(waiting);
    let started_at = sim.now;
    sim.deliver_reports();
    sim.hosts.get_mut(&hosts[1]).unwrap().reachable = false;
    let run = |sim: &Simulation| sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    // The members may have been present together, so this one may not wait any more, but run on under its lease.
    while sim.now < started_at + Bounds::default().agent_timeout() {
        sim.decide();
        assert_eq!(
            run(&sim),
            1,
            "restarted {:?} after the start",
            sim.now.saturating_sub(started_at)
        );
        sim.now += ROUND_INTERVAL;
        sim.deliver_reports();
    }
    sim.run_for(seconds(1));
    assert_eq!(run(&sim), 2, "not restarted once the lease is over");
}

/// Guards against a second run of a task while a late run of it is being stopped.
#[test]
fn a_task_is_not_placed_while_a_report_lists_a_run_of_it() {
    for spec in [step(1, 8, seconds(60)), gang(2, 4, seconds(60))] {
        let mut sim = Simulation::new(2, 2);
        sim.submit(1, "normal", "north", vec![spec]);
        sim.run_for(seconds(1));
        let host = sim.hosts_running(1)[0].clone();
        let worker = sim.hosts.get_mut(&host).unwrap();
        let listed_run = worker.worker.running[0].clone();
        let (task, run) = (listed_run.task, listed_run.run);
        worker.end_run(task, run, EndReason::LeaseExpired);
        // The stop of the late run is not executed yet.
        worker.worker.running.push(listed_run);
        worker.executes_orders = false;
        for other in sim.hosts.values_mut() {
            for member in other.worker.running.clone() {
                if member.task != task {
                    other.end_run(member.task, member.run, EndReason::GangEnded);
                }
            }
        }
        sim.deliver_reports();
        sim.decide();
        for other in sim.hosts.values_mut() {
            other.worker.ended.clear();
        }
        sim.run_for(seconds(1));
        let last_run = |sim: &Simulation| sim.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
        assert_eq!(last_run(&sim), 1, "restarted while a run of it is listed");
        let worker = sim.hosts.get_mut(&host).unwrap();
        worker.executes_orders = true;
        worker.end_run(task, run, EndReason::Stopped);
        sim.run_for(seconds(1));
        assert_eq!(last_run(&sim), 2, "not restarted after the stop");
    }
}

/// Guards against a task that waits for ever, because the agent still lists a run from the last answer of a dead worker.
#[test]
fn a_run_on_a_worker_whose_lease_has_expired_does_not_block_its_task() {
    for spec in [step(1, 8, seconds(60)), gang(2, 4, seconds(60))] {
        let mut sim = Simulation::new(3, 3);
        sim.submit(1, "normal", "north", vec![spec]);
        sim.run_for(seconds(1));
        let host = sim.hosts_running(1)[0].clone();
        let dead = sim.hosts.get_mut(&host).unwrap();
        dead.worker.reachability = Reachability::LeaseExpired;
        dead.executes_orders = false;
        dead.makes_progress = false;
        sim.run_for(seconds(30));
        let hosts = sim.hosts_running(1);
        assert!(
            hosts.iter().any(|other| *other != host),
            "not restarted elsewhere, only listed on {hosts:?}"
        );
    }
}

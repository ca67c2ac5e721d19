//! Gangs of which some members have ended while the agents of others are silent.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::id::{Run, Task};
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::planner::{Decision, Planner};
use godwitstep_batch::progress::Outcome;
use simulation::{COMPLETED, ROUND_INTERVAL, Simulation, gang, seconds};
use std::time::Duration;

const JOB: u64 = 1;

/// Runs a gang that fills one worker with each member. Returns the simulation and the members' hosts.
fn running_gang(members: u16) -> (Simulation, Vec<String>) {
    let mut sim = Simulation::new(10, 10);
    let step = Step {
        checkpointable: true,
        ..gang(members, 8, seconds(60))
    };
    sim.submit(JOB, "normal", "north", vec![step]);
    sim.run_for(seconds(4));
    let hosts = sim.hosts_running(JOB);
    assert_eq!(hosts.len(), usize::from(members));
    (sim, hosts)
}

/// Cuts a machine off: its agent from the decider, its worker from the others.
fn cut_off(sim: &mut Simulation, host: &str) {
    sim.hosts.get_mut(host).unwrap().reachable = false;
    sim.cut_off.insert(host.to_owned());
}

fn reconnect(sim: &mut Simulation, host: &str) {
    sim.hosts.get_mut(host).unwrap().reachable = true;
    sim.cut_off.remove(host);
}

/// Ends the member on a host.
fn end(sim: &mut Simulation, host: &str, how: EndReason) {
    let host = sim.hosts.get_mut(host).unwrap();
    let member = host.worker.running[0].clone();
    assert!(host.end_run(member.task, member.run, how));
}

/// Returns the number of the gang's newest run.
fn run(sim: &Simulation) -> Run {
    let progress = &sim.ledger.job(JOB).unwrap().progress;
    progress.task(0, 0).map_or(0, |task| task.run)
}

/// Returns the time until the gang is started again.
fn time_to_restart(sim: &mut Simulation) -> Duration {
    let (started_at, first) = (sim.now, run(sim));
    while run(sim) == first {
        sim.round();
        assert!(sim.now < started_at + seconds(60), "not restarted");
    }
    sim.now.saturating_sub(started_at)
}

/// Asserts that the gang is started again only once the leases of the silent agents are over.
fn assert_waits_for_leases(sim: &mut Simulation, case: &str) {
    let time = time_to_restart(sim);
    let lease = Bounds::default().agent_timeout();
    assert!(time >= lease, "{case}: restarted after {time:?}");
    assert!(time < lease + seconds(1), "{case}: waited {time:?}");
}

/// Replaces the decider. The former one's lease is over.
fn replace_decider(sim: &mut Simulation) {
    let epoch = sim.planner.epoch() + (1 << 20);
    sim.planner = Planner::new(epoch, sim.now, Bounds::default());
}

/// Guards against two runs of one task: a gang was started again beside a member whose machine was cut off and whose
/// lease lasted, because the others had been stopped (review/6).
#[test]
fn a_gang_that_stalls_behind_a_cut_is_not_started_again_beside_the_member_there() {
    for members in 2..6 {
        let (mut sim, hosts) = running_gang(members);
        cut_off(&mut sim, &hosts[0]);
        for host in sim.hosts.values_mut() {
            host.makes_progress = false;
        }
        assert_waits_for_leases(&mut sim, &format!("{members} members"));
        let stalled = |decision: &Decision| matches!(decision, Decision::Stalled { .. });
        assert!(sim.has_decision(stalled), "{members} members");
    }
}

/// Guards against two runs of one task: the end of one member does not end one that is cut off, whatever the cause.
#[test]
fn a_member_that_is_cut_off_has_not_ended_with_another_one() {
    let causes = [
        EndReason::Stopped,
        EndReason::Failed,
        EndReason::LeaseExpired,
        EndReason::GangTimeout,
    ];
    for members in 2..5 {
        for how in causes {
            let (mut sim, hosts) = running_gang(members);
            cut_off(&mut sim, &hosts[0]);
            end(&mut sim, &hosts[1], how);
            assert_waits_for_leases(&mut sim, &format!("{members} members, {how:?}"));
        }
    }
}

/// Guards against two runs of one task: a worker that crashes is the reason why the others have ended, not the member
/// that is cut off.
#[test]
fn a_member_that_is_cut_off_has_not_ended_with_a_worker_that_crashes() {
    for restarts_under_its_name in [false, true] {
        let (mut sim, hosts) = running_gang(3);
        cut_off(&mut sim, &hosts[0]);
        let crashed = sim.hosts.get_mut(&hosts[1]).unwrap();
        if restarts_under_its_name {
            crashed.restart_worker();
        } else {
            crashed.crash_worker(seconds(4));
        }
        end(&mut sim, &hosts[2], EndReason::GangEnded);
        assert_waits_for_leases(
            &mut sim,
            &format!("under its name: {restarts_under_its_name}"),
        );
    }
}

/// Guards against two runs of one task: a late start in the next incarnation of a crashed worker ends with the gang, which
/// shows nothing about the member that is cut off.
#[test]
fn a_late_start_that_ends_with_its_gang_does_not_end_a_member_that_is_cut_off() {
    let (mut sim, hosts) = running_gang(2);
    cut_off(&mut sim, &hosts[0]);
    let crashed = sim.hosts.get_mut(&hosts[1]).unwrap();
    let late = crashed.worker.running.clone();
    crashed.restart_worker();
    crashed.worker.running = late;
    end(&mut sim, &hosts[1], EndReason::GangEnded);
    assert_waits_for_leases(&mut sim, "late start");
}

/// Guards against two runs of one task: a member that no report has listed may have begun before its machine was cut off.
#[test]
fn a_member_that_was_not_listed_before_the_cut_may_run() {
    let mut sim = Simulation::new(10, 10);
    sim.submit(JOB, "normal", "north", vec![gang(2, 8, seconds(60))]);
    sim.round();
    let hosts = sim.hosts_running(JOB);
    cut_off(&mut sim, &hosts[0]);
    sim.cut_off.insert(hosts[1].clone());
    sim.run_for(seconds(2));
    end(&mut sim, &hosts[1], EndReason::GangTimeout);
    let time = time_to_restart(&mut sim) + seconds(2);
    assert!(time >= Bounds::default().agent_timeout(), "{time:?}");
}

/// Guards against two runs of one task: of two members on silent hosts only one has to have ended before the others.
#[test]
fn of_two_silent_members_neither_is_known_to_have_ended() {
    let (mut sim, hosts) = running_gang(4);
    cut_off(&mut sim, &hosts[0]);
    cut_off(&mut sim, &hosts[1]);
    end(&mut sim, &hosts[2], EndReason::GangEnded);
    end(&mut sim, &hosts[3], EndReason::GangEnded);
    assert_waits_for_leases(&mut sim, "two silent members");
}

/// Guards against two runs of one task when the decider changes while a member is cut off.
#[test]
fn a_new_decider_does_not_end_a_member_that_is_cut_off_with_the_others() {
    let (mut sim, hosts) = running_gang(3);
    cut_off(&mut sim, &hosts[0]);
    end(&mut sim, &hosts[1], EndReason::Stopped);
    sim.run_for(seconds(1));
    replace_decider(&mut sim);
    let time = time_to_restart(&mut sim);
    assert!(time >= Bounds::default().agent_timeout(), "{time:?}");
}

/// Guards against a cancelled job whose member is taken for ended while it runs on behind a cut.
#[test]
fn a_cancelled_gang_keeps_the_member_that_is_cut_off_until_its_lease_is_over() {
    let (mut sim, hosts) = running_gang(3);
    cut_off(&mut sim, &hosts[0]);
    sim.append(godwitstep_batch::record::Record::Cancelled { job: JOB });
    let is_open = |sim: &Simulation| !sim.ledger.job(JOB).unwrap().settled();
    // The last report is from before the cancellation.
    sim.run_for(
        Bounds::default()
            .agent_timeout()
            .saturating_sub(ROUND_INTERVAL),
    );
    assert!(is_open(&sim), "the member is taken for ended");
    sim.run_for(seconds(1));
    assert!(!is_open(&sim));
}

/// Guards against a gang that waits for the longest lease of a silent agent although the others show that its member has
/// ended.
#[test]
fn a_gang_starts_again_soon_after_the_loss_of_a_machine() {
    for (members, new_decider) in [(2, false), (5, false), (2, true), (5, true)] {
        let (mut sim, hosts) = running_gang(members);
        let lost = sim.hosts.get_mut(&hosts[0]).unwrap();
        lost.reachable = false;
        lost.restart_worker();
        for host in &hosts[1..] {
            end(&mut sim, host, EndReason::GangEnded);
        }
        if new_decider {
            sim.run_for(ROUND_INTERVAL * 3);
            replace_decider(&mut sim);
        }
        let time = time_to_restart(&mut sim);
        assert!(
            time < seconds(3),
            "{members} members, new decider {new_decider}: {time:?}"
        );
    }
}

/// Loses the machine of a member, which has ended meanwhile, with the gang, and waits until the gang is started again.
fn fail_behind_silence(sim: &mut Simulation) -> (String, Task, Run) {
    let hosts = sim.hosts_running(JOB);
    let silent = sim.hosts.get_mut(&hosts[0]).unwrap();
    silent.reachable = false;
    let member = silent.worker.running[0].clone();
    end(sim, &hosts[0], EndReason::Failed);
    for host in &hosts[1..] {
        end(sim, host, EndReason::GangEnded);
    }
    (hosts[0].clone(), member.task, member.run)
}

/// Guards against a failed run that is not counted, because the gang was started again before the agent of the member that
/// failed reported its end (review/4).
#[test]
fn a_failure_that_is_reported_after_the_gang_was_started_again_counts() {
    for new_decider in [false, true] {
        let (mut sim, _) = running_gang(2);
        // Two of three attempts.
        for attempt in 1..3 {
            let (host, task, run) = fail_behind_silence(&mut sim);
            time_to_restart(&mut sim);
            sim.run_for(ROUND_INTERVAL * 3);
            if new_decider {
                replace_decider(&mut sim);
            }
            let silent = sim.hosts.get_mut(&host).unwrap();
            assert!(!silent.worker.ended.is_empty());
            silent.reachable = true;
            sim.run_for(seconds(1));
            let silent = sim.hosts.get_mut(&host).unwrap();
            let listed =
                |end: &&godwitstep_batch::message::Ended| (end.task, end.run) == (task, run);
            assert!(
                !silent.worker.ended.iter().any(|end| listed(&end)),
                "not acknowledged"
            );
            let progress = &sim.ledger.job(JOB).unwrap().progress;
            assert_eq!(progress.steps[0].tasks[0].failures, attempt);
        }
        assert_eq!(run(&sim), 3);
        let hosts = sim.hosts_running(JOB);
        end(&mut sim, &hosts[0], EndReason::Failed);
        sim.run_for(seconds(1));
        assert_eq!(sim.status(JOB), Some(Status::Ended(Outcome::Failed)));
    }
}

/// Guards against more starts than attempts: the last attempt waits until it is known whether an earlier one has failed.
#[test]
fn the_last_attempt_waits_for_ends_that_are_not_known() {
    for failed in [true, false] {
        let (mut sim, _) = running_gang(2);
        for _ in 0..2 {
            fail_behind_silence(&mut sim);
            time_to_restart(&mut sim);
            sim.run_for(ROUND_INTERVAL * 3);
        }
        let (host, task, run_number) = fail_behind_silence(&mut sim);
        sim.run_for(seconds(5));
        assert_eq!(
            run(&sim),
            3,
            "started although all attempts may have failed"
        );
        let silent = sim.hosts.get_mut(&host).unwrap();
        if !failed {
            // The end was a lapse of the lease, which is no failure.
            for end in &mut silent.worker.ended {
                if (end.task, end.run) == (task, run_number) {
                    end.how = EndReason::LeaseExpired;
                }
            }
        }
        silent.reachable = true;
        sim.run_for(seconds(1));
        assert_eq!(run(&sim), if failed { 3 } else { 4 });
    }
}

/// Guards against a job that fails because of ends that nobody knows, and against one that never starts again because of
/// them.
#[test]
fn ends_that_never_show_do_not_fail_the_job() {
    let (mut sim, _) = running_gang(2);
    for _ in 0..3 {
        let (host, ..) = fail_behind_silence(&mut sim);
        sim.hosts.get_mut(&host).unwrap().restart_worker();
        let time = time_to_restart(&mut sim);
        assert!(
            time < Bounds::default().agent_timeout() + seconds(1),
            "{time:?}"
        );
        sim.run_for(seconds(1));
    }
    let progress = &sim.ledger.job(JOB).unwrap().progress;
    assert_eq!(progress.outcome, None);
    assert_eq!(progress.steps[0].tasks[0].failures, 0);
    sim.run_for(seconds(62));
    assert_eq!(sim.status(JOB), COMPLETED);
}

/// Guards against lost work: the gang resumes from the checkpoint that its members ended with, not from the older one in
/// the last report of the silent agent.
#[test]
fn a_gang_resumes_from_the_newest_checkpoint() {
    let (mut sim, hosts) = running_gang(2);
    for host in &hosts {
        sim.hosts.get_mut(host).unwrap().worker.running[0].saved = "old".into();
    }
    sim.round();
    sim.hosts.get_mut(&hosts[0]).unwrap().reachable = false;
    end(&mut sim, &hosts[1], EndReason::GangEnded);
    sim.hosts.get_mut(&hosts[1]).unwrap().worker.ended[0].saved = "new".into();
    time_to_restart(&mut sim);
    let progress = &sim.ledger.job(JOB).unwrap().progress;
    assert!(
        progress.steps[0]
            .tasks
            .iter()
            .all(|task| &*task.saved == "new")
    );
}

/// Guards against a second run behind a cut that ends: the member there is stopped before the gang starts again.
#[test]
fn a_member_behind_a_cut_that_ends_is_stopped_before_the_gang_starts_again() {
    let (mut sim, hosts) = running_gang(3);
    cut_off(&mut sim, &hosts[0]);
    end(&mut sim, &hosts[1], EndReason::Stopped);
    sim.run_for(seconds(5));
    assert_eq!(run(&sim), 1);
    reconnect(&mut sim, &hosts[0]);
    let time = time_to_restart(&mut sim);
    assert!(time < seconds(1), "{time:?}");
    for host in sim.hosts.values() {
        let runs = host.worker.running.iter();
        assert_eq!(runs.filter(|listed_run| listed_run.run == 1).count(), 0);
    }
}

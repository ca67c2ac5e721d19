//! Decisions under load and faults, without network. Each test names the load or fault.

mod scene;

use godwitstep_batch::bounds::{Bounds, COAST};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::Task;
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::message::{Contact, How};
use godwitstep_batch::planner::Decision;
use godwitstep_batch::progress::{Outcome, State};
use godwitstep_batch::record::Record;
use scene::{STEP, Scene, gang, seconds, step};
use std::time::Duration;

const DONE: Option<Status> = Some(Status::Ended(Outcome::Completed));

#[test]
fn independent_tasks_and_dependent_steps_complete() {
    let mut scene = Scene::new(3, 3);
    let second = Step {
        after: vec![0],
        ..step(2, 1, seconds(1))
    };
    scene.submit(1, "normal", "north", vec![step(4, 1, seconds(1)), second]);
    scene.round();
    let listed = scene.places(1).len();
    assert_eq!(listed, 4, "the second step waits for the first");
    scene.run(seconds(3));
    assert_eq!(scene.status(1), DONE);
}

/// Guards against a start order before its record is in the log.
#[test]
fn nothing_is_ordered_that_the_ledger_does_not_show() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    scene.report();
    scene.decide();
    let placed = scene.ledger.job(1).unwrap().progress.placed().count();
    let ordered: usize = scene.directives.values().map(|own| own.start.len()).sum();
    assert_eq!((placed, ordered), (1, 1));
}

/// Guards against a worker that gets more than it has, while what is being stopped still counts.
#[test]
fn room_is_never_exceeded_when_urgent_jobs_come_on_a_full_floor() {
    let mut scene = Scene::new(4, 2);
    for job in 1..=4 {
        scene.submit(job, "patient", "south", vec![step(10, 1, seconds(9))]);
    }
    scene.run(seconds(1));
    for job in 11..=13 {
        scene.submit(job, "urgent", "north", vec![gang(2, 2, seconds(2))]);
        for _ in 0..8 {
            scene.round();
            scene.check_room();
        }
    }
}

/// Guards against a guaranteed claim that waits behind patient work.
#[test]
fn a_claim_within_the_guarantee_begins_within_its_bound_on_a_full_floor() {
    let mut scene = Scene::new(4, 4);
    for job in 1..=4 {
        scene.submit(job, "patient", "south", vec![step(8, 1, seconds(30))]);
    }
    scene.run(seconds(2));
    scene.submit(9, "urgent", "north", vec![gang(2, 8, seconds(9))]);
    scene.run(Bounds::default().reclaim);
    assert_eq!(scene.places(9).len(), 2, "both members of the gang run");
}

/// Guards against a workspace that takes more than its guarantee at the price of others' work.
#[test]
fn a_job_beyond_the_guarantee_does_not_stop_more_work_than_its_own() {
    let mut scene = Scene::new(4, 4);
    for job in 1..=4 {
        scene.submit(job, "normal", "south", vec![step(1, 8, seconds(30))]);
    }
    scene.run(seconds(8));
    scene.submit(9, "urgent", "north", vec![gang(3, 8, seconds(1))]);
    scene.run(seconds(3));
    assert!(scene.places(9).is_empty());
    assert!(
        !scene
            .decisions
            .iter()
            .any(|own| matches!(own, Decision::Preempted { .. }))
    );
}

/// Guards against stopping long work where short work would do.
#[test]
fn the_runs_that_lose_least_are_stopped() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "patient", "south", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(10));
    scene.submit(2, "patient", "south", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    scene.submit(9, "urgent", "north", vec![step(1, 8, seconds(5))]);
    scene.run(seconds(3));
    let stopped: Vec<u64> = scene
        .decisions
        .iter()
        .filter_map(|own| match own {
            Decision::Preempted { task, .. } => Some(task.job),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, [2]);
}

/// Guards against a large gang that starves behind small jobs which take each worker as it becomes
/// free.
#[test]
fn a_gang_of_all_workers_starts_although_small_jobs_keep_coming() {
    let mut scene = Scene::new(4, 4);
    let mut next = 100;
    let mut small = |scene: &mut Scene| {
        next += 1;
        scene.submit(next, "normal", "south", vec![step(1, 8, seconds(4))]);
    };
    for _ in 0..4 {
        small(&mut scene);
        scene.run(seconds(1));
    }
    scene.submit(1, "normal", "north", vec![gang(4, 8, seconds(3))]);
    for _ in 0..12 {
        small(&mut scene);
        scene.run(seconds(1));
    }
    assert!(scene.started(1), "the gang waits after 12 s");
}

/// Guards against a gang that is spread over racks, where it is slow, though a rack can hold it.
#[test]
fn a_gang_of_one_rack_waits_for_a_rack() {
    let mut scene = Scene::new(6, 3);
    for job in 1..=4 {
        scene.submit(job, "normal", "south", vec![step(1, 8, seconds(3))]);
    }
    scene.run(seconds(1));
    let tight = Step {
        one_rack: true,
        ..gang(3, 8, seconds(9))
    };
    scene.submit(9, "normal", "north", vec![tight]);
    scene.run(seconds(4));
    let places = scene.places(9);
    assert_eq!(places.len(), 3);
    let racks: std::collections::BTreeSet<_> = places
        .iter()
        .map(|host| scene.hosts[host].worker.about.rack.clone())
        .collect();
    assert_eq!(racks.len(), 1, "{places:?}");
}

/// Guards against runs that are stopped as stuck although the members of a gang that are done only
/// wait for the slowest one.
#[test]
fn members_that_wait_for_the_slowest_are_not_stopped() {
    let mut scene = Scene::new(3, 3);
    let saving = Step {
        saves: true,
        ..gang(3, 8, seconds(6))
    };
    scene.submit(1, "normal", "north", vec![saving]);
    scene.run(seconds(1));
    for _ in 0..30 {
        for number in 0..2 {
            let rows = &mut scene.host(number).worker.running;
            for row in rows {
                row.percent = 100;
            }
        }
        scene.report();
        scene.decide();
        scene.now += STEP;
        let slowest = &mut scene.host(2).worker.running[0];
        slowest.percent = (slowest.percent + 2).min(98);
    }
    assert!(
        !scene
            .decisions
            .iter()
            .any(|own| matches!(own, Decision::Stuck { .. }))
    );
}

/// Guards against work that stands still for good on a worker whose heartbeats are fine.
#[test]
fn a_run_that_stands_still_is_moved_to_another_worker() {
    let mut scene = Scene::new(2, 2);
    let saving = Step {
        saves: true,
        ..step(1, 8, seconds(4))
    };
    scene.submit(1, "normal", "north", vec![saving]);
    scene.run(seconds(1));
    let first = scene.places(1);
    scene.hosts.get_mut(&first[0]).unwrap().works = false;
    scene.run(seconds(6));
    assert_ne!(scene.places(1), first);
    scene.run(seconds(4));
    assert_eq!(scene.status(1), DONE);
}

/// Guards against runs that are stopped for showing no progress, where none is shown at all.
#[test]
fn a_run_whose_progress_is_not_shown_is_left_alone() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(4))]);
    scene.lengths.insert(1, seconds(20));
    scene.run(seconds(21));
    assert_eq!(scene.status(1), DONE);
    assert!(
        !scene
            .decisions
            .iter()
            .any(|own| matches!(own, Decision::Stuck { .. }))
    );
}

/// Guards against work that lands again and again on a worker that fails everything.
#[test]
fn a_worker_that_fails_tasks_of_several_jobs_gets_no_new_ones() {
    let mut scene = Scene::new(2, 2);
    for job in 1..=6 {
        scene.submit(job, "normal", "north", vec![step(1, 2, seconds(2))]);
    }
    let mut starts_after = 0;
    for round in 0..25 {
        scene.round();
        let rows: Vec<_> = scene.host(0).worker.running.clone();
        if round > 6 {
            starts_after += rows.len();
        }
        for row in rows {
            scene.host(0).end(row.task, row.run, How::Failed);
        }
    }
    assert_eq!(starts_after, 0, "starts on the failing worker");
    let told = |own: &Decision| matches!(own, Decision::Quarantined { .. });
    assert!(scene.decisions.iter().any(told), "nobody is told why");
}

/// Guards against a task that is started again after as many failures as its queue allows.
#[test]
fn a_task_that_always_fails_ends_its_job() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(2))]);
    for _ in 0..30 {
        scene.round();
        for number in 0..3 {
            let rows = scene.host(number).worker.running.clone();
            for row in rows {
                assert!(row.run <= 3, "run {} of 3 allowed", row.run);
                scene.host(number).end(row.task, row.run, How::Failed);
            }
        }
    }
    assert_eq!(scene.status(1), Some(Status::Ended(Outcome::Failed)));
}

/// Guards against a gang whose failed run is counted once for each of its members.
#[test]
fn a_failed_run_of_a_gang_counts_once() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![gang(3, 8, seconds(2))]);
    scene.round();
    for number in 0..3 {
        let rows = scene.host(number).worker.running.clone();
        for row in rows {
            scene.host(number).end(row.task, row.run, How::Failed);
        }
    }
    scene.round();
    let tasks = &scene.ledger.job(1).unwrap().progress.steps[0].tasks;
    let failures: u32 = tasks.iter().map(|task| task.failures).sum();
    assert_eq!(failures, 1);
}

/// Guards against a second run while the agent that had the first one may still keep it alive.
#[test]
fn work_of_a_silent_agent_is_started_again_only_after_the_longest_lease() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    scene.hosts.get_mut(&host).unwrap().heard = false;
    let silence = Bounds::default().silence();
    assert!(silence > COAST + Bounds::default().hold);
    // The last report was sent one step before.
    scene.run(silence.saturating_sub(STEP * 2));
    assert_eq!(
        scene.places(1),
        std::slice::from_ref(&host),
        "started again too early"
    );
    scene.run(seconds(1));
    assert_eq!(scene.places(1).len(), 2, "not started again elsewhere");
}

/// Guards against the end of independent tasks being taken for that of a silent one beside them.
#[test]
fn the_end_of_one_independent_task_tells_nothing_of_another() {
    let mut scene = Scene::new(2, 2);
    let saving = Step {
        saves: true,
        ..step(2, 8, seconds(60))
    };
    scene.submit(1, "normal", "north", vec![saving]);
    scene.run(seconds(2));
    scene.host(0).heard = false;
    let row = scene.host(1).worker.running[0].clone();
    scene.host(1).end(row.task, row.run, How::Failed);
    scene.run(seconds(4));
    let lost = scene.host(0).worker.running[0].task;
    let state = &scene.ledger.job(1).unwrap().progress.steps[0].tasks[usize::from(lost.index)];
    assert!(matches!(state.state, State::Placed(_)));
}

/// Guards against a gang that waits for the longest lease of a silent agent, although its other
/// members have ended and so it has ended as a whole.
#[test]
fn a_gang_whose_members_have_ended_is_over_on_a_silent_agent_too() {
    let mut scene = Scene::new(3, 3);
    scene.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    scene.run(seconds(1));
    let hosts = scene.places(1);
    scene.hosts.get_mut(&hosts[0]).unwrap().heard = false;
    let other = scene.hosts.get_mut(&hosts[1]).unwrap();
    let row = other.worker.running[0].clone();
    other.end(row.task, row.run, How::Broken);
    scene.run(seconds(3));
    let run = scene.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 2, "the gang was not started again");
}

/// Guards against tasks that wait for leases of a worker that has started again.
#[test]
fn a_new_life_of_a_worker_ends_what_ran_in_the_old_one() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(3))]);
    scene.run(seconds(1));
    scene.host(0).reborn();
    scene.run(STEP * 3);
    let rows = &scene.host(0).worker.running;
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].run, 2);
}

/// Guards against a result that is dropped because its run was taken for lost, and against its
/// confirmation before it is recorded.
#[test]
fn a_late_result_is_recorded_before_it_is_confirmed() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    scene.hosts.get_mut(&host).unwrap().heard = false;
    scene.run(Bounds::default().silence() + seconds(1));
    let task = Task {
        job: 1,
        step: 0,
        index: 0,
    };
    let back = scene.hosts.get_mut(&host).unwrap();
    back.heard = true;
    back.end(task, 1, How::Done);
    scene.report();
    scene.decide();
    assert_eq!(scene.status(1), DONE);
    scene.round();
    assert!(scene.hosts[&host].worker.ended.is_empty(), "not confirmed");
}

/// Guards against new work in a failure domain that is out of service, or on a worker that leaves.
#[test]
fn closed_workers_get_nothing_and_what_has_not_begun_there_is_withdrawn() {
    let mut scene = Scene::new(3, 3);
    scene.out.insert("domain-0".into());
    scene.host(1).worker.about.draining = true;
    for job in 1..=3 {
        scene.submit(job, "normal", "north", vec![step(1, 8, seconds(60))]);
    }
    scene.run(seconds(1));
    let placed: Vec<String> = (1..=3).flat_map(|job| scene.places(job)).collect();
    assert_eq!(placed, ["host-02"]);
    scene.host(2).obeys = false;
    scene.host(2).worker.running.clear();
    scene.out.insert("domain-2".into());
    scene.report();
    scene.decide();
    let directive = &scene.directives["host-02"];
    assert!(directive.start.is_empty());
    assert_eq!(directive.stop.len(), 1);
}

/// Guards against starts by a decider that no longer knows which failure domains are in service.
#[test]
fn nothing_starts_on_an_old_view_of_the_operators_orders() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "north", vec![step(1, 1, seconds(1))]);
    scene.orders_age = seconds(3);
    scene.run(seconds(1));
    assert!(!scene.started(1));
    scene.orders_age = Duration::ZERO;
    scene.run(seconds(2));
    assert_eq!(scene.status(1), DONE);
}

/// Guards against tasks of a cancelled job that go on or begin.
#[test]
fn a_wave_of_cancellations_stops_everything_of_those_jobs() {
    let mut scene = Scene::new(3, 3);
    for job in 1..=20 {
        scene.submit(job, "normal", "north", vec![step(2, 2, seconds(30))]);
    }
    scene.run(seconds(1));
    for job in 1..=20 {
        scene.write(Record::Cancelled { job });
    }
    scene.run(seconds(1));
    for job in 1..=20 {
        assert_eq!(scene.status(job), Some(Status::Ended(Outcome::Cancelled)));
        assert!(scene.places(job).is_empty());
    }
}

/// Guards against new tasks on a worker that its agent does not reach, and against a wait beyond the
/// end of its lease.
#[test]
fn work_on_an_unreachable_worker_moves_when_its_lease_has_ended() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    let worker = &mut scene.hosts.get_mut(&host).unwrap().worker;
    worker.contact = Contact::Silent;
    scene.run(seconds(2));
    assert_eq!(scene.places(1), std::slice::from_ref(&host));
    let worker = &mut scene.hosts.get_mut(&host).unwrap().worker;
    worker.contact = Contact::Lapsed;
    worker.running.clear();
    scene.run(seconds(1));
    assert_ne!(scene.places(1), [host]);
}

/// Guards against a label, a limit per worker or the place of data that is ignored.
#[test]
fn constraints_of_a_step_hold() {
    let mut scene = Scene::new(4, 2);
    scene.host(3).worker.about.labels.push("b".into());
    let labelled = Step {
        label: Some("b".into()),
        ..step(1, 1, seconds(30))
    };
    let apart = Step {
        per_worker: 1,
        ..step(4, 1, seconds(30))
    };
    let near = Step {
        data_rack: Some("rack-1".into()),
        ..step(1, 1, seconds(30))
    };
    scene.submit(1, "normal", "north", vec![labelled]);
    scene.submit(2, "normal", "north", vec![apart]);
    scene.submit(3, "normal", "north", vec![near]);
    scene.run(seconds(1));
    assert_eq!(scene.places(1), ["host-03"]);
    assert_eq!(
        scene.places(2),
        ["host-00", "host-01", "host-02", "host-03"]
    );
    let near = scene.places(3);
    assert!(near == ["host-02"] || near == ["host-03"], "{near:?}");
}

/// Guards against a job that fits no worker and stops the others or the planner.
#[test]
fn a_task_that_fits_no_worker_waits_and_holds_nobody_up() {
    let mut scene = Scene::new(2, 2);
    let huge = Step {
        demand: Demand {
            cpu: 1_000_000,
            ..Demand::default()
        },
        ..step(1, 0, seconds(1))
    };
    scene.submit(1, "normal", "north", vec![huge]);
    scene.submit(2, "normal", "north", vec![step(1, 1, seconds(1))]);
    scene.run(seconds(3));
    assert_eq!(scene.status(1), Some(Status::Queued));
    assert_eq!(scene.status(2), DONE);
}

/// Guards against jobs that have become worthless and hold up those that have not.
#[test]
fn hopeless_jobs_come_last() {
    let mut scene = Scene::new(1, 1);
    scene.submit(1, "normal", "south", vec![step(1, 8, seconds(30))]);
    scene.run(seconds(1));
    scene.submit(
        2,
        "urgent",
        "north",
        vec![step(3, 8, Duration::from_millis(200))],
    );
    scene.policy.workspaces.clear();
    scene.run(seconds(28));
    scene.submit(3, "normal", "north", vec![step(1, 8, seconds(2))]);
    scene.run(seconds(4));
    assert!(scene.started(3));
}

/// Guards against long work that is lost with a worker that has said that it leaves.
#[test]
fn long_runs_move_off_a_leaving_worker_and_short_ones_end_there() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 4, seconds(9))]);
    scene.submit(2, "normal", "north", vec![step(1, 4, seconds(2))]);
    scene.round();
    let leaving = scene.places(1)[0].clone();
    assert_eq!(scene.places(2), std::slice::from_ref(&leaving));
    scene.hosts.get_mut(&leaving).unwrap().worker.about.draining = true;
    scene.run(seconds(1));
    assert_ne!(scene.places(1), std::slice::from_ref(&leaving));
    assert_eq!(scene.places(2), [leaving]);
}

/// Guards against a second run of a gang whose other members are about to break, where no agent was
/// heard of for a while: the log was away, and the first report after it shows an end.
#[test]
fn a_gang_is_not_over_the_moment_one_member_has_ended() {
    let mut scene = Scene::new(4, 4);
    scene.submit(1, "normal", "north", vec![gang(2, 8, seconds(60))]);
    scene.run(seconds(1));
    let hosts = scene.places(1);
    for host in scene.hosts.values_mut() {
        host.heard = false;
    }
    scene.run(seconds(2));
    for (name, host) in &mut scene.hosts {
        host.heard = *name != hosts[1];
    }
    let first = scene.hosts.get_mut(&hosts[0]).unwrap();
    let row = first.worker.running[0].clone();
    first.end(row.task, row.run, How::Stopped);
    scene.run(Duration::from_millis(500));
    let run = scene.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 1, "started again while a member may run");
}

/// Guards against a second run of a task whose start was taken by the next life of the worker, which
/// came up under the same name before its agent knew (soak, seeds 1209 and 1308).
#[test]
fn a_start_that_the_next_life_took_is_stopped_before_the_task_starts_elsewhere() {
    let mut scene = Scene::new(2, 2);
    scene.submit(1, "normal", "north", vec![step(1, 8, seconds(60))]);
    scene.run(seconds(1));
    let host = scene.places(1)[0].clone();
    let worker = scene.hosts.get_mut(&host).unwrap();
    let rows = worker.worker.running.clone();
    worker.reborn();
    worker.worker.running = rows;
    for _ in 0..10 {
        scene.report();
        scene.decide();
        let started = scene.directives.values().any(|own| !own.start.is_empty());
        assert!(
            !started || scene.places(1).is_empty(),
            "{:?}",
            scene.places(1)
        );
        scene.obey();
        scene.pass(STEP);
    }
    let run = scene.ledger.job(1).unwrap().progress.steps[0].tasks[0].run;
    assert_eq!(run, 2, "the task was not started again");
}

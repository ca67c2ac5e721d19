//! Run times that are learned from finished runs.

mod simulation;

use godwitstep_batch::expectation::{
    Class, End, Expectation, Expectations, FinishedRun, Machine, Source,
};
use godwitstep_batch::job::MAX_ESTIMATE;
use godwitstep_batch::job::Step;
use godwitstep_batch::message::EndReason;
use godwitstep_batch::planner::Decision;
use simulation::{COMPLETED, Simulation, gang, seconds, step};
use std::time::Duration;

const CLASS: Class = Class {
    queue: "urgent",
    gang: false,
};
const SEEDS: u64 = 200;

fn run(job: u64, estimate: f64, run_time: f64) -> FinishedRun<'static> {
    FinishedRun {
        class: CLASS,
        source: Source { job, step: 0 },
        estimate: Duration::from_secs_f64(estimate),
        run_time: Duration::from_secs_f64(run_time),
        machines: Vec::new(),
        equals: 1,
        end: End::Done,
    }
}

fn machine(number: usize) -> Machine {
    Machine {
        host: format!("host-{number}").into(),
        hardware: 1,
    }
}

/// Returns the expectations after some runs, given as estimates and run times in seconds.
fn learned(runs: impl IntoIterator<Item = (f64, f64)>) -> Expectations {
    let mut expectations = Expectations::default();
    for (job, (estimate, run_time)) in (0..).zip(runs) {
        expectations.record(&run(job, estimate, run_time));
    }
    expectations.refresh();
    expectations
}

fn expected(expectations: &Expectations, estimate: f64) -> Expectation {
    expectations.expected(CLASS, Duration::from_secs_f64(estimate))
}

/// Returns the logarithm of the typical run time for an estimate.
fn log_typical(expectations: &Expectations, estimate: f64) -> f64 {
    expected(expectations, estimate)
        .typical()
        .as_secs_f64()
        .ln()
}

/// Returns a number with a standard normal distribution.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

/// Returns an estimate that says nothing and the run time in a queue with a median of 4 s, of which 3 of 100 runs take
/// seven times as long.
fn unrelated(rng: &mut fastrand::Rng) -> (f64, f64) {
    let estimate = 2.0 * (0.9 * normal(rng)).exp();
    let tail = if rng.u8(..100) < 3 { 7.0 } else { 1.0 };
    (estimate, 4.0 * (0.5 * normal(rng)).exp() * tail)
}

/// Guards against decisions that a handful of runs changes, and against estimates that change by rounding.
#[test]
fn few_runs_and_good_estimates_leave_estimates_unchanged() {
    let odd = Duration::from_nanos(1_234_567_891);
    let unknown = learned([]).expected(CLASS, odd);
    assert_eq!(unknown, Expectation::of_estimate(odd));
    assert_eq!(unknown.quantile(0.95), odd);
    let few = learned([(1.0, 9.0); 4]);
    assert_eq!(few.expected(CLASS, odd), Expectation::of_estimate(odd));
    let good = learned((1..60).map(|number| (f64::from(number), f64::from(number) * 1.05)));
    assert_eq!(good.expected(CLASS, odd).typical(), odd);
    let other = Class {
        gang: true,
        ..CLASS
    };
    let biased = learned([(1.0, 9.0); 40]);
    assert_eq!(biased.expected(other, odd).typical(), odd, "another class");
}

/// Guards against a queue whose poor estimates decide for long: after 15 runs the typical time is known, and most of the
/// run times lie within the quantiles.
#[test]
fn fifteen_runs_replace_estimates_that_say_nothing() {
    let (mut error, mut estimate_error, mut within) = (0.0, 0.0, 0);
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let expectations = learned((0..15).map(|_| unrelated(&mut rng)));
        let (estimate, run_time) = unrelated(&mut rng);
        error += (log_typical(&expectations, estimate) - 4_f64.ln()).abs();
        estimate_error += (estimate.ln() - 4_f64.ln()).abs();
        let quantile = expected(&expectations, estimate).quantile(0.9);
        within += u64::from(run_time <= quantile.as_secs_f64());
    }
    let (error, estimate_error) = (error / 200.0, estimate_error / 200.0);
    assert!(
        error < 0.3,
        "mean error {error}, of estimates {estimate_error}"
    );
    assert!(
        (160..=195).contains(&within),
        "{within} of {SEEDS} within 90 %"
    );
}

/// Guards against a queue whose estimates are too short by a factor but tell jobs apart.
#[test]
fn a_common_factor_is_learned_and_differences_are_kept() {
    let mut rng = fastrand::Rng::with_seed(1);
    let runs = (0..20).map(|_| {
        let estimate = 5.0 * normal(&mut rng).exp();
        (estimate, 1.9 * estimate * (0.2 * normal(&mut rng)).exp())
    });
    let expectations = learned(runs);
    for estimate in [1.0_f64, 5.0, 20.0] {
        let ratio = log_typical(&expectations, estimate) - estimate.ln();
        assert!((ratio - 1.9_f64.ln()).abs() < 0.25, "{estimate}: {ratio}");
    }
}

/// Guards against a few very long runs, or a single absurd estimate, that spoil the expectation of a queue.
#[test]
fn outliers_have_a_bounded_influence() {
    let usual = (0..30).map(|number| (2.0, 3.0 + f64::from(number % 5) * 0.2));
    let before = log_typical(&learned(usual.clone()), 2.0);
    for outlier in [(2.0, 5_000.0), (2.0, 0.000_1), (2e7, 3.0), (1e-9, 3.0)] {
        let expectations = learned(usual.clone().chain([outlier; 3]));
        let moved = (log_typical(&expectations, 2.0) - before).abs();
        assert!(moved < 0.15, "{outlier:?} moved it by {moved}");
    }
}

/// Guards against invalid estimates or run times that stop the decider or spoil what it knows.
#[test]
fn any_input_gives_a_valid_expectation() {
    let extreme = [0.0, 1e-9, 1.0, 1e4, MAX_ESTIMATE.as_secs_f64(), 1e15];
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut draw = || extreme[rng.usize(..extreme.len())];
        let expectations = learned((0..80).map(|_| (draw().min(3e7), draw())));
        for estimate in extreme.map(|estimate| estimate.min(3e7)) {
            let expectation = expected(&expectations, estimate);
            for time in [
                expectation.typical(),
                expectation.quantile(0.999),
                expectation.quantile(f64::NAN.max(0.0)),
                expectation.remaining(Duration::from_secs(1 << 40)),
                expectation.on_worker(2.0).remaining(Duration::ZERO),
            ] {
                assert!(time <= MAX_ESTIMATE, "seed {seed}: {time:?}");
            }
        }
    }
}

/// Guards against queues without estimates that stay unknown.
#[test]
fn steps_without_estimates_get_the_typical_time_of_their_class() {
    let expectations = learned([(0.0, 30.0); 30]);
    let typical = expected(&expectations, 0.0).typical().as_secs_f64();
    assert!((20.0..31.0).contains(&typical), "{typical}");
    assert_eq!(
        expected(&expectations, 2.0).typical(),
        Duration::from_secs(2)
    );
}

/// Guards against stopped runs that make a queue seem faster than it is: they only show that runs take longer.
#[test]
fn stopped_runs_only_raise_the_expectation() {
    let mut expectations = learned([(2.0, 4.0); 20]);
    let before = log_typical(&expectations, 2.0);
    let stopped = |job, run_time| FinishedRun {
        end: End::Stopped,
        ..run(job, 2.0, run_time)
    };
    for job in 100..120 {
        assert_eq!(expectations.record(&stopped(job, 0.5)), None);
    }
    expectations.refresh();
    assert!((log_typical(&expectations, 2.0) - before).abs() < 1e-9);
    for job in 200..220 {
        expectations.record(&stopped(job, 20.0));
    }
    expectations.refresh();
    assert!(log_typical(&expectations, 2.0) > before);
}

/// Guards against predicted ends of overdue runs that stay at once, or that are forgotten.
#[test]
fn an_overdue_run_is_expected_to_take_longer_the_longer_it_has_run() {
    let mut rng = fastrand::Rng::with_seed(3);
    let expectation = expected(&learned((0..40).map(|_| unrelated(&mut rng))), 4.0);
    let remaining = |elapsed| expectation.remaining(Duration::from_secs(elapsed));
    assert!((remaining(0).as_secs_f64() / expectation.typical().as_secs_f64() - 1.0).abs() < 0.01);
    assert!(remaining(2) < remaining(0));
    assert!(remaining(40) > remaining(20) && remaining(20) > remaining(10));
}

/// Guards against workers that are taken for as fast or slow as they once were.
#[test]
fn a_change_of_a_workers_speed_is_tracked_within_ten_runs() {
    let mut expectations = Expectations::default();
    let mut job = 0;
    let mut run_on_all = |expectations: &mut Expectations, runs: u32, slowdown: f64| {
        for _ in 0..runs {
            job += 1;
            for number in [1, 2, 3, 0] {
                let run_time = if number == 0 { slowdown } else { 1.0 };
                expectations.record(&FinishedRun {
                    machines: vec![machine(number)],
                    equals: 4,
                    ..run(job, 1.0, run_time)
                });
            }
        }
    };
    run_on_all(&mut expectations, 10, 1.4);
    let relative = |expectations: &Expectations| {
        expectations.log_slowdown("host-0", 1) - expectations.log_slowdown("host-1", 1)
    };
    let slow = relative(&expectations);
    assert!((0.2..0.4).contains(&slow), "{slow}");
    assert!(
        expectations.log_slowdown("host-0", 2).abs() < 1e-9,
        "other hardware"
    );
    run_on_all(&mut expectations, 10, 0.6);
    let fast = relative(&expectations);
    assert!((-0.6..-0.25).contains(&fast), "{fast}");
    let outlier = FinishedRun {
        machines: vec![machine(1)],
        equals: 4,
        ..run(0, 1.0, 1.0)
    };
    expectations.record(&FinishedRun {
        run_time: Duration::from_secs(7),
        ..outlier
    });
    let delayed = expectations.log_slowdown("host-1", 1);
    assert!(delayed < 0.1, "one task counted {delayed}");
}

/// Guards against a cluster that runs only gangs and never learns which workers are slow.
#[test]
fn gangs_show_which_worker_is_slow() {
    let class = Class {
        gang: true,
        ..CLASS
    };
    let mut expectations = Expectations::default();
    let mut rng = fastrand::Rng::with_seed(5);
    for job in 0..400 {
        let first = rng.usize(..8);
        let members = [first, (first + 1 + rng.usize(..7)) % 8];
        let run_time = if members.contains(&0) { 2.0 } else { 1.0 };
        expectations.record(&FinishedRun {
            class,
            machines: members.map(machine).into(),
            ..run(job, 1.0, run_time * (0.1 * normal(&mut rng)).exp())
        });
        expectations.refresh();
    }
    let slowdown = |number| expectations.log_slowdown(&format!("host-{number}"), 1);
    let others = (1..8).map(slowdown).fold(f64::MIN, f64::max);
    assert!(slowdown(0) > others + 0.3, "{} and {others}", slowdown(0));
}

/// Returns a cluster of two workers that has run 20 jobs of a queue, which all took 2 s, with these estimates.
fn experienced(queue: &str, estimate: impl Fn(u64) -> f64) -> Simulation {
    let mut sim = Simulation::new(2, 2);
    for job in 100..120 {
        let estimate = Duration::from_secs_f64(estimate(job));
        sim.run_times.insert(job, seconds(2));
        sim.submit(job, queue, "south", vec![step(1, 4, estimate)]);
    }
    sim.run_for(seconds(30));
    assert!((100..120).all(|job| sim.status(job) == COMPLETED));
    sim
}

/// Guards against urgent jobs that stop runs which are about to end, because their estimates are far too long.
#[test]
fn an_urgent_job_waits_for_runs_that_are_known_to_end_soon() {
    let mut sim = experienced("normal", |_| 60.0);
    for job in 1..=2 {
        sim.run_times.insert(job, seconds(2));
        sim.submit(job, "normal", "south", vec![step(1, 8, seconds(60))]);
    }
    sim.run_for(seconds(1));
    assert_eq!(sim.hosts_running(1).len() + sim.hosts_running(2).len(), 2);
    sim.submit(3, "urgent", "north", vec![gang(1, 8, seconds(10))]);
    // Brings the workspace beyond its guarantee of 16 accelerators, which would limit the wait.
    sim.submit(4, "urgent", "north", vec![gang(3, 8, seconds(10))]);
    sim.run_for(Duration::from_millis(1_500));
    let preempted = |decision: &Decision| matches!(decision, Decision::Preempted { by: 3, .. });
    assert!(!sim.has_decision(preempted), "the runs end within 2 s");
}

/// Guards against jobs that wait behind later ones because their estimates, which say nothing, are longer.
#[test]
fn jobs_of_a_queue_with_useless_estimates_run_in_the_order_of_arrival() {
    let estimates = [0.3, 0.6, 2.0, 4.0, 9.0, 18.0];
    let mut sim = experienced("normal", |job| estimates[usize::try_from(job % 6).unwrap()]);
    let submit = |sim: &mut Simulation, job, estimate| {
        sim.run_times.insert(job, seconds(2));
        sim.submit(job, "normal", "south", vec![step(2, 8, estimate)]);
        sim.run_for(Duration::from_millis(600));
    };
    submit(&mut sim, 1, seconds(2));
    submit(&mut sim, 2, seconds(9));
    submit(&mut sim, 3, Duration::from_millis(300));
    while !sim.started(2) && !sim.started(3) {
        sim.round();
    }
    assert!(sim.started(2), "the shorter estimate was preferred");
}

/// Returns the typical run time that the planner expects of a job's first step.
fn planned(sim: &Simulation, job: u64) -> Duration {
    let job = &sim.ledger.job(job).unwrap().job;
    sim.planner.expected_run_time(job, &job.steps[0]).typical()
}

/// Guards against placements whose expected time is not what operators find in the log.
#[test]
fn placements_name_the_expected_run_time() {
    let mut sim = experienced("normal", |_| 1.0);
    sim.submit(1, "normal", "south", vec![step(1, 8, seconds(1))]);
    sim.round();
    let expected = sim.decisions.iter().find_map(|decision| match decision {
        Decision::Placed { task, expected, .. } if task.job == 1 => Some(*expected),
        _ => None,
    });
    assert_eq!(expected, Some(planned(&sim, 1)));
    assert!(
        expected > Some(Duration::from_millis(1_700)),
        "{expected:?}"
    );
}

/// Guards against expectations that a hung worker, or a job that always fails, spoils.
#[test]
fn runs_that_stalled_or_failed_are_not_learned_from() {
    let mut sim = Simulation::new(2, 2);
    for job in 1..=20 {
        let saving = Step {
            checkpointable: true,
            ..step(1, 0, seconds(4))
        };
        sim.submit(job, "normal", "south", vec![saving]);
    }
    sim.run_for(seconds(2));
    for progress in [false, true] {
        (0..2).for_each(|number| sim.host(number).makes_progress = progress);
        sim.run_for(Duration::from_millis(1_500));
    }
    sim.run_for(seconds(10));
    let completed = (1..=20).filter(|job| sim.status(*job) == COMPLETED).count();
    assert_eq!(completed, 20, "the runs go on");
    assert_eq!(planned(&sim, 20), seconds(4));
    for job in 21..=40 {
        sim.submit(job, "normal", "south", vec![step(1, 0, seconds(4))]);
    }
    sim.run_for(seconds(1));
    for number in 0..2 {
        let running = sim.host(number).worker.running.clone();
        for run in running {
            sim.host(number)
                .end_run(run.task, run.run, EndReason::Failed);
        }
    }
    sim.run_for(seconds(1));
    assert_eq!(planned(&sim, 20), seconds(4));
}

/// Guards against workers without history that are taken for as fast as the fastest ones, because the first tasks of a
/// step to end, with which the others are compared, are those of fast workers.
#[test]
fn a_worker_without_history_counts_as_an_average_one() {
    let mut expectations = Expectations::default();
    for job in 0..10 {
        for number in 0..8 {
            let run_time = if number < 2 { 0.55 } else { 1.2 };
            expectations.record(&FinishedRun {
                machines: vec![machine(number)],
                equals: 8,
                ..run(job, 1.0, run_time)
            });
        }
    }
    let slowdown = |host: &str| expectations.log_slowdown(host, 1);
    assert!(slowdown("host-0") < -0.3 && slowdown("host-7") > 0.1);
    let known = (0..8).map(|number| slowdown(&format!("host-{number}")));
    assert!((known.sum::<f64>() / 8.0).abs() < 1e-9);
    assert!(slowdown("host-8").abs() < 1e-9);
}

/// Guards against a class that forgets its typical time because the last tasks of its steps were stopped, or because many
/// runs in a row were.
#[test]
fn stopped_runs_do_not_replace_completed_ones() {
    let mut expectations = Expectations::default();
    let stopped = |job, run_time| FinishedRun {
        end: End::Stopped,
        equals: 39,
        ..run(job, 2.0, run_time)
    };
    for job in 0..8 {
        for number in 0..38 {
            expectations.record(&FinishedRun {
                machines: vec![machine(number)],
                equals: 39,
                ..run(job, 2.0, 6.0)
            });
        }
    }
    expectations.refresh();
    let before = expected(&expectations, 2.0).typical();
    assert!(before > Duration::from_secs(4), "{before:?}");
    for job in 0..8 {
        expectations.record(&stopped(job, 7.0));
    }
    expectations.refresh();
    assert_eq!(expected(&expectations, 2.0).typical(), before);
    for job in 100..300 {
        expectations.record(&stopped(job, 100.0));
        expectations.refresh();
        let typical = expected(&expectations, 2.0).typical();
        assert!(typical >= before, "{typical:?} after job {job}");
    }
}

/// Guards against memory that grows with the steps of which less than half of the tasks have ended: those of the oldest
/// ones are no longer compared, those of the newest ones are.
#[test]
fn tasks_that_wait_to_be_compared_are_bounded() {
    const STEPS: usize = 600;
    let mut expectations = Expectations::default();
    let mut run_task = |step: usize, number: usize, run_time| {
        expectations.record(&FinishedRun {
            // The first machine of a step is compared by four tasks, all of them slow.
            machines: vec![machine(64 * step + number.saturating_sub(3))],
            equals: 128,
            ..run(u64::try_from(step).unwrap(), 1.0, run_time)
        });
        expectations.log_slowdown(&format!("host-{}", 64 * step), 1)
    };
    for step in 0..STEPS {
        for number in 0..63 {
            run_task(step, number, if number < 4 { 2.0 } else { 1.0 });
        }
    }
    let oldest = run_task(0, 63, 1.0);
    assert!(oldest.abs() < 1e-9, "compared: {oldest}");
    let newest = run_task(STEPS - 1, 63, 1.0);
    assert!(newest > 0.1, "not compared: {newest}");
}

/// Guards against a successor without the newest samples because the log refused their record, and none has come since.
#[test]
fn a_record_that_was_not_stored_is_written_again() {
    let mut sim = experienced("normal", |_| 1.0);
    let save = |sim: &mut Simulation| {
        sim.now += seconds(2);
        sim.planner.save_expectations(sim.now, 32 * 1024).is_some()
    };
    assert!(save(&mut sim));
    assert!(save(&mut sim), "the record was not stored");
    sim.planner.expectations_stored();
    assert!(!save(&mut sim), "nothing new has been learned");
}

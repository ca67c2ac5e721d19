//! Arrivals of a scenario's jobs, generated before a run so that all policies get the same work.

use super::scenario::{Scenario, Stream};
use godwitstep_core::resource::Job;
use std::time::Duration;

/// A job and the time at which it arrives.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub at: Duration,
    pub spec: Job,
    /// True run time.
    pub run_time: Duration,
}

/// Generates all arrivals of a scenario, ordered by time.
pub(super) fn generate(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    // The duration of a scenario is far below the 2^52 s up to which a float is exact.
    #[allow(clippy::cast_precision_loss)]
    let end = scenario.duration_s as f64;
    for stream in &scenario.streams {
        let mut rng = rng.fork();
        let mut at = exponential(&mut rng, stream.every_s);
        while at < end {
            for _ in 0..stream.burst {
                arrivals.push(arrival(stream, at, &mut rng));
            }
            at += exponential(&mut rng, stream.every_s);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn arrival(stream: &Stream, at: f64, rng: &mut fastrand::Rng) -> Arrival {
    let run_time = stream.run_p50_s * (stream.run_spread.ln() * normal(rng)).exp();
    let [low, high] = stream.declared;
    let declared = run_time * (low + (high - low) * rng.f64());
    let mut spec = Job::new(stream.workspace.clone(), stream.kind.clone(), 1, 1)
        .run(Duration::from_secs_f64(declared.max(1.0)))
        .checkpointable(stream.checkpointable)
        .preemptible(stream.preemptible)
        .idempotent(stream.idempotent);
    spec.shape = stream.shape;
    spec.deadline_s = stream.deadline_s;
    Arrival {
        at: Duration::from_secs_f64(at),
        spec,
        run_time: Duration::from_secs_f64(run_time.max(1.0)),
    }
}

/// Draws from the exponential distribution by inverting its distribution function.
fn exponential(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}

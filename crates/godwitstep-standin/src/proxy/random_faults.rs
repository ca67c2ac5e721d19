//! Injects random faults, the same ones for the same seed.

use super::Shared;
use super::fault::{Control, DirectionControl};
use std::time::Duration;

/// Frequency and duration of random faults. Each time is drawn uniformly between 0.5 and 1.5 times
/// its mean.
#[derive(Debug, Clone, Copy)]
pub struct RandomFaults {
    /// Mean time from the end of a fault to the start of the next one.
    pub mean_interval: Duration,
    /// Mean duration of a fault.
    pub mean_duration: Duration,
}

/// Injects and ends random faults until the task is dropped.
pub(super) async fn run(shared: &Shared, settings: RandomFaults, mut rng: fastrand::Rng) {
    loop {
        smol::Timer::after(settings.mean_interval.mul_f64(0.5 + rng.f64())).await;
        let fault = draw_fault(&mut rng);
        shared.control(&fault).await;
        smol::Timer::after(settings.mean_duration.mul_f64(0.5 + rng.f64())).await;
        shared.control(&Control::heal()).await;
    }
}

/// Draws the kind of a fault and its parameters.
fn draw_fault(rng: &mut fastrand::Rng) -> Control {
    let direction = match rng.u8(..4) {
        0 => DirectionControl {
            delay_ms: Some(rng.u64(1..300)),
            jitter_ms: Some(rng.u64(1..100)),
            ..DirectionControl::default()
        },
        1 => DirectionControl {
            rate: Some(rng.u64(100..20_000)),
            ..DirectionControl::default()
        },
        2 => DirectionControl {
            stalled: Some(true),
            ..DirectionControl::default()
        },
        _ => DirectionControl {
            reset_after: Some(rng.u64(1..20_000)),
            ..DirectionControl::default()
        },
    };
    let mut control = Control::default();
    match rng.u8(..5) {
        0 => control.cut = Some(true),
        1 => control.silence = true,
        2 => control.forward = direction,
        3 => control.backward = direction,
        _ => {
            control.forward = direction;
            control.backward = direction;
        }
    }
    control
}

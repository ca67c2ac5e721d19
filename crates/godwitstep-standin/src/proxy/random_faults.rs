//! Random faults, the same for the same seed.

use super::Shared;
use super::fault::{Control, DirectionControl};
use std::time::Duration;

/// How often a random fault starts and how long it lasts. Each time is drawn between half and one
/// and a half of the mean.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    /// Mean time between the end of a fault and the next one.
    pub every: Duration,
    /// Mean length of a fault.
    pub length: Duration,
}

pub(super) async fn run(shared: &Shared, script: Script, mut rng: fastrand::Rng) {
    loop {
        smol::Timer::after(script.every.mul_f64(0.5 + rng.f64())).await;
        let fault = draw(&mut rng);
        shared.control(&fault).await;
        smol::Timer::after(script.length.mul_f64(0.5 + rng.f64())).await;
        shared.control(&Control::heal()).await;
    }
}

/// Draws one kind of fault with its figures.
fn draw(rng: &mut fastrand::Rng) -> Control {
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

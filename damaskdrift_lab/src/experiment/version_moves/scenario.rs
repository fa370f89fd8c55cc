//! Seeded scenarios of version moves: load, faults and outages.

use derive_more::Display;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Whether the new version is good.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Class {
    /// Serves with a low error rate and the usual latency.
    #[display("good")]
    Good,
    /// Good, but slow while its upstreams are in a cold start.
    #[display("good but cold")]
    GoodButCold,
    /// Fails requests or serves them slowly.
    #[display("bad")]
    Bad,
}

/// When or where a bad version misbehaves.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Onset {
    /// From its first request.
    #[display("at once")]
    AtOnce,
    /// From [`Scenario::onset_at`] on.
    #[display("late")]
    Late,
    /// While the load is high.
    #[display("under load")]
    UnderLoad,
    /// On the requests of [`Scenario::bad_route`] only.
    #[display("on one route")]
    OneRoute,
}

/// How a bad version misbehaves.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// Fails this share of its requests.
    #[display("fails {:.0}%", 100.0 * _0)]
    Fails(f64),
    /// Multiplies latency by this factor.
    #[display("{_0} times as slow")]
    Slow(f64),
}

/// One move with its load and faults; times are in milliseconds from the start of the move.
#[derive(Clone, Debug, Display)]
#[display(
    "move {index} ({class}, {fault} {onset}, {rate:.0} requests/s, {} s, outage {} s, driver {driver_fault})",
    deadline / 1_000, (outage.1 - outage.0) / 1_000
)]
pub struct Scenario {
    /// Index of the move within the experiment.
    pub index: usize,
    /// Seed of the simulation of this move.
    pub seed: u64,
    /// Whether the new version is good.
    pub class: Class,
    /// When or where a bad version misbehaves.
    pub onset: Onset,
    /// Start of a late fault; unused for other onsets.
    pub onset_at: u64,
    /// How a bad version misbehaves.
    pub fault: Fault,
    /// Index of the route on which a bad version misbehaves; unused for other onsets.
    pub bad_route: usize,
    /// Requests per second at low load.
    pub rate: f64,
    /// Time by which the move must be completed.
    pub deadline: u64,
    /// Start and end of each period in which the new version's upstreams are cold.
    pub cold_periods: Vec<(u64, u64)>,
    /// Delay with which upstreams report the start or end of a cold period.
    pub cold_report_lag: u64,
    /// Start and end of the key-value service's outage; equal when there is none.
    pub outage: (u64, u64),
    /// Fault of the instance that drives the move.
    pub driver_fault: DriverFault,
    /// Time of the driver fault.
    pub driver_fault_at: u64,
}

/// Fault of the instance that drives a move.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DriverFault {
    /// Runs until the end.
    #[display("lives")]
    None,
    /// Is killed and never returns.
    #[display("is killed")]
    Killed,
    /// Pauses for longer than its lease TTL, then tries to write its last decision.
    #[display("is paused")]
    Paused,
}

impl Scenario {
    /// Creates the scenario of a move; equal seeds and indices give equal scenarios.
    pub fn new(seed: u64, index: usize) -> Self {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        let class = match index % 10 {
            0..5 => Class::Bad,
            5 => Class::GoodButCold,
            _ => Class::Good,
        };
        let deadline = rng.random_range(600_000..1_800_000);
        let fraction_of_deadline = |low: f64, high: f64, rng: &mut ChaCha8Rng| {
            (rng.random_range(low..high) * deadline as f64) as u64
        };
        let onset = [Onset::AtOnce, Onset::Late, Onset::UnderLoad, Onset::OneRoute][index / 10 % 4];
        let severity = rng.random_range(0..3);
        let fault = if rng.random_bool(0.5) {
            Fault::Fails([0.2, 0.5, 1.0][severity])
        } else {
            Fault::Slow([3.0, 5.0, 8.0][severity])
        };
        let outage_start = fraction_of_deadline(0.02, 0.4, &mut rng);
        let drawn_length = fraction_of_deadline(0.05, 0.25, &mut rng);
        let outage_length = if index.is_multiple_of(3) { drawn_length } else { 0 };
        let mut cold_periods = vec![(0, 10_000)];
        if class == Class::GoodButCold {
            cold_periods = vec![(0, rng.random_range(30_000..180_000))];
            for _ in 0..2 {
                let start = fraction_of_deadline(0.1, 0.5, &mut rng);
                cold_periods.push((start, start + rng.random_range(20_000..60_000)));
            }
        }
        let driver_fault = match rng.random_range(0..10) {
            0..2 => DriverFault::Killed,
            2..4 => DriverFault::Paused,
            _ => DriverFault::None,
        };
        Self {
            index,
            seed: rng.random(),
            class,
            onset,
            onset_at: fraction_of_deadline(0.05, 0.35, &mut rng),
            fault,
            bad_route: rng.random_range(0..3),
            rate: rng.random_range(10.0..40.0),
            deadline,
            cold_periods,
            cold_report_lag: rng.random_range(0..900),
            outage: (outage_start, outage_start + outage_length),
            driver_fault,
            driver_fault_at: fraction_of_deadline(0.02, 0.4, &mut rng),
        }
    }

    /// Returns whether the new version is bad.
    pub fn is_bad(&self) -> bool {
        self.class == Class::Bad
    }
}

//! Seeded scenarios of moves.

use derive_more::Display;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Whether the new version is good.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Class {
    /// Good.
    #[display("good")]
    Good,
    /// Good, and slow for as long as its upstreams are cold.
    #[display("good but cold")]
    GoodButCold,
    /// Bad.
    #[display("bad")]
    Bad,
}

/// When or where a bad version misbehaves.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Onset {
    /// From its first request.
    #[display("at once")]
    AtOnce,
    /// From some time on.
    #[display("late")]
    Late,
    /// While the load is high.
    #[display("under load")]
    UnderLoad,
    /// On one route.
    #[display("on one route")]
    OneRoute,
}

/// How a bad version misbehaves.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// Fails this share of its requests.
    #[display("fails {:.0}%", 100.0 * _0)]
    Fails(f64),
    /// Takes this many times as long.
    #[display("{_0} times as slow")]
    Slow(f64),
}

/// One move with its load and faults; times are in milliseconds from its start.
#[derive(Clone, Debug, Display)]
#[display(
    "move {index} ({class}, {fault} {onset}, {rate:.0} requests/s, {} s, outage {} s, driver {driver})",
    deadline / 1_000, (outage.1 - outage.0) / 1_000
)]
pub struct Scenario {
    /// Number of the move.
    pub index: usize,
    /// Seed of its load.
    pub seed: u64,
    /// Whether the new version is good.
    pub class: Class,
    /// When a bad version misbehaves.
    pub onset: Onset,
    /// Time of a late fault.
    pub onset_at: u64,
    /// How a bad version misbehaves.
    pub fault: Fault,
    /// Route of a fault on one route.
    pub bad_route: usize,
    /// Requests a second at low load.
    pub rate: f64,
    /// Deadline.
    pub deadline: u64,
    /// Spells in which the new version's upstreams are cold.
    pub cold: Vec<(u64, u64)>,
    /// Time after which a change of coldness is reported.
    pub cold_lag: u64,
    /// Start and end of the key-value outage; equal when there is none.
    pub outage: (u64, u64),
    /// What happens to the driver.
    pub driver: DriverFault,
    /// When it happens.
    pub driver_fault_at: u64,
}

/// What happens to the driver of a move.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DriverFault {
    /// Nothing.
    #[display("lives")]
    None,
    /// It is killed.
    #[display("is killed")]
    Killed,
    /// It is paused for longer than its lease.
    #[display("is paused")]
    Paused,
}

impl Scenario {
    /// Creates a move of an experiment.
    pub fn new(seed: u64, index: usize) -> Self {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        let class = match index % 10 {
            0..5 => Class::Bad,
            5 => Class::GoodButCold,
            _ => Class::Good,
        };
        let deadline = rng.random_range(600_000..1_800_000);
        let part = |low: f64, high: f64, rng: &mut ChaCha8Rng| {
            (rng.random_range(low..high) * deadline as f64) as u64
        };
        let onset = [Onset::AtOnce, Onset::Late, Onset::UnderLoad, Onset::OneRoute][index / 10 % 4];
        let strength = rng.random_range(0..3);
        let fault = if rng.random_bool(0.5) {
            Fault::Fails([0.2, 0.5, 1.0][strength])
        } else {
            Fault::Slow([3.0, 5.0, 8.0][strength])
        };
        let outage_start = part(0.02, 0.4, &mut rng);
        let outage_length = part(0.05, 0.25, &mut rng);
        let outage = if index.is_multiple_of(3) { outage_length } else { 0 };
        let mut cold = vec![(0, 10_000)];
        if class == Class::GoodButCold {
            cold = vec![(0, rng.random_range(30_000..180_000))];
            for _ in 0..2 {
                let start = part(0.1, 0.5, &mut rng);
                cold.push((start, start + rng.random_range(20_000..60_000)));
            }
        }
        let driver = match rng.random_range(0..10) {
            0..2 => DriverFault::Killed,
            2..4 => DriverFault::Paused,
            _ => DriverFault::None,
        };
        Self {
            index,
            seed: rng.random(),
            class,
            onset,
            onset_at: part(0.05, 0.35, &mut rng),
            fault,
            bad_route: rng.random_range(0..3),
            rate: rng.random_range(10.0..40.0),
            deadline,
            cold,
            cold_lag: rng.random_range(0..900),
            outage: (outage_start, outage_start + outage),
            driver,
            driver_fault_at: part(0.02, 0.4, &mut rng),
        }
    }

    /// Returns whether the new version is bad.
    pub fn is_bad(&self) -> bool {
        self.class == Class::Bad
    }
}

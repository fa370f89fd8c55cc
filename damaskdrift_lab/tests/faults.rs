//! A short run of the faults experiment with a fixed seed.

use std::process::Command;

// Guards against breaches of the guarantees under single faults and pairs of faults, which the seed
// makes reproducible.
#[test]
fn guarantees_hold_under_seeded_faults() {
    let output = Command::new(env!("CARGO_BIN_EXE_damaskdrift_lab"))
        .args(["experiment", "faults", "--seed", "7", "--minutes", "0.6"])
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}\n{stderr}");
    assert!(stdout.contains("faults: ok with seed 7"), "{stdout}");
}

//! Test of the experiment `overhead`.

use std::process::Command;

/// Guards against an experiment that fails or leaves out a measure. The figures of a debug build on
/// a shared machine are not checked.
#[test]
fn overhead_prints_every_measure() {
    let args = ["experiment", "overhead", "--rate", "50", "--seconds", "1", "--streams", "20"];
    let binary = env!("CARGO_BIN_EXE_damaskdrift_lab");
    let output = Command::new(binary).args(args).output().expect("the binary starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}{stderr}");
    for (name, target) in [
        ("added first token p50", "target 1.00 ms"),
        ("added first token p99", "target 5.00 ms"),
        ("resident memory at 20 open streams", "target 64.00 MB"),
    ] {
        let line = stdout.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        let has_verdict = line.ends_with(", met") || line.ends_with(", MISSED");
        assert!(line.contains(target) && has_verdict, "{name}: {stdout}");
    }
}

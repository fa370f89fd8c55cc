//! Test of the quickstart that the README describes.

use std::process::Command;

/// Guards against a quickstart that fails, and against a call that does not run exactly once.
#[test]
fn quickstart_ends_with_ok() {
    let binary = env!("CARGO_BIN_EXE_damaskdrift_lab");
    let output = Command::new(binary).arg("quickstart").output().expect("the binary starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}{stderr}");
    assert_eq!(stdout.lines().last(), Some("quickstart: ok"), "{stdout}{stderr}");
    assert!(stdout.contains("120 keys ran 1 times"), "{stdout}");
}

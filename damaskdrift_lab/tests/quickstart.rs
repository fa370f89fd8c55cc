//! Test of the quickstart that the README shows.

use std::process::Command;

/// Guards against a quickstart that fails or shows a call that ran twice.
#[test]
fn quickstart_ends_with_ok() {
    let binary = env!("CARGO_BIN_EXE_damaskdrift_lab");
    let output = Command::new(binary).arg("quickstart").output().expect("the binary starts");
    let shown = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{shown}{errors}");
    assert_eq!(shown.lines().last(), Some("quickstart: ok"), "{shown}{errors}");
    assert!(shown.contains("120 keys ran 1 times"), "{shown}");
}

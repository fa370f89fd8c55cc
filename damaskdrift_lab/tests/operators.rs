//! Process tests of the operators' commands and of the operators' listener.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

use damaskdrift_lab::harness::fleet::{KEY, MODEL, WORKSPACE};
use damaskdrift_lab::harness::instance::OPERATOR_TOKEN;
use damaskdrift_lab::harness::{Call, Fleet, binary};
use hyper::Method;
use rstest::rstest;

/// Runs a command against the first instance, with the address and token in the environment.
fn command(fleet: &Fleet, args: &[&str]) -> Output {
    let instance = &fleet.instances[0];
    Command::new(binary::find(binary::DAMASKDRIFT).expect("the binary is built"))
        .args(args)
        .env("DAMASKDRIFT_INSTANCE", instance.listen.operators.to_string())
        .env("DAMASKDRIFT_TOKEN", OPERATOR_TOKEN)
        .output()
        .expect("the command runs")
}

/// Runs a command and returns its exit code and its standard output and error.
fn run(fleet: &Fleet, args: &[&str]) -> (i32, String) {
    let output = command(fleet, args);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().expect("the command is not ended by a signal");
    (code, text(&output.stdout) + &text(&output.stderr))
}

async fn start() -> Fleet {
    let builder = Fleet::builder().with_failure_domains(&["a", "b"]).with_instances(2);
    builder.with_engines(2).start().await.expect("the fleet starts")
}

/// Guards against a document that changes when it is shown and applied again, a revision conflict
/// that goes undetected, and a failure domain that stays in service after `domain out` succeeded.
#[tokio::test]
async fn conflicting_changes_are_rejected_with_the_accepted_change() {
    let fleet = start().await;
    let (code, shown) = run(&fleet, &["template", "show"]);
    assert_eq!(code, 0, "{shown}");
    let file = tempfile::NamedTempFile::new().expect("a file can be created");
    std::fs::write(file.path(), &shown).expect("the file can be written");
    let path = file.path().to_str().expect("the path is UTF-8");

    let (code, text) = run(&fleet, &["domain", "out", "b", "--author", "ann"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("confirmed by 2 instances"), "{text}");
    assert!(run(&fleet, &["domain", "status"]).1.contains("b  out"));

    let (code, text) = run(&fleet, &["template", "apply", path]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("[2002]") && text.contains("\"domain out b\" by ann"), "{text}");
    assert!(run(&fleet, &["domain", "status"]).1.contains("b  out"));

    let (_, shown) = run(&fleet, &["template", "show"]);
    std::fs::write(file.path(), &shown).expect("the file can be written");
    let (before, _) = fleet.document().await.expect("the document can be read");
    let (code, text) = run(&fleet, &["template", "apply", path]);
    assert_eq!(code, 0, "{text}");
    let (after, _) = fleet.document().await.expect("the document can be read");
    assert!(before.secret == after.secret, "the secret was lost");
    assert_eq!((before.upstreams, before.workspaces), (after.upstreams, after.workspaces));
    let (_, history) = run(&fleet, &["template", "history"]);
    assert!(history.contains("ann: domain out b"), "{history}");
}

/// Guards against invalid input that is accepted or rejected without a hint how to correct it.
#[rstest]
#[case::unknown_domain(&["domain", "out", "x"], 1, "declared are: a, b")]
#[case::invalid_domain(&["domain", "out", "../fleet"], 2, "see 'domain status'")]
#[case::missing_argument(&["domain", "out"], 2, "takes 1 arguments (ID)")]
#[case::unknown_option(&["status", "--x"], 2, "--help")]
#[case::unknown_command(&["frobnicate"], 2, "see 'damaskdrift --help'")]
#[case::invalid_address(&["status", "--instance", "here"], 2, "is not IP:PORT")]
#[case::unreachable_instance(&["status", "--instance", "127.0.0.1:1"], 1, "name another instance")]
#[case::missing_file(&["check", "/nonexistent"], 1, "cannot access /nonexistent")]
#[case::no_engine_of_the_version(
    &["move", "start", "m", "--workspace", WORKSPACE, "--model", MODEL, "--version", "v9",
      "--within", "1m"], 1, "add one with 'damaskdrift template apply'")]
#[case::invalid_duration(
    &["move", "start", "m", "--workspace", WORKSPACE, "--model", MODEL, "--within", "soon"],
    2, "is not a time such as 90s")]
#[case::unknown_move(&["move", "cancel", "m"], 1, "see 'damaskdrift move status'")]
#[tokio::test]
async fn invalid_input_is_rejected_with_a_hint(
    #[case] args: &[&str],
    #[case] want: i32,
    #[case] hint: &str,
) {
    let fleet = Fleet::builder().with_failure_domains(&["a", "b"]).with_instances(2);
    let fleet = fleet.with_engines(1).start().await.expect("the fleet starts");
    let (_, before) = fleet.document().await.expect("the document can be read");
    let (code, text) = run(&fleet, args);
    assert_eq!(code, want, "{text}");
    assert!(text.contains(hint), "{text}");
    let (_, after) = fleet.document().await.expect("the document can be read");
    assert_eq!(before, after, "the document was changed");
}

/// Guards against a listener that serves requests without the token, or requires the token for
/// health checks and metrics.
#[tokio::test]
async fn listener_requires_the_token() {
    let fleet = Fleet::builder().start().await.expect("the fleet starts");
    let address = fleet.instances[0].listen.operators;
    for (method, path) in [(Method::GET, "/v1/fleet"), (Method::PUT, "/v1/fleet?expected=0")] {
        for token in ["", "wrong", "operator-toke", "operator-token2"] {
            let call = Call::new(method.clone(), address, path).with_bearer(token);
            let response = fleet.http.send(call).await.expect("the instance responds");
            assert_eq!(response.status, 401, "{token:?}");
        }
        let without_token = Call::new(method, address, path);
        assert_eq!(
            fleet.http.send(without_token).await.expect("the instance responds").status,
            401
        );
    }
    for path in ["/metrics", "/healthz", "/readyz"] {
        let call = Call::get(address, path);
        assert_eq!(fleet.http.send(call).await.expect("the instance responds").status, 200);
    }
}

/// Guards against a check that stops at the first error or does not report the line.
#[tokio::test]
async fn check_reports_all_errors_with_lines() {
    let fleet = Fleet::builder().start().await.expect("the fleet starts");
    let text = "[failure_domains.a]\nstate = \"outt\"\n[workspaces.mill]\nkey_hash = 5\n\
                template = \"x\"\n[upstreams.e1]\naddres = \"127.0.0.1:9\"\n[bogus]\n";
    let file = tempfile::NamedTempFile::new().expect("a file can be created");
    std::fs::write(file.path(), text).expect("the file can be written");
    let (code, text) = run(&fleet, &["check", file.path().to_str().expect("the path is UTF-8")]);
    assert_eq!(code, 1, "{text}");
    for error in [
        "line 2: failure_domains.a.state",
        "line 4: workspaces.mill.key_hash",
        "line 7: upstreams.e1.addres",
        "line 8: bogus",
    ] {
        assert!(text.contains(error), "{error} is missing in {text}");
    }
}

/// Guards against a burn report that omits the requests of other instances or writes an empty plot.
#[tokio::test]
async fn burn_report_counts_all_instances() {
    let fleet = start().await;
    let body = serde_json::json!({"model": MODEL, "prompt": "hello", "max_tokens": 2});
    for instance in &fleet.instances {
        let call = instance.call(Method::POST, "/v1/completions", KEY).with_json(&body);
        assert_eq!(instance.send(call).await.expect("the instance responds").status, 200);
    }
    let file = tempfile::NamedTempFile::new().expect("a file can be created");
    let path = file.path().to_str().expect("the path is UTF-8");
    let output = command(&fleet, &["report", "burn", "--json", "--svg", path]);
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the report is JSON");
    let rows = report["rows"].as_array().expect("the report has rows");
    let is_availability = |row: &&serde_json::Value| row["measure"] == "availability";
    let row = rows.iter().find(is_availability).expect("the report has a row for availability");
    assert_eq!(row["windows"][0][0], serde_json::json!({"requests": 2, "bad": 0}), "{report}");
    let plot = std::fs::read_to_string(path).expect("the plot was written");
    assert!(plot.contains("polyline") && plot.contains("notices availability"), "{plot}");
}

/// Guards against a printed hash that does not match the workspace's key, and an accepted empty key.
#[rstest]
#[case::key("mill-key\n", Some("mill-key"))]
#[case::empty("\n", None)]
fn hash_key_prints_the_key_hash_of_the_document(#[case] input: &str, #[case] key: Option<&str>) {
    let binary = binary::find(binary::DAMASKDRIFT).unwrap();
    let mut child = Command::new(binary)
        .args(["template", "hash-key"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let want = key.map(|key| format!("{}\n", blake3::hash(key.as_bytes()).to_hex()));
    assert_eq!(output.status.success(), key.is_some());
    assert_eq!(String::from_utf8_lossy(&output.stdout), want.unwrap_or_default());
}

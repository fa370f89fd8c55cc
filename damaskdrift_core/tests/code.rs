//! Tests that the documentation lists the result codes.

use damaskdrift_core::code;

// Guards against a code that is missing in the documentation, or listed with another number, name
// or status.
#[test]
fn errors_page_lists_every_code() {
    let page = include_str!("../../docs/ERRORS.md");
    let documented: Vec<_> = page.lines().filter(|line| line.starts_with("| ")).skip(2).collect();
    assert_eq!(documented.len(), code::Code::ALL.len());
    for (row, code) in documented.iter().zip(code::Code::ALL) {
        let status = match code.http_status() {
            0 => "–".to_owned(),
            status => status.to_string(),
        };
        let start = format!("| {} | {} | {status} |", code.number(), code.name());
        assert!(row.starts_with(&start), "{row} does not start with {start}");
    }
}

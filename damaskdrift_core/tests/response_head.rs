//! Tests of the limits on a response head and the interim responses before it.

use damaskdrift_core::response_head::{Limit, MAX_BYTES, Meter, Progress};
use rstest::rstest;

const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Guards against a head that is taken for complete too early or too late, at any division into
/// reads, and against limits that are not noticed.
#[rstest]
#[case::plain("HTTP/1.1 200 OK\r\na: b\r\n\r\n", Ok(Progress::Complete))]
#[case::no_headers("HTTP/1.1 200 OK\r\n\r\n", Ok(Progress::Complete))]
#[case::bare_line_feeds("HTTP/1.1 200 OK\na: b\n\n", Ok(Progress::Complete))]
#[case::empty_lines_before("\r\n\r\nHTTP/1.1 200 OK\r\n", Ok(Progress::Incomplete))]
#[case::interim(INTERIM, Ok(Progress::Incomplete))]
#[case::switching("HTTP/1.1 101 Switching Protocols\r\n\r\n", Ok(Progress::Complete))]
#[case::unfinished("HTTP/1.1 200 OK\r\na: b\r\n", Ok(Progress::Incomplete))]
#[case::allowed_interim(&INTERIM.repeat(32), Ok(Progress::Incomplete))]
#[case::after_interim(&(INTERIM.repeat(32) + "HTTP/1.0 200 OK\r\n\r\n"), Ok(Progress::Complete))]
#[case::endless_interim(&INTERIM.repeat(33), Err(Limit::InterimResponses))]
#[case::endless_header(&("HTTP/1.1 200 OK\r\na: ".to_owned() + &"b".repeat(MAX_BYTES)), Err(Limit::Bytes))]
#[case::endless_empty_lines(&"\r\n".repeat(MAX_BYTES), Err(Limit::Bytes))]
#[case::long_interim(
    &format!("HTTP/1.1 103 Early Hints\r\na: {}\r\n\r\n", "b".repeat(10_000)).repeat(7),
    Err(Limit::Bytes)
)]
fn head_is_followed_to_its_end(#[case] bytes: &str, #[case] expected: Result<Progress, Limit>) {
    for size in [1, 7, 4_096, usize::MAX] {
        let mut meter = Meter::default();
        let mut progress = Ok(Progress::Incomplete);
        for piece in bytes.as_bytes().chunks(size.min(bytes.len())) {
            progress = meter.push(piece);
            if progress != Ok(Progress::Incomplete) {
                break;
            }
        }
        assert_eq!(progress, expected, "in reads of {size} bytes");
    }
}

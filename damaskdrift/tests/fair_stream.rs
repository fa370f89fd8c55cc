//! Test of the adapter that shares the thread between connections.

use std::cell::Cell;

use damaskdrift::stream::FairStream;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Guards against a connection whose bytes never run out and that is read without a pause, so that
/// no other task runs for seconds, and against bytes that are lost or reordered by the pauses.
#[rstest]
#[case::small_reads(1_000)]
#[case::large_reads(1 << 20)]
#[tokio::test]
async fn endless_bytes_leave_turns_to_other_tasks(#[case] read_bytes: usize) {
    const TOTAL: usize = 1 << 20;
    const MAX_TURN_BYTES: usize = 20 << 10;
    let (mut sender, receiver) = tokio::io::duplex(TOTAL);
    let sent: Vec<u8> = (0..TOTAL).map(|index| (index % 251) as u8).collect();
    sender.write_all(&sent).await.unwrap();
    let (read, longest_turn) = (Cell::new(0), Cell::new(0));
    let reading = async {
        let mut stream = FairStream::new(receiver);
        let mut received = Vec::new();
        let mut buf = vec![0; read_bytes];
        while received.len() < TOTAL {
            let len = stream.read(&mut buf).await.unwrap();
            received.extend_from_slice(&buf[..len]);
            read.set(read.get() + len);
        }
        received
    };
    let other = async {
        loop {
            longest_turn.set(longest_turn.get().max(read.replace(0)));
            tokio::task::yield_now().await;
        }
    };
    let received = tokio::select! {
        biased;
        () = other => unreachable!("it never ends"),
        received = reading => received,
    };
    longest_turn.set(longest_turn.get().max(read.take()));
    assert!(received == sent, "the bytes differ");
    assert!(longest_turn.get() <= MAX_TURN_BYTES, "{} bytes in one turn", longest_turn.get());
}

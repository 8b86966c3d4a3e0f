//! Tests of long messages between two nodes.

use std::{sync::Arc, time::Duration};

use galenastream_runtime::{FrameLink, FrameReader, MemoryBudget, PeerError, ReceivedFrame};
use galenastream_wire::{ForwardedRequest, PeerFrame, peer_frame::Body};
use tokio::net::TcpListener;

/// More than the buffers of a loopback connection hold.
const LONG_BYTES: usize = 8 * 1024 * 1024;

/// How long a caller waits that leaves too early, and one that does not.
const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(10);

/// Panic message of helper functions that need a working connection.
const WORKS: &str = "the connection works";

/// A link and what is read at its other end.
struct Pair {
    link: Arc<FrameLink<PeerFrame>>,
    reader: FrameReader<PeerFrame>,
    budget: Arc<MemoryBudget>,
    _write_half: tokio::net::tcp::OwnedWriteHalf,
}

async fn connect(budget_bytes: usize) -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect(WORKS);
    let address = listener.local_addr().expect(WORKS);
    let link = FrameLink::connect(address, MemoryBudget::new(0)).await.expect(WORKS);
    let (read_half, write_half) = listener.accept().await.expect(WORKS).0.into_split();
    let budget = MemoryBudget::new(budget_bytes);
    let reader = FrameReader::new(read_half, budget.clone());
    Pair { link: Arc::new(link), reader, budget, _write_half: write_half }
}

fn request(bytes: usize) -> Body {
    let body = (0..bytes).map(|it| it.to_le_bytes()[1]).collect::<Vec<u8>>().into();
    let request_id = format!("of {bytes} bytes");
    Body::Request(ForwardedRequest { request_id, body, ..Default::default() })
}

/// Reads until something else than a part arrives.
async fn next_message(pair: &mut Pair) -> ReceivedFrame<PeerFrame> {
    loop {
        match pair.reader.next().await.expect(WORKS).expect(WORKS) {
            ReceivedFrame::Part { .. } => {}
            other => return other,
        }
    }
}

#[tokio::test]
async fn a_short_request_overtakes_a_long_one_and_both_arrive_whole() {
    let mut pair = connect(LONG_BYTES + 64 * 1024).await;
    let link = pair.link.clone();
    for bytes in [LONG_BYTES, 10] {
        let link = link.clone();
        tokio::spawn(async move { link.call(request(bytes), LONG).await });
        // The long request is written first.
        tokio::time::sleep(SHORT).await;
    }
    for bytes in [10, LONG_BYTES] {
        let ReceivedFrame::Whole(frame) = next_message(&mut pair).await else {
            panic!("the request of {bytes} bytes is not whole");
        };
        assert!(frame.body == Some(request(bytes)), "the request of {bytes} bytes differs");
    }
    assert_eq!(pair.budget.reserved_bytes(), 0, "the requests have been dropped");
}

/// Guards against memory that stays reserved for a request whose caller has left.
#[tokio::test]
async fn the_rest_of_a_long_request_is_not_sent_when_its_caller_leaves() {
    let mut pair = connect(LONG_BYTES).await;
    assert_eq!(pair.link.call(request(LONG_BYTES), SHORT).await, Err(PeerError::TimedOut));
    let ReceivedFrame::Whole(frame) = next_message(&mut pair).await else {
        panic!("the cancellation follows the parts");
    };
    assert!(matches!(frame.body, Some(Body::Cancel(_))), "the request has been cancelled");
    assert!(pair.budget.reserved_bytes() > 0);
    pair.reader.forget(frame.correlation);
    assert_eq!(pair.budget.reserved_bytes(), 0);
}

/// Guards against a request without its body, or with a part of it.
#[tokio::test]
async fn a_request_beyond_the_budget_is_refused_once_and_the_next_one_arrives() {
    let mut pair = connect(LONG_BYTES / 2).await;
    let link = pair.link.clone();
    let long = link.clone();
    tokio::spawn(async move { long.call(request(LONG_BYTES), LONG).await });
    let received = next_message(&mut pair).await;
    assert!(matches!(received, ReceivedFrame::TooLong { .. }), "the request exceeds the budget");
    assert_eq!(pair.budget.reserved_bytes(), 0);
    tokio::spawn(async move { link.call(request(10), LONG).await });
    let ReceivedFrame::Whole(frame) = next_message(&mut pair).await else {
        panic!("the short request arrives");
    };
    assert!(frame.body == Some(request(10)), "the rest of the long request is ignored");
}

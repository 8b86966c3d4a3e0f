//! Tests of long answers that wait for turns on a slow link.

use std::{sync::Arc, time::Duration};

use galenastream_routing::TransferOrder;
use galenastream_runtime::{
    FrameReader, FrameWriter, LinkShare, MemoryBudget, ReceivedFrame, boot_now,
};
use galenastream_wire::{ForwardedReply, PeerFrame, StatusSeen, peer_frame::Body};
use tokio::net::{TcpListener, TcpStream};

const ANSWER_BYTES: usize = 150_000;

/// 150 kB take about a third of a second.
const LINK_MBIT_PER_S: f64 = 4.0;

/// Panic message of helper functions that need a working connection.
const WORKS: &str = "the connection works";

struct Pair {
    writer: FrameWriter<PeerFrame>,
    reader: FrameReader<PeerFrame>,
    budget: Arc<MemoryBudget>,
    link: Arc<LinkShare>,
}

async fn connect() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect(WORKS);
    let address = listener.local_addr().expect(WORKS);
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let budget = MemoryBudget::new(10 * ANSWER_BYTES);
    let link = LinkShare::new(Some(LINK_MBIT_PER_S));
    let running = link.clone();
    tokio::spawn(async move { running.run().await });
    Pair {
        writer: FrameWriter::new(near.expect(WORKS).into_split().1),
        reader: FrameReader::new(far.expect(WORKS).0.into_split().0, budget.clone()),
        budget,
        link,
    }
}

fn answer(correlation: u64) -> PeerFrame {
    let body = (0..ANSWER_BYTES).map(|it| it.to_le_bytes()[1]).collect::<Vec<u8>>().into();
    let reply = ForwardedReply { status: 200, body, ..Default::default() };
    PeerFrame { correlation, body: Some(Body::Reply(reply)) }
}

fn order(due_ms: u64) -> TransferOrder {
    TransferOrder { rank: 1, due: boot_now() + Duration::from_millis(due_ms) }
}

impl Pair {
    fn add(&mut self, correlation: u64, due_ms: u64) {
        let transfer = self.link.announce(order(due_ms));
        self.writer.add_paced(answer(correlation), transfer).expect(WORKS);
    }

    async fn send_part(&mut self) {
        self.writer.paced_turn().await;
        self.writer.feed_paced_part().await.expect(WORKS);
        self.writer.flush().await.expect(WORKS);
    }

    /// Reads until a whole message arrives and returns its correlation id.
    async fn read_whole(&mut self) -> u64 {
        loop {
            match self.reader.next().await.expect(WORKS).expect(WORKS) {
                ReceivedFrame::Whole(frame) => return frame.correlation,
                ReceivedFrame::Part { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

#[tokio::test]
async fn the_answer_that_is_due_first_overtakes_and_short_messages_overtake_both() {
    let mut pair = connect().await;
    pair.add(1, 5_000);
    pair.send_part().await;
    pair.add(2, 1_000);
    pair.send_part().await;
    let short = Body::StatusSeen(StatusSeen::default());
    pair.writer.feed(PeerFrame { correlation: 3, body: Some(short) }).await.expect(WORKS);
    while pair.writer.has_paced() {
        pair.send_part().await;
    }
    let mut arrived = Vec::new();
    for _ in 0..3 {
        arrived.push(pair.read_whole().await);
    }
    assert_eq!(arrived, [3, 2, 1]);
    assert_eq!(pair.link.transfer_count(), 0);
}

/// Guards against a turn that is lost while a writer waits for it and for replies at the same time.
#[tokio::test]
async fn a_turn_that_is_no_longer_waited_for_is_not_lost() {
    let mut pair = connect().await;
    pair.add(1, 1_000);
    while pair.writer.has_paced() {
        tokio::select! {
            () = pair.writer.paced_turn() => {}
            () = tokio::time::sleep(Duration::from_millis(1)) => continue,
        }
        pair.writer.feed_paced_part().await.expect(WORKS);
        pair.writer.flush().await.expect(WORKS);
    }
    assert_eq!(pair.read_whole().await, 1);
}

/// Guards against parts of cancelled answers that stay in the memory of the receiver.
#[tokio::test]
async fn the_parts_of_a_cancelled_answer_are_dropped_at_both_ends() {
    let mut pair = connect().await;
    pair.add(1, 1_000);
    for _ in 0..6 {
        pair.send_part().await;
        pair.reader.next().await.expect(WORKS).expect(WORKS);
    }
    assert!(pair.budget.reserved_bytes() > 0);
    pair.writer.forget(1);
    pair.reader.retain(|it| it != 1);
    assert_eq!((pair.budget.reserved_bytes(), pair.link.transfer_count()), (0, 0));
    assert!(!pair.writer.has_paced());
}

/// Guards against a stopping process that leaves before the last part is sent.
#[tokio::test]
async fn a_transfer_counts_until_its_last_part_is_sent() {
    let mut pair = connect().await;
    pair.add(1, 1_000);
    while pair.writer.has_paced() {
        pair.writer.paced_turn().await;
        pair.writer.feed_paced_part().await.expect(WORKS);
    }
    assert_eq!(pair.link.transfer_count(), 1);
    pair.writer.flush().await.expect(WORKS);
    assert_eq!(pair.link.transfer_count(), 0);
}

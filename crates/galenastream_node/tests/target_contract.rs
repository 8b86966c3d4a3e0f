//! What a node makes of each way in which a target can answer or fail.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use galenastream_node::{Order, TargetAnnouncement, TargetClient, TargetResult, boot_now};
use galenastream_ownership::{Epoch, SliceEpoch, SliceId, Term};
use galenastream_routing::{NotRunReason, Outcome, UnknownReason};
use galenastream_wire::{Forward, TicketToken};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

const DEADLINE: Duration = Duration::from_millis(300);
const MAX_BODY_BYTES: u64 = 1_000;

fn forward(method: &str) -> Forward {
    Forward {
        request_id: "r-1".to_owned(),
        key: Bytes::from_static(b"frame-1"),
        method: method.to_owned(),
        path: "/frames?size=1".to_owned(),
        class: "reservation".to_owned(),
        ..Forward::default()
    }
}

fn announcement(address: SocketAddr) -> TargetAnnouncement {
    TargetAnnouncement {
        service: "catalogue".to_owned(),
        address,
        slots: 1,
        connections: 10,
        checks_grants: true,
    }
}

async fn send(address: SocketAddr, forward: &Forward) -> TargetResult {
    let order = Order {
        forward,
        assignment: Some((SliceEpoch { slice: SliceId(3), epoch: Epoch(5) }, Term(2))),
        ticket: Some(TicketToken { service: 1, slice: 3, epoch: 5, serial: 9 }),
        deadline: boot_now() + DEADLINE,
        max_body_bytes: MAX_BODY_BYTES,
    };
    TargetClient::new(4).unwrap().send(&announcement(address), &order).await
}

/// Reads a request's head.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

/// A target that answers every request with the same bytes and then closes the connection.
async fn answering(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_head(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

async fn outcome_of(answer: &'static str, method: &str) -> Outcome {
    match send(answering(answer).await, &forward(method)).await {
        TargetResult::Reply(reply) => reply.outcome,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn only_whole_answers_have_run_and_only_proofs_are_not_run() {
    let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
    let cases = [
        ("whole", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", Outcome::Ran),
        (
            "whole in chunks",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Outcome::Ran,
        ),
        ("no body", "HTTP/1.1 204 No Content\r\n\r\n", Outcome::Ran),
        (
            "the target's own error",
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
            Outcome::Ran,
        ),
        (
            "overload without a proof",
            "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
            Outcome::Ran,
        ),
        (
            "overload with a proof",
            "HTTP/1.1 503 Service Unavailable\r\ngalenastream-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
            Outcome::NotRun(NotRunReason::Overloaded),
        ),
        (
            "an old epoch",
            "HTTP/1.1 409 Conflict\r\ngalenastream-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
            Outcome::NotRun(NotRunReason::NotOwner),
        ),
        (
            "a success that says not-run",
            "HTTP/1.1 200 OK\r\ngalenastream-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
            Outcome::Ran,
        ),
        ("nothing", "", lost),
        ("half a head", "HTTP/1.1 200 OK\r\ncontent-le", lost),
        ("half a body", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf", lost),
        ("half a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhalf", lost),
        (
            "chunks without an end",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            lost,
        ),
        ("a length that nothing proves", "HTTP/1.1 200 OK\r\n\r\nwhole or cut?", lost),
        ("not HTTP", "galenastream\r\n\r\n", lost),
    ];
    for (name, answer, expected) in cases {
        assert_eq!(outcome_of(answer, "POST").await, expected, "{name}");
    }
}

#[tokio::test]
async fn an_answer_longer_than_the_limit_is_not_passed_on() {
    let body = "x".repeat(2_000);
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n{body}");
    let outcome = outcome_of(answer.leak(), "POST").await;
    assert_eq!(outcome, Outcome::Unknown(UnknownReason::ConnectionLost));
}

#[tokio::test]
async fn an_unreachable_target_was_not_sent_anything() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = send(address, &forward("POST")).await;
    assert!(matches!(result, TargetResult::Unreachable), "{result:?}");
}

#[tokio::test]
async fn a_silent_target_is_left_at_the_deadline_and_its_connection_closed() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, was_closed) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        closed.send(()).unwrap();
    });
    let began_at = boot_now();
    let TargetResult::Reply(reply) = send(address, &forward("POST")).await else {
        panic!("no reply");
    };
    assert_eq!(reply.outcome, Outcome::Unknown(UnknownReason::DeadlinePassed));
    assert!(boot_now().saturating_since(began_at) >= DEADLINE);
    was_closed.await.unwrap();
}

#[tokio::test]
async fn a_cancelled_order_closes_its_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (arrived, has_arrived) = oneshot::channel();
    let (closed, was_closed) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        arrived.send(read_head(&mut stream).await).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        closed.send(()).unwrap();
    });
    let order = tokio::spawn(async move { send(address, &forward("POST")).await });
    has_arrived.await.unwrap();
    order.abort();
    was_closed.await.unwrap();
}

#[tokio::test]
async fn an_order_carries_the_proof_of_the_nodes_right() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let head = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = read_head(&mut stream).await;
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        head
    });
    let before = boot_now();
    send(address, &forward("POST")).await;
    let head = head.await.unwrap();
    for line in [
        "POST /frames?size=1 HTTP/1.1",
        "galenastream-key: frame-1",
        "galenastream-slice: 3",
        "galenastream-epoch: 5",
        "galenastream-term: 2",
        "galenastream-ticket: 3-5-9",
        "galenastream-class: reservation",
        "galenastream-request-id: r-1",
    ] {
        assert!(head.lines().any(|it| it == line), "{line} is missing in {head}");
    }
    let deadline = head.lines().find_map(|it| it.strip_prefix("galenastream-deadline-boot-ns: "));
    let deadline_ns: u64 = deadline.unwrap().parse().unwrap();
    assert!((before.as_ns()..=(boot_now() + DEADLINE).as_ns()).contains(&deadline_ns));
}

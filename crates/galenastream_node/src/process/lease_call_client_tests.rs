//! Tests of the calls that change the leases of a target.

use std::{sync::Arc, time::Duration};

use galenastream_ranges::{
    CallId, CallOutcome, KeyRange, LeaseOrder, PlannedCall, TargetIncarnation,
};
use galenastream_runtime::{ConnectionCount, boot_now};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::{CallBasis, lease_call_client::LeaseCallClient};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n";

/// Answers the first call of all connections, and sends the answer again when another call arrives on
/// the same connection. No other call is answered.
async fn answer_once(mut stream: TcpStream, is_first: bool) {
    let mut buffer = [0; 4_096];
    let mut calls = 0;
    while let Ok(1..) = stream.read(&mut buffer).await {
        calls += 1;
        let is_copy = calls == 2;
        if is_first && (calls == 1 || is_copy) && stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn call(client: &LeaseCallClient, id: u64) -> CallOutcome {
    let target = TargetIncarnation::new("t", 0);
    let (range, lease) = (KeyRange::ALL, Duration::from_secs(6));
    let order = LeaseOrder::Grant { range, fence: 1, handover: String::new(), lease };
    let call = PlannedCall { id: CallId(id), order, is_renewal: false };
    let basis =
        CallBasis { service: Arc::from("carts"), row_version: 1, confirmed_age_ms: Some(0) };
    client.call(&target, &call, &basis, boot_now()).await
}

/// Guards against a call that counts as carried out because of a late copy of the answer to another one.
#[tokio::test]
async fn a_late_copy_of_an_answer_is_not_taken_for_that_to_the_next_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut is_first = true;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_once(stream, is_first));
            is_first = false;
        }
    });
    let client = LeaseCallClient::new(address, ConnectionCount::new());
    assert_eq!(call(&client, 1).await, CallOutcome::Done { handover: String::new() });
    assert_eq!(call(&client, 2).await, CallOutcome::NoAnswer);
}

#[tokio::test]
async fn a_call_that_finds_no_listener_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let client = LeaseCallClient::new(address, ConnectionCount::new());
    assert_eq!(call(&client, 1).await, CallOutcome::NotSent);
}

//! Tests of the pool of connections to the target, with a target that answers with any headers.

use std::time::Duration;

use bytes::Bytes;
use galenastream_runtime::MemoryBudget;
use galenastream_standin::RawServer;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use super::target_connections::{TargetConnections, TargetResult};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request to a target with this `Keep-Alive` header, and returns the body of the answer.
async fn body_with_keep_alive(keep_alive: &str) -> Bytes {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: {keep_alive}\r\n\r\n");
    let server = RawServer::start(vec![format!("{head}ok").into_bytes()]).await.expect("a port");
    let connections = TargetConnections::new(server.address(), MemoryBudget::new(1 << 20));
    let request = Request::new(Full::new(Bytes::new()));
    let result = timeout(TEST_TIMEOUT, connections.send(request)).await.expect("an answer in time");
    server.close();
    match result {
        TargetResult::Response { response, .. } => response.body,
        other => panic!("{keep_alive}: {other:?}"),
    }
}

/// Guards against a panic at a keep-alive time of which a percentage overflows.
#[tokio::test]
async fn any_keep_alive_time_of_a_target_is_taken() {
    for keep_alive in [
        "timeout=18446744073709551615",
        "timeout=18446744073709551616",
        "timeout=9223372036854775807, max=1",
        "max=1, timeout=307445734561825861",
        "timeout=0",
        "timeout=-1",
        "timeout=",
        "",
    ] {
        assert_eq!(body_with_keep_alive(keep_alive).await, "ok", "{keep_alive}");
    }
}

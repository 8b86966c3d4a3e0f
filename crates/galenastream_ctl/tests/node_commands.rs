//! Commands against a node's admin address, with answers as a node gives them.

use std::{net::SocketAddr, process::Stdio};

use expect_test::{Expect, expect};
use galenastream_standin::HttpServer;
use http::StatusCode;
use tokio::process::Command;
use volo_http::server::route::{Router, get, post};

const CELLS: &str = r#"{"node":{"vm":"10.0.0.1:7400","incarnation":3},"cells":[{"service":"catalogue","index":0,"term":7,"coordinator":{"vm":"10.0.0.2:7400","incarnation":1},"is_coordinator":false,"witnesses":[{"vm":"10.0.0.1:7400","incarnation":3},{"vm":"10.0.0.3:7400","incarnation":2}],"slices":256,"held_slices":64,"lease_remaining_ms":480},{"service":"booking","index":0,"term":1,"coordinator":{"vm":"10.0.0.1:7400","incarnation":3},"is_coordinator":true,"witnesses":[],"slices":0,"held_slices":0,"lease_remaining_ms":0}]}"#;
const OWNER: &str = r#"{"service":"catalogue","key":"a b&c","hash":"00000000000000ff","epoch":5,"slice":["0000000000000000","0fffffffffffffff"],"owner":"10.0.0.1:7400","term":7,"coordinator":"10.0.0.2:7400"}"#;
const NO_OWNER: &str = r#"{"service":"catalogue","key":"lost","hash":"00000000000000ff","epoch":6,"slice":null,"owner":null,"term":7,"coordinator":null}"#;
const TARGETS: &str = r#"{"local":{"vm":"10.0.0.1:7400","target":{"service":"catalogue","address":"10.0.0.1:8080","slots":20,"connections":120,"checks_grants":true},"draining":false,"held_slices":64},"members":[{"vm":"10.0.0.1:7400","incarnation":3,"slots":20,"draining":false,"slices":64},{"vm":"10.0.0.2:7400","incarnation":1,"slots":20,"draining":true,"slices":0}]}"#;
const NOT_COORDINATOR: &str = r#"{"error":"this node is not the cell's coordinator; the coordinator is 10.0.0.2:7400","remedy":"send the order to the coordinator's node"}"#;

fn node() -> Router {
    Router::new()
        .route("/admin/cells", get(|| async { CELLS }))
        .route("/admin/targets", get(|| async { TARGETS }))
        .route("/admin/owner", get(|uri: http::Uri| async move { owner(&uri) }))
        .route("/admin/drain", post(|| async { r#"{"accepted":true}"# }))
        .route("/admin/move", post(|body: String| async move { move_slice(&body) }))
        .route("/admin/takeover", post(|| async { std::future::pending::<&'static str>().await }))
}

fn owner(uri: &http::Uri) -> &'static str {
    match uri.query() {
        Some("service=catalogue&key=a+b%26c") => OWNER,
        Some("service=catalogue&key=lost") => NO_OWNER,
        Some("service=catalogue&key=garbage") => "{",
        _ => panic!("unexpected query in {uri}"),
    }
}

fn move_slice(body: &str) -> (StatusCode, &'static str) {
    match body {
        r#"{"service":"catalogue","key":"garbage","to":"10.0.0.1:7400"}"# => (StatusCode::OK, "{"),
        _ => (StatusCode::CONFLICT, NOT_COORDINATOR),
    }
}

async fn check(arguments: &[&str], expected: &Expect) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::start(any, node()).await.expect("the node listens");
    let node = server.address().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_galenastreamctl"))
        .args(arguments)
        .args(["--node", &node])
        .stdin(Stdio::null())
        .output()
        .await
        .expect("the program can be run");
    let code = output.status.code().expect("the program ends by itself");
    let text = format!(
        "exit {code}\n{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    expected.assert_eq(&text.replace(&node, "NODE"));
    server.close();
}

#[tokio::test]
async fn cells() {
    check(
        &["cells"],
        &expect![[r#"
            exit 0
            catalogue, cell 0
              term         7
              coordinator  10.0.0.2:7400#1
              witnesses    10.0.0.1:7400#3, 10.0.0.3:7400#2
              slices       256
              this node    10.0.0.1:7400#3, holds 64 slices, lease ends in 480 ms

            booking, cell 0
              term         1
              coordinator  10.0.0.1:7400#3, the node that answers
              witnesses    none, the cell runs on the store alone
              slices       0
              this node    10.0.0.1:7400#3, holds 0 slices, lease ends in 0 ms
        "#]],
    )
    .await;
}

#[tokio::test]
async fn owner_of_a_key_with_special_characters() {
    check(
        &["owner", "a b&c", "--service", "catalogue"],
        &expect![[r#"
        exit 0
        10.0.0.1:7400 epoch 5 slice 0000000000000000-0fffffffffffffff term 7
    "#]],
    )
    .await;
    check(
        &["owner", "a b&c", "--service", "catalogue", "--output", "json"],
        &expect![[r#"
        exit 0
        {
          "service": "catalogue",
          "key": "a b&c",
          "hash": "00000000000000ff",
          "epoch": 5,
          "slice": [
            "0000000000000000",
            "0fffffffffffffff"
          ],
          "owner": "10.0.0.1:7400",
          "term": 7,
          "coordinator": "10.0.0.2:7400"
        }
    "#]],
    )
    .await;
}

#[tokio::test]
async fn key_without_an_owner() {
    check(
        &["owner", "lost", "--service", "catalogue"],
        &expect![[r#"
        exit 0
        no owner at present (term 7, no coordinator known)
    "#]],
    )
    .await;
}

#[tokio::test]
async fn answer_that_cannot_be_read() {
    check(&["owner", "garbage", "--service", "catalogue"], &expect![[r#"
        exit 1
        error: the answer of node NODE cannot be read (EOF while parsing an object at line 1 column 1)
          remedy: use the galenastreamctl of the node's release
    "#]]).await;
}

#[tokio::test]
async fn targets() {
    check(&["targets"], &expect![[r#"
        exit 0
        beside node 10.0.0.1:7400: catalogue at 10.0.0.1:8080, 20 slots, 120 connections, checks grants, 64 slices held
        10.0.0.1:7400#3  20 slots, 64 slices
        10.0.0.2:7400#1  20 slots, 0 slices, draining
    "#]]).await;
}

#[tokio::test]
async fn drain_at_the_node_beside_the_target() {
    check(
        &["drain", "10.0.0.1:7400"],
        &expect![[r#"
        exit 0
        10.0.0.1:7400 drains: its keys are handed over, then it gets no new work
        see `galenastreamctl targets` for what it still holds
    "#]],
    )
    .await;
}

#[tokio::test]
async fn drain_at_another_node() {
    check(
        &["drain", "10.0.0.2:7400"],
        &expect![[r#"
        exit 1
        error: node NODE stands beside target 10.0.0.1:7400, not 10.0.0.2:7400
          remedy: give the admin address of the node beside 10.0.0.2:7400 as --node
    "#]],
    )
    .await;
}

#[tokio::test]
async fn move_with_an_answer_that_cannot_be_read_may_have_taken_effect() {
    check(&["move", "garbage", "10.0.0.1:7400", "--service", "catalogue"], &expect![[r#"
        exit 5
        error: it is not known whether node NODE carried out the command (EOF while parsing an object at line 1 column 1)
          remedy: look with `galenastreamctl targets` and `galenastreamctl cells` before repeating it
    "#]]).await;
}

#[tokio::test]
async fn refused_move() {
    check(&["move", "frame-1", "10.0.0.1:7400", "--service", "catalogue"], &expect![[r#"
        exit 1
        error: node NODE refused: this node is not the cell's coordinator; the coordinator is 10.0.0.2:7400
          remedy: send the order to the coordinator's node
    "#]]).await;
}

#[tokio::test]
async fn takeover_without_an_answer_may_have_taken_effect() {
    let arguments = ["cell", "takeover", "--service", "catalogue", "--yes", "--timeout-ms", "200"];
    check(&arguments, &expect![[r#"
        exit 5
        error: it is not known whether node NODE carried out the command (no answer within 200 ms)
          remedy: look with `galenastreamctl targets` and `galenastreamctl cells` before repeating it
    "#]]).await;
}

//! Input that breaks a rule of an interface: a typed answer or a counted drop, and the node goes on.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use std::{net::SocketAddr, time::Duration};

use expect_test::{Expect, expect};
use galenastream_ownership::{
    BeatRefusal, BeatRefusalReason, CellId, ControlMessage, Grant, GrantSet, HoldingVersion,
    Incarnation, Member, Nudge, Promise, Sequence, ServiceId, SettingsVersion, Term, VmId,
    WitnessGeneration,
};
use galenastream_standin::{Vm, VmOptions, wait_until};
use galenastream_wire::{MAX_FRAME_BYTES, encode_control};
use support::{Cluster, SERVICE, WAIT_LIMIT};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    time::timeout,
};

/// A tree that leaves all limits at their defaults.
const SETTINGS: &str = "[places.east]\n[services.catalogue]\n[services.catalogue.places.east]\n";

/// The slices of a new cell under these settings.
const INITIAL_SLICES: u32 = 256;

/// How long an answer to bad input may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

async fn start(name: &str) -> Cluster {
    let mut cluster = Cluster::start_platform(name).await;
    cluster.settings_store().publish(SettingsVersion(0), SETTINGS).await.unwrap();
    cluster.add_vm(&VmOptions::new("east", SERVICE));
    let vm = &cluster.vms[0];
    wait_until("the callers' interface to answer", WAIT_LIMIT, async || {
        cluster.caller.call(vm.caller_address, &get("/")).await.is_ok()
    })
    .await
    .unwrap();
    cluster
}

fn get(path: &str) -> galenastream_standin::CallerRequest {
    galenastream_standin::CallerRequest::new(http::Method::GET, path)
}

/// Sends bytes and reads until the node closes the connection or has answered in full.
async fn exchange(address: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A node that refuses early may close before all is sent.
    let _ = stream.write_all(bytes).await;
    if half_close {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let _ = timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer))
        .await
        .expect("the node neither answered nor closed the connection");
    summary(&String::from_utf8_lossy(&answer))
}

/// The status line and the reason of an answer.
fn summary(answer: &str) -> String {
    let status = answer.lines().next().unwrap_or("closed without an answer");
    let field = |name: &str| {
        let line = answer.lines().find(|line| line.starts_with(name));
        line.map(|line| format!(", {line}")).unwrap_or_default()
    };
    let message = answer
        .split_once("\"message\":\"")
        .and_then(|(_, rest)| rest.split_once("\",\""))
        .map(|(message, _)| format!("\n{message}"))
        .unwrap_or_default();
    format!(
        "{status}{}{}{message}",
        field("galenastream-outcome: "),
        field("galenastream-reason: ")
    )
}

struct HttpCase {
    name: &'static str,
    request: Vec<u8>,
    half_close: bool,
    expected: Expect,
}

fn case(name: &'static str, head: &str, body: &[u8], expected: Expect) -> HttpCase {
    let mut request = head.replace('\n', "\r\n").into_bytes();
    request.extend_from_slice(b"connection: close\r\n\r\n");
    request.extend_from_slice(body);
    HttpCase { name, request, half_close: false, expected }
}

fn raw(name: &'static str, request: Vec<u8>, expected: Expect) -> HttpCase {
    HttpCase { name, request, half_close: true, expected }
}

fn http_cases() -> Vec<HttpCase> {
    let key = "galenastream-key: frame-1\n";
    let long_key =
        format!("GET /catalogue/x HTTP/1.1\nhost: n\ngalenastream-key: {}\n", "k".repeat(600));
    let two_keys = format!("GET /catalogue/x HTTP/1.1\nhost: n\n{key}{key}");
    let with = |method: &str, line: &str| {
        format!("{method} /catalogue/x HTTP/1.1\nhost: n\n{key}{line}\n")
    };
    let huge_head = format!(
        "GET /catalogue/x HTTP/1.1\r\nhost: n\r\ngalenastream-key: {}\r\n\r\n",
        "k".repeat(1024 * 1024)
    );
    let many_headers =
        format!("GET /catalogue/x HTTP/1.1\r\nhost: n\r\n{}\r\n", "x-header: 1\r\n".repeat(1_000));
    let cut_body = "POST /catalogue/x HTTP/1.1\r\nhost: n\r\ngalenastream-key: k\r\ncontent-length: 100\r\n\r\nshort";
    let two_lengths = "POST /catalogue/x HTTP/1.1\r\nhost: n\r\ngalenastream-key: k\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab";
    vec![
        raw(
            "not HTTP",
            b"\x00\x01\x02 this is not HTTP\r\n\r\n".to_vec(),
            expect!["not HTTP: HTTP/1.1 400 Bad Request"],
        ),
        raw(
            "an unknown HTTP version",
            b"GET / HTTP/9.9\r\n\r\n".to_vec(),
            expect!["an unknown HTTP version: HTTP/1.1 400 Bad Request"],
        ),
        raw(
            "a head that ends early",
            b"GET /catalogue/x HT".to_vec(),
            expect!["a head that ends early: closed without an answer"],
        ),
        raw(
            "a key of 1 MiB",
            huge_head.into_bytes(),
            expect!["a key of 1 MiB: HTTP/1.1 431 Request Header Fields Too Large"],
        ),
        raw(
            "1,000 headers",
            many_headers.into_bytes(),
            expect!["1,000 headers: HTTP/1.1 431 Request Header Fields Too Large"],
        ),
        raw(
            "two lengths",
            two_lengths.as_bytes().to_vec(),
            expect!["two lengths: HTTP/1.1 400 Bad Request"],
        ),
        raw(
            "a body that ends early",
            cut_body.as_bytes().to_vec(),
            expect![[r#"
            a body that ends early: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: body-cut
            the body is cut off; send it whole"#]],
        ),
        case(
            "no service",
            "GET / HTTP/1.1\nhost: n\n",
            b"",
            expect![[r#"
            no service: HTTP/1.1 404 Not Found, galenastream-outcome: not-run, galenastream-reason: no-service
            the path names no service; send requests to /SERVICE/..."#]],
        ),
        case(
            "an unknown service",
            "GET /other/x HTTP/1.1\nhost: n\n",
            b"",
            expect![[r#"
            an unknown service: HTTP/1.1 404 Not Found, galenastream-outcome: not-run, galenastream-reason: unknown-service
            service \"other\" is not known; `galenastreamctl settings show` lists the services"#]],
        ),
        case(
            "no key",
            "GET /catalogue/x HTTP/1.1\nhost: n\n",
            b"",
            expect![[r#"
            no key: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: key-missing
            header galenastream-key is missing; this service is divided by key"#]],
        ),
        case(
            "an empty key",
            "GET /catalogue/x HTTP/1.1\nhost: n\ngalenastream-key:\n",
            b"",
            expect![[r#"
                an empty key: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: key-missing
                header galenastream-key is missing; this service is divided by key"#]],
        ),
        case(
            "a key of 600 bytes",
            &long_key,
            b"",
            expect![[r#"
            a key of 600 bytes: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: key-length
            header galenastream-key has 600 bytes; allowed are 1 to 512"#]],
        ),
        case(
            "two keys",
            &two_keys,
            b"",
            expect![[r#"
            two keys: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: header-repeated
            header galenastream-key stands more than once; send it once"#]],
        ),
        case(
            "a negative deadline",
            &with("GET", "galenastream-deadline-ms: -5"),
            b"",
            expect![[r#"
                a negative deadline: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: deadline-invalid
                galenastream-deadline-ms = \"-5\"; allowed are whole numbers from 1 to 10000"#]],
        ),
        case(
            "a deadline of zero",
            &with("GET", "galenastream-deadline-ms: 0"),
            b"",
            expect![[r#"
            a deadline of zero: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: deadline-invalid
            galenastream-deadline-ms = \"0\"; allowed are whole numbers from 1 to 10000"#]],
        ),
        case(
            "a huge deadline",
            &with("GET", "galenastream-deadline-ms: 99999999999999"),
            b"",
            expect![[r#"
                a huge deadline: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: deadline-invalid
                galenastream-deadline-ms = \"99999999999999\"; allowed are whole numbers from 1 to 10000"#]],
        ),
        case(
            "a deadline in words",
            &with("GET", "galenastream-deadline-ms: soon"),
            b"",
            expect![[r#"
                a deadline in words: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: deadline-invalid
                galenastream-deadline-ms = \"soon\"; allowed are whole numbers from 1 to 10000"#]],
        ),
        case(
            "no ticket",
            &with("POST", "galenastream-ticket: 1-2"),
            b"",
            expect![[r#"
            no ticket: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: ticket-invalid
            galenastream-ticket = \"1-2\" is no ticket; obtain one by POST to /SERVICE/galenastream/ticket"#]],
        ),
        case(
            "an unknown class",
            &with("GET", "galenastream-class: first"),
            b"",
            expect![[r#"
            an unknown class: HTTP/1.1 400 Bad Request, galenastream-outcome: not-run, galenastream-reason: class-unknown
            galenastream-class = \"first\" is not known; allowed are: standard"#]],
        ),
        case(
            "an announced body over the limit",
            &with("POST", "content-length: 2000000"),
            &vec![b'x'; 2_000_000],
            expect![[r#"
                an announced body over the limit: HTTP/1.1 413 Payload Too Large, galenastream-outcome: not-run, galenastream-reason: body-too-long
                the body is longer than 1048576 bytes; send a smaller one"#]],
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_answers() {
    let cluster = start("bad-requests").await;
    let vm = &cluster.vms[0];
    for case in http_cases() {
        let answer = exchange(vm.caller_address, &case.request, case.half_close).await;
        case.expected.assert_eq(&format!("{}: {answer}", case.name));
    }
    assert_goes_on(&cluster, vm).await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_orders_to_the_admin_address_get_typed_answers() {
    let cluster = start("bad-orders").await;
    let vm = &cluster.vms[0];
    let cases = [
        ("/admin/move", "no JSON"),
        ("/admin/move", r#"{"service":"catalogue","key":"k","to":"nowhere"}"#),
        ("/admin/move", r#"{"service":"other","key":"k","to":"127.0.0.1:1"}"#),
        ("/admin/takeover", r#"{"service":"catalogue","force":true}"#),
        ("/admin/unknown", ""),
        (
            "/target/announce",
            r#"{"service":"other","address":"127.0.0.1:1","slots":1,"connections":1,"checks_grants":true}"#,
        ),
        (
            "/target/announce",
            r#"{"service":"catalogue","address":"127.0.0.1:1","slots":-1,"connections":1,"checks_grants":true}"#,
        ),
    ];
    let mut answers = String::new();
    for (path, body) in cases {
        let answer = cluster.admin_post(vm, path, body).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        answers.push_str(&format!("{path} {}: {text}\n", answer.status.as_u16()));
    }
    let long = "x".repeat(100_000);
    let answer = cluster.admin_post(vm, "/admin/move", &long).await;
    answers.push_str(&format!("100,000 bytes: {}\n", answer.status.as_u16()));
    expect![[r#"
        /admin/move 400: {"error":"the body cannot be read: expected ident at line 1 column 2","remedy":"send a JSON object with the fields that the interface page lists"}
        /admin/move 400: {"error":"the body cannot be read: invalid IPv4 socket address syntax at line 1 column 47","remedy":"send a JSON object with the fields that the interface page lists"}
        /admin/move 409: {"error":"this node belongs to service \"catalogue\"","remedy":"send the order to a node of the service"}
        /admin/takeover 400: {"error":"the body cannot be read: unknown field `force`, expected `service` at line 1 column 30","remedy":"send a JSON object with the fields that the interface page lists"}
        /admin/unknown 404: {"error":"nothing answers POST /admin/unknown","remedy":"see the interface page for the paths of the admin address"}
        /target/announce 409: {"error":"the target belongs to service \"other\", this node to \"catalogue\"","remedy":"start the target beside a node of its own service"}
        /target/announce 400: {"error":"the body cannot be read: invalid value: integer `-1`, expected u32 at line 1 column 57","remedy":"send a JSON object with the fields that the interface page lists"}
        100,000 bytes: 413
    "#]].assert_eq(&answers);
    assert_goes_on(&cluster, vm).await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_frames_close_their_connection_and_are_counted() {
    let cluster = start("bad-frames").await;
    let vm = &cluster.vms[0];
    let oversized = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes();
    let truncated = [0, 0, 0, 100, 1, 2, 3];
    let garbage = [0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    for (index, bytes) in [&oversized[..], &truncated, &garbage].iter().enumerate() {
        let answer = exchange(vm.vm_address.into(), bytes, true).await;
        assert_eq!(answer, "closed without an answer");
        let expected =
            format!("galenastream_frames_dropped_total{{reason=\"unreadable\"}} {}", index + 1);
        wait_for_metric(&cluster, vm, &expected).await;
    }
    assert_goes_on(&cluster, vm).await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_datagrams_are_counted_and_dropped() {
    let cluster = start("bad-datagrams").await;
    let vm = &cluster.vms[0];
    let socket = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
    let mut other_version = encode_control(&nudge()).to_vec();
    other_version[1] = other_version[1].wrapping_add(1);
    let mut cut = encode_control(&promise()).to_vec();
    cut.truncate(cut.len() - 1);
    for bytes in [b"garbage".to_vec(), Vec::new(), vec![0xff; 60_000], other_version, cut] {
        socket.send_to(&bytes, vm.vm_address).await.unwrap();
    }
    let unreadable = "galenastream_datagrams_dropped_total{reason=\"unreadable\"} 5";
    wait_for_metric(&cluster, vm, unreadable).await;

    // Whole messages of a VM that nobody knows confer nothing and take nothing away.
    wait_until("the node to hold its own slices", WAIT_LIMIT, async || {
        cluster.held_slices(vm).await == usize::try_from(INITIAL_SLICES).unwrap()
    })
    .await
    .unwrap();
    let before = holding(&cluster, vm).await;
    for message in [promise(), grant()] {
        socket.send_to(&encode_control(&message), vm.vm_address).await.unwrap();
    }
    let unsolicited = "galenastream_datagrams_dropped_total{reason=\"unsolicited\"}";
    wait_for_metric(&cluster, vm, unsolicited).await;
    let misdirected = "galenastream_datagrams_dropped_total{reason=\"other-receiver\"}";
    wait_for_metric(&cluster, vm, misdirected).await;
    socket.send_to(&encode_control(&refusal()), vm.vm_address).await.unwrap();
    assert_goes_on(&cluster, vm).await;
    assert_eq!(holding(&cluster, vm).await, before);
    cluster.close();
}

/// The term, the coordinator and the number of slices that a node tells.
async fn holding(cluster: &Cluster, vm: &Vm) -> String {
    let cells = cluster.cells(vm).await.unwrap();
    let cell = &cells.cells[0];
    format!("term {} {:?} slices {}", cell.term, cell.coordinator, cell.held_slices)
}

fn cell() -> CellId {
    CellId::new(ServiceId::from_name(SERVICE), 0)
}

fn stranger() -> Member {
    let address: std::net::SocketAddrV4 = "127.0.0.1:1".parse().unwrap();
    Member::new(VmId::from(address), Incarnation(1))
}

fn nudge() -> ControlMessage {
    ControlMessage::Nudge(Nudge { cell: cell(), term: Term(1) })
}

fn promise() -> ControlMessage {
    ControlMessage::Promise(Promise {
        cell: cell(),
        term: Term(1),
        from: stranger(),
        sequence: Sequence(7),
        generation: WitnessGeneration(1),
        promise_ms: 1_000_000,
    })
}

fn grant() -> ControlMessage {
    ControlMessage::Grant(Grant {
        cell: cell(),
        term: Term(9),
        from: stranger(),
        to: stranger(),
        sequence: Sequence(1),
        lease_ms: 1_000_000,
        set: GrantSet::Full { version: HoldingVersion(1), slices: Vec::new() },
        witnesses: None,
        settings: SettingsVersion(0),
    })
}

fn refusal() -> ControlMessage {
    let reason = BeatRefusalReason::NotCoordinator { term: Term(0), coordinator: Some(stranger()) };
    ControlMessage::BeatRefusal(BeatRefusal { cell: cell(), sequence: Sequence(u64::MAX), reason })
}

async fn wait_for_metric(cluster: &Cluster, vm: &Vm, line: &str) {
    wait_until(line, WAIT_LIMIT, async || cluster.metrics(vm).await.contains(line)).await.unwrap();
}

/// The node still answers on all its interfaces.
async fn assert_goes_on(cluster: &Cluster, vm: &Vm) {
    // A connection on which a request was refused early may be closed under the next request.
    wait_until("the admin address to answer", WAIT_LIMIT, async || {
        let answer = cluster.admin_get(vm, "/health/live").await;
        answer.is_some_and(|it| it.status.is_success())
    })
    .await
    .unwrap();
    wait_until("the callers' address to answer", WAIT_LIMIT, async || {
        let answer = cluster.read(vm.caller_address, "frame-1").await;
        answer.is_some_and(|it| !it.outcome().is_empty())
    })
    .await
    .unwrap();
    assert!(!cluster.node_log(&vm.name).contains("panicked"));
}

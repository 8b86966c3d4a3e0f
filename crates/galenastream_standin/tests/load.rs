//! The load generator: which requests it sends, and how it classifies answers.

use std::{
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use expect_test::expect;
use galenastream_standin::{
    Arrivals, Burst, HttpServer, LoadClass, LoadKind, LoadOutcome, LoadPlan, LoadSample,
    LoadSummary, run_load, write_chart,
};
use http::{HeaderValue, StatusCode};
use volo::Service;
use volo_http::{body::Body, context::ServerContext, request::Request, response::Response};

fn plan(entry: SocketAddr) -> LoadPlan {
    let classes = vec![
        LoadClass::new("cart", "/carts/1", LoadKind::Read, 80.0).with_key(),
        LoadClass::new("order", "/orders/1", LoadKind::Write, 20.0).with_deadline_ms(5_000),
    ];
    LoadPlan { keys: 1_000, ..LoadPlan::new(vec![entry], 200.0) }
        .with_classes(classes)
        .with_duration(Duration::from_secs(1), Duration::ZERO)
}

/// An address where nothing listens.
fn unused_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

#[test]
fn the_same_seed_gives_the_same_requests() {
    let arrivals = |seed| {
        let plan = LoadPlan { seed, ..plan(unused_address()) };
        Arrivals::new(&plan).unwrap().collect::<Vec<_>>()
    };
    assert_eq!(arrivals(5), arrivals(5));
    assert_ne!(arrivals(5), arrivals(6));
}

#[test]
fn requests_follow_rate_bursts_and_shares() {
    let burst =
        Burst { from: Duration::from_secs(50), until: Duration::from_secs(60), factor: 3.0 };
    let plan = LoadPlan { rate_per_s: 1_000.0, bursts: vec![burst], ..plan(unused_address()) }
        .with_duration(Duration::from_secs(100), Duration::ZERO);
    let arrivals: Vec<_> = Arrivals::new(&plan).unwrap().collect();
    let orders = arrivals.iter().filter(|it| it.class == 1).count();
    let in_burst = arrivals.iter().filter(|it| burst.from <= it.at && it.at < burst.until).count();
    assert!((118_500..121_500).contains(&arrivals.len()), "{}", arrivals.len());
    assert!((29_000..31_000).contains(&in_burst), "{in_burst}");
    assert!((23_000..25_000).contains(&orders), "{orders}");
}

#[test]
fn a_shift_replaces_the_hottest_keys() {
    let plan = LoadPlan {
        rate_per_s: 1_000.0,
        shift_interval: Duration::from_secs(50),
        ..plan(unused_address())
    }
    .with_duration(Duration::from_secs(100), Duration::ZERO);
    let mut before = vec![0_u32; 1_000];
    let mut after = vec![0_u32; 1_000];
    for arrival in Arrivals::new(&plan).unwrap() {
        let counts = if arrival.at < Duration::from_secs(50) { &mut before } else { &mut after };
        counts[arrival.key as usize] += 1;
    }
    let hottest = |counts: &[u32]| (0..1_000).max_by_key(|it| counts[*it]).unwrap();
    assert_eq!((hottest(&before), hottest(&after)), (0, 400));
    assert!(before[0] > 10 * after[0]);
}

#[test]
fn an_invalid_plan_is_refused() {
    let base = plan(unused_address());
    let burst = Burst { from: Duration::ZERO, until: Duration::from_secs(1), factor: 0.0 };
    let cases = [
        LoadPlan { entries: Vec::new(), ..base.clone() },
        LoadPlan { rate_per_s: 0.0, ..base.clone() },
        LoadPlan { bursts: vec![burst], ..base.clone() },
        LoadPlan { keys: 70_000, ..base.clone() },
        base.clone().with_duration(Duration::from_secs(1), Duration::from_secs(1)),
        base.with_classes(vec![LoadClass::new("a", "/stock/1", LoadKind::Read, 90.0)]),
    ];
    let text: String = cases.iter().map(|it| format!("{}\n", it.check().unwrap_err())).collect();
    expect![[r#"
        the plan has no nodes; name at least one
        the rate must be above zero
        the factor of a burst must be above zero
        the number of keys must be from 1 to 65536
        the warm-up must be shorter than the run
        the shares of the classes add up to 90% instead of 100%
    "#]]
    .assert_eq(&text);
}

fn sample(at: Duration, latency: Duration, outcome: LoadOutcome, target: &str) -> LoadSample {
    let (request_id, target) = ("load-1-1".to_owned(), target.to_owned());
    LoadSample {
        request_id,
        class: 0,
        path: "/carts/1".to_owned(),
        at,
        latency,
        outcome,
        target,
        entry: 0,
        status: 0,
        is_signed: false,
        is_quarantined: false,
    }
}

#[test]
fn latencies_count_from_the_intended_start_and_warm_up_is_left_out() {
    let plan = plan(unused_address()).with_duration(Duration::from_secs(4), Duration::from_secs(1));
    let mut summary = LoadSummary::new(&plan).unwrap();
    for second in 0..4 {
        for (outcome, latency_ms) in [(LoadOutcome::Ran, 10), (LoadOutcome::NotRun, 2)] {
            let (at, latency) = (Duration::from_secs(second), Duration::from_millis(latency_ms));
            summary.record(&sample(at, latency, outcome, "t-1"));
        }
    }
    expect![[r#"
        class         requests     ran/s       ran    failed   not run   unknown no answer     wrong    denied   p50 ms   p99 ms p99.9 ms   max ms refused p50 refused p99
        cart                 6         1         3         0         3         0         0         0         0    10.01    10.01    10.01    10.01        2.00        2.00
        order                0         0         0         0         0         0         0         0         0        -        -        -        -           -           -
        t-1                  3 ran
    "#]].assert_eq(&summary.to_string());
    assert_eq!(summary.seconds[0].count(LoadOutcome::Ran), 1);
    assert_eq!(summary.rate_per_s(LoadOutcome::Ran), 1.0);
}

/// How a server answers.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Own,
    OtherId,
    Refusal,
    Unknown,
    Failure,
    Unsigned(u16),
    Signed(u16),
    WithoutId(u16),
}

#[derive(Debug, Clone, Copy)]
struct Server(Answer);

impl Service<ServerContext, Request> for Server {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let id = request.headers()["x-request-id"].to_str().unwrap_or_default().to_owned();
        let echoed = match self.0 {
            Answer::OtherId => "another".to_owned(),
            _ => id.clone(),
        };
        let body = format!("t-1 ran {echoed} with 0 bytes");
        let mut response = Response::new(Body::from(Bytes::from(body)));
        *response.status_mut() = match self.0 {
            Answer::Own | Answer::OtherId => StatusCode::OK,
            Answer::Refusal => StatusCode::SERVICE_UNAVAILABLE,
            Answer::Unknown => StatusCode::BAD_GATEWAY,
            Answer::Failure => StatusCode::INTERNAL_SERVER_ERROR,
            Answer::Unsigned(status) | Answer::Signed(status) | Answer::WithoutId(status) => {
                StatusCode::from_u16(status).expect("the status is valid")
            }
        };
        if matches!(self.0, Answer::Own | Answer::Signed(_)) {
            let signature = HeaderValue::from_str(&format!("t-1.{id}")).expect("it is valid");
            response.headers_mut().insert("x-server-signature", signature);
        }
        let echoed = HeaderValue::from_str(&id).expect("the id is a header value");
        if !matches!(self.0, Answer::WithoutId(_)) {
            response.headers_mut().insert("x-request-id", echoed);
        }
        Ok(response)
    }
}

#[tokio::test]
async fn each_kind_of_answer_is_classified() {
    let cases = [
        (Answer::Own, LoadOutcome::Ran),
        (Answer::OtherId, LoadOutcome::Wrong),
        (Answer::Refusal, LoadOutcome::NotRun),
        (Answer::Unknown, LoadOutcome::Unknown),
        (Answer::Failure, LoadOutcome::Failed),
        (Answer::Signed(404), LoadOutcome::Failed),
        (Answer::Unsigned(200), LoadOutcome::Wrong),
        (Answer::Unsigned(302), LoadOutcome::Denied),
        (Answer::Unsigned(404), LoadOutcome::Denied),
        (Answer::Unsigned(413), LoadOutcome::Denied),
        (Answer::WithoutId(413), LoadOutcome::Denied),
        (Answer::WithoutId(503), LoadOutcome::Wrong),
    ];
    for (answer, expected) in cases {
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = HttpServer::start(address, Server(answer)).unwrap();
        let run = run_load(&plan(server.address())).await.unwrap();
        assert!(run.summary.total() > 100);
        assert_eq!(run.summary.count(expected), run.summary.total(), "{answer:?} {}", run.summary);
        assert_eq!(run.samples.len() as u64, run.summary.total());
        server.close();
    }
    let run = run_load(&plan(unused_address())).await.unwrap();
    assert_eq!(run.summary.count(LoadOutcome::NoAnswer), run.summary.total());
}

#[test]
fn a_chart_is_one_self_contained_file() {
    let plan = plan(unused_address()).with_duration(Duration::from_secs(3), Duration::ZERO);
    let mut summary = LoadSummary::new(&plan).unwrap();
    for at_ms in 0..3_000 {
        let latency = Duration::from_micros(500 + at_ms);
        summary.record(&sample(Duration::from_millis(at_ms), latency, LoadOutcome::Ran, ""));
    }
    let file = std::env::temp_dir().join(format!("galenastream-chart-{}.svg", std::process::id()));
    write_chart(&summary, "a run", &file).unwrap();
    let chart = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(chart.starts_with("<svg") && chart.trim_end().ends_with("</svg>"));
    assert!(!chart.contains("href"), "the chart refers to another file");
    assert!(chart.contains("p99.9") && chart.contains("no answer"));
}

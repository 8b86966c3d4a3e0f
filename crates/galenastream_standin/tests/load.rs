//! The load tool: what it asks for, and how it judges answers.

use std::{convert::Infallible, net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use expect_test::expect;
use galenastream_standin::{
    Arrivals, HttpServer, LoadClass, LoadEntry, LoadKind, LoadOutcome, LoadPlan, LoadSample,
    LoadSummary, TargetConfig, TargetFaults, TargetStandin, run_load, write_chart,
};
use volo::Service;
use volo_http::{body::Body, context::ServerContext, request::Request, response::Response};

fn plan(entry: LoadEntry) -> LoadPlan {
    let classes = vec![
        LoadClass::new("preview", LoadKind::Read, 80.0).with_answer_bytes(100),
        LoadClass::new("reserve", LoadKind::Write, 20.0).with_deadline_ms(5_000),
    ];
    LoadPlan { keys: 1_000, ..LoadPlan::new(entry, "catalogue", 200.0) }
        .with_classes(classes)
        .with_duration(Duration::from_secs(1), Duration::ZERO)
}

fn nowhere() -> LoadEntry {
    LoadEntry::Nodes(vec![(Ipv4Addr::LOCALHOST, 1).into()])
}

#[test]
fn the_same_seed_gives_the_same_requests() {
    let arrivals = |seed| {
        let plan = LoadPlan { seed, ..plan(nowhere()) };
        Arrivals::new(&plan).unwrap().collect::<Vec<_>>()
    };
    assert_eq!(arrivals(5), arrivals(5));
    assert_ne!(arrivals(5), arrivals(6));
}

#[test]
fn requests_follow_rate_and_shares() {
    let plan = plan(nowhere())
        .with_rate_per_s(1_000.0)
        .with_duration(Duration::from_secs(100), Duration::ZERO);
    let arrivals: Vec<_> = Arrivals::new(&plan).unwrap().collect();
    let reserving = arrivals.iter().filter(|it| it.class == 1).count();
    assert!((99_000..101_000).contains(&arrivals.len()), "{}", arrivals.len());
    assert!((19_000..21_000).contains(&reserving), "{reserving}");
}

#[test]
fn a_shift_replaces_the_hottest_keys() {
    let plan = LoadPlan { shift_interval: Duration::from_secs(50), ..plan(nowhere()) }
        .with_rate_per_s(1_000.0)
        .with_duration(Duration::from_secs(100), Duration::ZERO);
    let mut before = vec![0u32; 1_000];
    let mut after = vec![0u32; 1_000];
    for arrival in Arrivals::new(&plan).unwrap() {
        let counts = if arrival.at < Duration::from_secs(50) { &mut before } else { &mut after };
        counts[arrival.key as usize] += 1;
    }
    let hottest = |counts: &[u32]| (0..1_000).max_by_key(|it| counts[*it]).unwrap();
    assert_eq!((hottest(&before), hottest(&after)), (0, 400));
    assert!(before[0] > 10 * after[0]);
}

#[test]
fn a_plan_that_cannot_be_carried_out_is_refused() {
    let base = plan(nowhere());
    let cases = [
        base.clone().with_entry(LoadEntry::Nodes(Vec::new())),
        base.clone().with_rate_per_s(0.0),
        base.clone().with_duration(Duration::from_secs(1), Duration::from_secs(1)),
        base.clone().with_classes(vec![LoadClass::new("a", LoadKind::Read, 90.0)]),
    ];
    let mut text = String::new();
    for plan in cases {
        text += &format!("{}\n", plan.check().unwrap_err());
    }
    for class in ["a:read:1", "a:delete:1:1:1", "a:read:x:1:1"] {
        text += &format!("{}\n", class.parse::<LoadClass>().unwrap_err());
    }
    expect![[r#"
        name at least one node or target
        the rate must be above zero
        the warm-up must be shorter than the run
        the shares of the classes add up to 90%
        "a:read:1" is not NAME:KIND:SHARE_PERCENT:DEADLINE_MS:ANSWER_BYTES
        "delete" is no kind; allowed are read, reserve and write
        the share is no number
    "#]]
    .assert_eq(&text);
}

#[test]
fn latencies_count_from_the_intended_start_and_warm_up_is_left_out() {
    let plan = plan(nowhere()).with_duration(Duration::from_secs(4), Duration::from_secs(1));
    let mut summary = LoadSummary::new(&plan).unwrap();
    for second in 0..4 {
        for (outcome, latency_ms) in [(LoadOutcome::Ran, 10), (LoadOutcome::NotRun, 2)] {
            let at = Duration::from_secs(second);
            let latency = Duration::from_millis(latency_ms);
            let target = "t1".to_owned();
            summary.record(&LoadSample { class: 0, at, latency, outcome, target });
        }
    }
    expect![[r#"
        class         requests     ran/s       ran   not run   unknown no answer     wrong   p50 ms   p99 ms p99.9 ms   max ms refused p50 refused p99
        preview              6         1         3         3         0         0         0    10.01    10.01    10.01    10.01        2.00        2.00
        reserve              0         0         0         0         0         0         0        -        -        -        -           -           -
        t1                   3 ran
    "#]].assert_eq(&summary.to_string());
    assert_eq!(summary.seconds[0].count(LoadOutcome::Ran), 1);
    assert_eq!(summary.rate_per_s(LoadOutcome::Ran), 1.0);
}

#[tokio::test]
async fn every_answer_of_a_healthy_target_is_counted_as_run() {
    let target = TargetStandin::start(TargetConfig::new("t1", "catalogue")).await.unwrap();
    let plan = plan(LoadEntry::Targets(vec![target.address()]));
    let summary = run_load(&plan).await.unwrap();
    assert!(summary.total() > 100);
    assert_eq!(summary.count(LoadOutcome::Ran), summary.total(), "{summary}");
}

#[tokio::test]
async fn refused_cut_and_missing_answers_are_told_apart() {
    let config = TargetConfig::new("t1", "catalogue").with_slots(1, 0).with_service_ms(20.0);
    let target = TargetStandin::start(config).await.unwrap();
    let faults = TargetFaults { half_answers: 3, ..TargetFaults::default() };
    target.set_faults(faults);
    let entry = LoadEntry::Targets(vec![target.address()]);
    let summary = run_load(&plan(entry)).await.unwrap();
    assert_eq!(summary.count(LoadOutcome::Unknown), 3, "{summary}");
    assert!(summary.count(LoadOutcome::NotRun) > 0, "{summary}");
    let summary = run_load(&plan(nowhere())).await.unwrap();
    assert_eq!(summary.count(LoadOutcome::NoAnswer), summary.total(), "{summary}");
}

/// Answers each request with what belongs to another.
#[derive(Clone)]
struct MixedUpServer;

impl Service<ServerContext, Request> for MixedUpServer {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, _: Request) -> Result<Response, Infallible> {
        let body =
            r#"{"target":"t1","key":"key-0","request_id":"of-another-request","padding":""}"#;
        Ok(Response::new(Body::from(Bytes::from_static(body.as_bytes()))))
    }
}

#[tokio::test]
async fn answers_of_other_requests_are_wrong() {
    let address = (Ipv4Addr::LOCALHOST, 0).into();
    let server = HttpServer::start(address, MixedUpServer).await.unwrap();
    let entry = LoadEntry::Targets(vec![server.address()]);
    let summary = run_load(&plan(entry)).await.unwrap();
    assert_eq!(summary.count(LoadOutcome::Wrong), summary.total(), "{summary}");
}

#[test]
fn a_report_is_one_self_contained_picture() {
    let plan = plan(nowhere()).with_duration(Duration::from_secs(3), Duration::ZERO);
    let mut summary = LoadSummary::new(&plan).unwrap();
    for at_ms in 0..3_000 {
        summary.record(&LoadSample {
            class: 0,
            at: Duration::from_millis(at_ms),
            latency: Duration::from_micros(500 + at_ms),
            outcome: LoadOutcome::Ran,
            target: String::new(),
        });
    }
    let file = std::env::temp_dir().join(format!("galenastream-chart-{}.svg", std::process::id()));
    write_chart(&summary, "a run", &file).unwrap();
    let picture = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(picture.starts_with("<svg") && picture.trim_end().ends_with("</svg>"));
    assert!(!picture.contains("href"), "it refers to no other file");
    assert!(picture.contains("p99.9") && picture.contains("no answer"));
}

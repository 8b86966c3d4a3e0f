//! Tests of requests that crash each target that begins to run them, and of the requests beside them.

use std::time::{Duration, Instant};

use futures::future::join_all;
use galenastream_standin::{
    CallerLoad, CrashPlan, DeploymentPlan, LocalDeployment, SentRequest, StoreFault,
    TargetCapacity, TargetEnd, VmPlan, check_invariants,
};

use super::{TIMEOUT, WORKS, announcement_load::entries};

/// How many targets a request has to crash before its retries are limited.
const CRASH_LIMIT: usize = 3;

/// How many targets it may reach afterwards.
const RETRY_LIMIT: usize = 3;

/// How long after the third crash the retries begin to count; `stableWindowMs` of the platform.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// How long the same request comes again and again.
const REPEAT_TIME: Duration = Duration::from_secs(15);

/// How long it comes again at nodes that were restarted.
const REPEAT_AFTER_RESTART_TIME: Duration = Duration::from_secs(8);

/// How long the caller of a request that is refused waits at most.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// The drain period in the settings of the stand-ins.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long targets run the requests that crash none, where they are to be in progress when targets
/// end.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(150);

/// The first part of the ids of requests that crash their targets.
const CRASHING: &str = "crashing";

/// The first part of the ids of ordinary requests that are all alike.
const POPULAR: &str = "popular";

/// The delays after which crashed targets start again, by their VM.
const RESTART_DELAYS_MS: [u64; 4] = [500, 1_000, 2_000, 3_000];

/// Starts one VM for each name in `services`. The targets of `stock` start again after different
/// delays.
async fn start(name: &str, services: &[&str], service_time: Duration) -> LocalDeployment {
    let vm = |(index, service): (usize, &&str)| {
        let delay_ms = RESTART_DELAYS_MS[index % RESTART_DELAYS_MS.len()];
        let restart_delay = Duration::from_millis(delay_ms);
        VmPlan::new(service)
            .with_capacity(TargetCapacity { service_time, ..TargetCapacity::default() })
            .with_crash(CrashPlan { restart_delay, ..CrashPlan::default() })
    };
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let plan = DeploymentPlan {
        vms: services.iter().enumerate().map(vm).collect(),
        ..DeploymentPlan::shop(name, program, &[])
    };
    LocalDeployment::start(&plan).await.expect("the deployment starts")
}

/// Callers on all VMs that repeat a request that crashes its targets.
fn crashing_load(deployment: &LocalDeployment, path: &str) -> CallerLoad {
    CallerLoad::new(CRASHING, entries(deployment, 0), path)
        .with_callers(2, Duration::from_millis(100))
}

/// Returns the targets that ended under a request of [`crashing_load`], in the order of their ends.
fn crashes(deployment: &LocalDeployment) -> Vec<TargetEnd> {
    let ends = deployment.vms.iter().flat_map(|it| it.ends());
    let is_crash =
        |it: &TargetEnd| it.crashed_by.as_ref().is_some_and(|it| it.starts_with(CRASHING));
    let mut crashes: Vec<TargetEnd> = ends.filter(is_crash).collect();
    crashes.sort_by_key(|it| it.at);
    crashes
}

/// Runs the deployment until requests have crashed this many targets. Returns when the last of them
/// ended.
async fn run_until_crashes(deployment: &mut LocalDeployment, count: usize) -> Instant {
    let began_at = Instant::now();
    loop {
        if let Some(last) = crashes(deployment).get(count - 1) {
            return last.at;
        }
        assert!(began_at.elapsed() < TIMEOUT, "fewer than {count} targets crash in {TIMEOUT:?}");
        deployment.run_for(Duration::from_millis(10)).await.expect(WORKS);
    }
}

/// Runs the deployment until ordinary requests are answered on all VMs.
async fn run_until_served(deployment: &mut LocalDeployment) {
    let began_at = Instant::now();
    for index in 0..deployment.vms.len() {
        while !deployment.vms[index].reaches("stock").await {
            assert!(began_at.elapsed() < TIMEOUT, "vm-{index} does not serve in {TIMEOUT:?}");
            deployment.run_for(Duration::from_millis(10)).await.expect(WORKS);
        }
    }
}

/// Asserts that a request that has crashed three targets reaches at most three more later than the
/// stable window, and that its caller is refused at once, with the time after which to come back.
fn assert_in_budget(deployment: &LocalDeployment, sent: &[SentRequest]) {
    let crashes = crashes(deployment);
    assert!(crashes.len() >= CRASH_LIMIT, "the targets crash: {crashes:?}");
    let counts_from = crashes[CRASH_LIMIT - 1].at + STABLE_WINDOW;
    let histories = deployment.histories();
    let arrivals = histories.iter().flat_map(|it| &it.arrivals);
    let late = arrivals
        .clone()
        .filter(|it| it.request_id.starts_with(CRASHING) && it.arrived_at > counts_from)
        .count();
    assert!(
        late <= RETRY_LIMIT,
        "{late} retries reach targets, and {} targets crash",
        crashes.len()
    );
    let has_arrived = |id: &str| arrivals.clone().any(|it| it.request_id == id);
    let is_late = |it: &&SentRequest| it.sent_at > counts_from && !has_arrived(&it.id);
    let refused: Vec<&SentRequest> = sent.iter().filter(is_late).collect();
    assert!(!refused.is_empty(), "the request comes again");
    for request in &refused {
        let retry_after = request.answer.as_ref().and_then(|it| it.header("retry-after"));
        assert_eq!((request.status(), retry_after.is_some()), (503, true), "{request:?}");
    }
    // Without the slowest twentieth, which may be due to a busy machine.
    let mut latencies: Vec<Duration> = refused.iter().map(|it| it.latency()).collect();
    latencies.sort();
    let latency = latencies[(latencies.len() - 1) * 19 / 20];
    assert!(latency < REFUSAL_TIME, "callers are refused after {latency:?}");
}

/// Asserts that no request is refused because it is taken for one that crashes targets.
fn assert_none_quarantined(sent: &[SentRequest]) {
    let refused = sent.iter().find(|it| it.reason().as_deref() == Some("quarantined"));
    assert!(refused.is_none(), "{refused:?}");
}

/// Asserts that all requests that were sent later are served.
fn assert_served_from(from: Instant, sent: &[SentRequest]) {
    let late: Vec<&SentRequest> = sent.iter().filter(|it| it.sent_at > from).collect();
    assert!(!late.is_empty(), "requests are sent later");
    for request in late {
        assert_eq!(request.status(), 200, "{request:?}");
    }
}

/// Returns how many targets ended, of those while an ordinary request that is always the same was in
/// progress there.
fn ends_beside_popular(deployment: &LocalDeployment) -> usize {
    let mut count = 0;
    for history in deployment.histories() {
        let Some(end) = &history.end else {
            continue;
        };
        let is_cut_off = |began_at| began_at <= end.at && end.at < began_at + LONG_SERVICE_TIME;
        let is_popular = |it: &str| it.starts_with(POPULAR);
        let mut runs = history.runs.iter();
        count += usize::from(runs.any(|it| is_popular(&it.request_id) && is_cut_off(it.began_at)));
    }
    count
}

/// Repeats a request that crashes its targets at all nodes, beside ordinary requests that differ only
/// in their body.
async fn repeat_everywhere(deployment: &mut LocalDeployment) -> Vec<SentRequest> {
    let crashing = crashing_load(deployment, "/stock/1").with_body("crash-1");
    let ordinary =
        CallerLoad::new("ordinary", entries(deployment, 0), "/stock/1").with_body("no crash");
    let (crashing, ordinary, ran) = tokio::join!(
        crashing.run_for(REPEAT_TIME),
        ordinary.run_for(REPEAT_TIME),
        deployment.run_for(REPEAT_TIME)
    );
    ran.expect(WORKS);
    assert_none_quarantined(&ordinary);
    crashing
}

/// Guards against a request that crashes one target after the other for as long as it comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_its_targets_is_not_sent_to_more_than_three_more() {
    let mut deployment = start("crash-repeats", &["stock"; 4], Duration::ZERO).await;
    let sent = repeat_everywhere(&mut deployment).await;
    assert_in_budget(&deployment, &sent);
    let last = sent.iter().max_by_key(|it| it.sent_at).unwrap();
    assert_eq!(last.reason().as_deref(), Some("quarantined"), "{last:?}");
    deployment.close().unwrap();
}

/// Guards against a count of crashes that needs the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_its_targets_is_stopped_while_the_store_is_silent() {
    let mut deployment = start("crash-silent", &["stock"; 4], Duration::ZERO).await;
    deployment.store.set_fault(StoreFault::Silent);
    let sent = repeat_everywhere(&mut deployment).await;
    assert_in_budget(&deployment, &sent);
    deployment.close().unwrap();
}

/// Guards against a node that has forgotten the request when it comes back, and sends it on.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_restarts_does_not_send_a_request_that_crashed_three_targets() {
    let services = ["carts", "carts", "stock", "stock", "stock"];
    let mut deployment = start("crash-restart", &services, Duration::ZERO).await;
    deployment.store.set_fault(StoreFault::Silent);
    let callers = entries(&deployment, 0)[..2].to_vec();
    let load = CallerLoad { entries: callers, ..crashing_load(&deployment, "/stock/crash-1") };
    let repeats = load.clone().run_for(TIMEOUT);
    tokio::select! {
        _ = run_until_crashes(&mut deployment, CRASH_LIMIT) => {}
        _ = repeats => panic!("the targets crash in time"),
    }
    deployment.vms[0].kill_node().unwrap();
    deployment.vms[0].start_node().unwrap();
    run_until_served(&mut deployment).await;
    deployment.run_for(STABLE_WINDOW).await.unwrap();
    let at_restarted = CallerLoad { entries: load.entries[..1].to_vec(), ..load };
    let (sent, ran) = tokio::join!(
        at_restarted.run_for(REPEAT_AFTER_RESTART_TIME),
        deployment.run_for(REPEAT_AFTER_RESTART_TIME)
    );
    ran.unwrap();
    assert_in_budget(&deployment, &sent);
    deployment.close().unwrap();
}

/// Guards against requests that are forgotten when all nodes end at once.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_all_restart_do_not_send_a_request_that_crashed_three_targets() {
    let mut deployment = start("crash-restart-all", &["stock"; 4], Duration::ZERO).await;
    let load = crashing_load(&deployment, "/stock/crash-1");
    let repeats = load.clone().run_for(TIMEOUT * 2);
    tokio::select! {
        _ = async {
            run_until_crashes(&mut deployment, CRASH_LIMIT).await;
            deployment.run_for(STABLE_WINDOW).await.unwrap();
        } => {}
        _ = repeats => panic!("the targets crash in time"),
    }
    for vm in &mut deployment.vms {
        vm.kill_node().unwrap();
    }
    for vm in &mut deployment.vms {
        vm.start_node().unwrap();
    }
    run_until_served(&mut deployment).await;
    deployment.run_for(STABLE_WINDOW).await.unwrap();
    let (sent, ran) = tokio::join!(
        load.run_for(REPEAT_AFTER_RESTART_TIME),
        deployment.run_for(REPEAT_AFTER_RESTART_TIME)
    );
    ran.unwrap();
    assert_in_budget(&deployment, &sent);
    deployment.close().unwrap();
}

/// Guards against an ordinary request that is refused because it was in progress at targets that
/// other requests crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_popular_request_is_served_after_five_crashes_beside_it() {
    let mut deployment = start("crash-popular", &["stock"; 4], LONG_SERVICE_TIME).await;
    let popular = CallerLoad::new(POPULAR, entries(&deployment, 0), "/stock/popular")
        .with_callers(4, Duration::from_millis(5));
    let other = CallerLoad::new("other", entries(&deployment, 0), "/stock/").with_distinct_paths();
    let one_caller = entries(&deployment, 0)[..1].to_vec();
    let crashing = CallerLoad::new(CRASHING, one_caller, "/stock/crash-")
        .with_callers(1, Duration::from_millis(300))
        .with_distinct_paths();
    let load_time = REPEAT_TIME + STABLE_WINDOW;
    let (popular, other, crashing, last_crash_at) = tokio::join!(
        popular.run_for(load_time),
        other.run_for(load_time),
        crashing.run_for(REPEAT_TIME - STABLE_WINDOW),
        async {
            deployment.run_for(load_time).await.unwrap();
            crashes(&deployment).last().map(|it| it.at)
        }
    );
    let ends = ends_beside_popular(&deployment);
    assert!(ends >= 5, "only {ends} targets crash beside the popular request");
    assert_none_quarantined(&popular);
    assert_none_quarantined(&other);
    assert_none_quarantined(&crashing);
    assert_served_from(last_crash_at.unwrap() + STABLE_WINDOW, &popular);
    deployment.close().unwrap();
}

/// Guards against ordinary requests that are refused because all targets around them were replaced,
/// at once and more than once.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_at_replaced_targets_are_not_quarantined() {
    let mut deployment = start("crash-replaced", &["stock"; 4], LONG_SERVICE_TIME).await;
    let began_at = Instant::now();
    let load_time = Duration::from_secs(8);
    let popular = CallerLoad::new(POPULAR, entries(&deployment, 0), "/stock/popular")
        .with_callers(4, Duration::from_millis(5));
    let other = CallerLoad::new("other", entries(&deployment, 0), "/stock/").with_distinct_paths();
    let (popular, other, ()) =
        tokio::join!(popular.run_for(load_time), other.run_for(load_time), async {
            for _ in 0..3 {
                tokio::time::sleep(Duration::from_secs(1)).await;
                let replacements = deployment.vms.iter_mut().map(|it| it.replace_target());
                for replaced in join_all(replacements).await {
                    replaced.unwrap();
                }
            }
        });
    let ends = ends_beside_popular(&deployment);
    assert!(ends >= 6, "only {ends} targets end beside the popular request");
    assert_none_quarantined(&popular);
    assert_none_quarantined(&other);
    assert_served_from(began_at + load_time - Duration::from_secs(2), &popular);
    assert_served_from(began_at + load_time - Duration::from_secs(2), &other);
    deployment.close().unwrap();
}

/// Guards against ordinary requests that are refused because targets around them left as they should.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_targets_that_drain_are_not_quarantined() {
    let mut deployment = start("crash-drained", &["stock"; 4], LONG_SERVICE_TIME).await;
    let began_at = Instant::now();
    let load_time = DRAIN_TIME * 3 + Duration::from_secs(4);
    let popular = CallerLoad::new(POPULAR, entries(&deployment, 0), "/stock/popular")
        .with_callers(4, Duration::from_millis(5));
    let other = CallerLoad::new("other", entries(&deployment, 0), "/stock/").with_distinct_paths();
    let (popular, other, ()) =
        tokio::join!(popular.run_for(load_time), other.run_for(load_time), async {
            for vm in &mut deployment.vms[..3] {
                vm.target.deregister().await.unwrap();
                tokio::time::sleep(DRAIN_TIME).await;
                vm.replace_target().await.unwrap();
            }
        });
    assert_none_quarantined(&popular);
    assert_none_quarantined(&other);
    assert_served_from(began_at + load_time - Duration::from_secs(2), &popular);
    deployment.close().unwrap();
}

/// Repeats a request that crashes its targets and may run only once.
async fn repeat_order(name: &str) -> (LocalDeployment, Vec<SentRequest>) {
    let mut deployment = start(name, &["stock"; 4], Duration::ZERO).await;
    let load = crashing_load(&deployment, "/orders/crash-1").with_body("");
    let (sent, ran) = tokio::join!(load.run_for(REPEAT_TIME), deployment.run_for(REPEAT_TIME));
    ran.expect(WORKS);
    (deployment, sent)
}

/// Guards against a second run of a request that may run only once, and against answers that say
/// that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_crashes_its_targets_runs_once_for_each_attempt_of_its_caller() {
    let (deployment, sent) = repeat_order("crash-order").await;
    let histories = deployment.histories();
    assert_eq!(check_invariants(&histories, &[]), []);
    for request in &sent {
        let runs = histories.iter().flat_map(|it| &it.runs);
        let runs = runs.filter(|it| it.request_id == request.id).count();
        let expected: &[u16] = if runs == 0 { &[502, 503] } else { &[502] };
        assert!(expected.contains(&request.status()), "{runs} runs: {request:?}");
    }
    deployment.close().unwrap();
}

/// Guards against a budget that holds only for requests that a node retries itself.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_crashes_its_targets_is_not_sent_to_more_than_three_more() {
    let (deployment, sent) = repeat_order("crash-orders").await;
    assert_in_budget(&deployment, &sent);
    deployment.close().unwrap();
}

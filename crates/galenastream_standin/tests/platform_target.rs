//! A target that stops listening serves its open connections; one that a request crashes closes them.

use std::{net::SocketAddr, time::Duration};

use galenastream_standin::{
    CallerConnection, CrashPlan, PlatformTargetStandin, TargetCapacity, TargetConduct, TargetPlan,
    wait_until,
};

/// Panic message where a target needs a free port.
const STARTS: &str = "the target starts";

async fn start_target(capacity: TargetCapacity) -> (PlatformTargetStandin, SocketAddr) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let free_port =
        std::net::TcpListener::bind(any_port).expect(STARTS).local_addr().expect(STARTS);
    let plan = TargetPlan {
        id: "t-0".to_owned(),
        service: "stock".to_owned(),
        address: free_port,
        advertised_address: free_port,
        control: any_port,
        heartbeat_interval: Duration::from_millis(200),
        capacity,
        conduct: TargetConduct::default(),
        crash: CrashPlan::default(),
        started_unix_ms: None,
    };
    (PlatformTargetStandin::start(&plan).await.expect(STARTS), free_port)
}

#[tokio::test]
async fn a_target_that_stops_listening_serves_its_open_connections() {
    let (target, address) = start_target(TargetCapacity::default()).await;
    let mut open = CallerConnection::connect(address).await.unwrap();
    assert_eq!(open.get("/stock/1", "r-1", None).await.unwrap().status, 200);
    target.stop_listening();
    let is_refused = async || CallerConnection::connect(address).await.is_none();
    wait_until("connections to be refused", Duration::from_secs(5), is_refused).await.unwrap();
    assert_eq!(open.get("/stock/1", "r-2", None).await.unwrap().status, 200);
    target.crash();
    assert!(open.get("/stock/1", "r-3", None).await.is_none());
    assert_eq!(target.end().unwrap().crashed_by, None);
    target.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_its_target_ends_the_requests_beside_it_without_an_answer() {
    let service_time = Duration::from_millis(700);
    let (target, address) = start_target(TargetCapacity { slots: 8, service_time }).await;
    let mut beside = CallerConnection::connect(address).await.unwrap();
    let beside = tokio::spawn(async move { beside.get("/stock/1", "beside", None).await });
    let has_run = |id: &str| target.runs().iter().any(|it| it.request_id == id);
    wait_until("the request beside", Duration::from_secs(5), async || has_run("beside"))
        .await
        .unwrap();
    let mut crashing = CallerConnection::connect(address).await.unwrap();
    assert_eq!(crashing.get("/stock/crash-1?a=/b", "crash", None).await, None);
    assert_eq!(beside.await.unwrap(), None);
    assert!(has_run("crash"));
    assert!(CallerConnection::connect(address).await.is_none());
    let end = target.history().end.unwrap();
    assert_eq!(end.crashed_by.as_deref(), Some("crash"));
    let run = target.runs().into_iter().find(|it| it.request_id == "crash").unwrap();
    let run_time = end.at - run.began_at;
    assert!(run_time >= CrashPlan::default().run_time, "{run_time:?}");
    target.close();
}

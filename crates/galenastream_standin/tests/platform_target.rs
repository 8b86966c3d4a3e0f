//! A target that stops listening serves its open connections.

use std::{net::SocketAddr, time::Duration};

use galenastream_standin::{
    CallerConnection, PlatformTargetStandin, TargetCapacity, TargetConduct, TargetPlan, wait_until,
};

#[tokio::test]
async fn a_target_that_stops_listening_serves_its_open_connections() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let free_port = std::net::TcpListener::bind(any_port).unwrap().local_addr().unwrap();
    let plan = TargetPlan {
        id: "t-0".to_owned(),
        service: "stock".to_owned(),
        address: free_port,
        advertised_address: free_port,
        control: any_port,
        heartbeat_interval: Duration::from_millis(200),
        capacity: TargetCapacity::default(),
        conduct: TargetConduct::default(),
        started_unix_ms: None,
    };
    let target = PlatformTargetStandin::start(&plan).await.unwrap();
    let mut open = CallerConnection::connect(free_port).await.unwrap();
    assert_eq!(open.get("/stock/1", "r-1", None).await.unwrap().status, 200);
    target.stop_listening();
    let is_refused = async || CallerConnection::connect(free_port).await.is_none();
    wait_until("connections to be refused", Duration::from_secs(5), is_refused).await.unwrap();
    assert_eq!(open.get("/stock/1", "r-2", None).await.unwrap().status, 200);
    target.crash();
    assert!(open.get("/stock/1", "r-3", None).await.is_none());
    target.close();
}

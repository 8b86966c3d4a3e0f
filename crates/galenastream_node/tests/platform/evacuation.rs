//! Tests of data centres that operators evacuate, with one that does not reach the store.

use std::time::{Duration, Instant};

use galenastream_standin::{
    DeploymentPlan, LinkFault, LocalDeployment, VmLink, VmPlan, wait_until,
};

use super::{TIMEOUT, announcement_load::load_path};

/// The time within which an evacuation has to be in force.
const IN_FORCE_TIME: Duration = Duration::from_secs(5);

const LOAD_TIME: Duration = Duration::from_secs(3);

/// Starts targets of both services in two data centres. The first VM is in `east`.
async fn start_places(name: &str) -> LocalDeployment {
    let mut plan = DeploymentPlan::shop(name, env!("CARGO_BIN_EXE_galenastreamd"), &[]);
    plan.has_proxies = true;
    plan.vms = ["east", "west"]
        .into_iter()
        .flat_map(|place| ["stock", "carts"].map(|it| VmPlan::new(it).with_data_centre(place)))
        .collect();
    LocalDeployment::start(&plan).await.expect("the deployment starts")
}

/// The number of requests that have reached targets in `east` since an instant.
fn arrivals_in_east(deployment: &LocalDeployment, since: Instant) -> usize {
    let arrivals = deployment.vms[..2].iter().flat_map(|it| it.target.arrivals());
    arrivals.filter(|it| it.arrived_at >= since).count()
}

/// Guards against requests to an evacuated data centre, from entries there and elsewhere, and against
/// a node that misses the row and its end since it does not reach the store.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_to_an_evacuated_data_centre_until_it_is_taken_back() {
    let deployment = start_places("evacuation").await;
    let cut_off = &deployment.vms[0];
    cut_off.set_link_fault(VmLink::Store, LinkFault::Silent).unwrap();
    deployment.store.put("op", "evacuate/east", b"{}");
    tokio::time::sleep(IN_FORCE_TIME).await;
    let since = Instant::now();
    for (path, is_keyed) in [("/stock/1", false), ("/carts/1", true)] {
        let sent = load_path(&deployment, path, is_keyed, LOAD_TIME).await;
        let served = sent.iter().filter(|it| it.status() == 200).count();
        assert!(served * 10 >= sent.len() * 9, "{served} of {} served at {path}", sent.len());
    }
    assert_eq!(arrivals_in_east(&deployment, since), 0);
    assert_eq!(deployment.vms[1].target.key_count(), 0, "its keys are in the other data centre");
    deployment.store.remove("op", "evacuate/east");
    wait_until("targets in the data centre to be used again", TIMEOUT, async || {
        load_path(&deployment, "/stock/1", false, Duration::from_millis(200)).await;
        arrivals_in_east(&deployment, since) > 0
    })
    .await
    .unwrap();
    deployment.close().unwrap();
}

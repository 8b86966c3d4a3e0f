//! Tests of targets that are granted their keys by calls.

use std::time::Duration;

use galenastream_standin::{
    DeploymentPlan, LocalDeployment, TargetConduct, VmPlan, check_invariants, wait_until,
};

use super::{TIMEOUT, WORKS, announcement_load::load_path};

/// Longer than the leases of the process before, the last lease, and a write.
const SETTLE_TIME: Duration = Duration::from_secs(14);

async fn start(name: &str, services: &[&str]) -> LocalDeployment {
    let conduct = TargetConduct { takes_calls: true, checks_fences: true, ..Default::default() };
    let vms = services.iter().map(|it| VmPlan::new(it).with_conduct(conduct)).collect();
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let plan = DeploymentPlan { vms, ..DeploymentPlan::shop(name, program, services) };
    LocalDeployment::start(&plan).await.expect(WORKS)
}

async fn wait_for_shares(deployment: &LocalDeployment) {
    wait_until("both targets to hold their shares", TIMEOUT, async || {
        deployment.vms[..2].iter().all(|it| it.target.key_count() > 20_000)
    })
    .await
    .expect(WORKS);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_are_granted_by_calls_are_served_also_after_the_end_of_their_owner() {
    let mut deployment = start("calls", &["carts", "carts", "stock"]).await;
    wait_for_shares(&deployment).await;
    let sent = load_path(&deployment, "/carts/1", true, Duration::from_secs(8)).await;
    assert!(sent.iter().all(|it| it.status() == 200), "leases are renewed: {sent:?}");
    deployment.vms[0].replace_target().await.expect(WORKS);
    let keys =
        |it: &LocalDeployment| -> usize { it.vms.iter().map(|it| it.target.key_count()).sum() };
    wait_until("the keys to be held again", TIMEOUT, async || keys(&deployment) == 65_536)
        .await
        .expect(WORKS);
    let sent = load_path(&deployment, "/carts/1", true, Duration::from_secs(1)).await;
    assert!(sent.iter().all(|it| it.status() == 200), "{sent:?}");
    assert_eq!(check_invariants(&deployment.histories(), &[]), []);
    deployment.close().expect(WORKS);
}

/// Guards against keys that a target holds again by a grant that was carried out late, after it has
/// released them.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_has_one_owner_while_calls_are_late_and_nodes_restart() {
    let mut deployment = start("late-calls", &["carts", "carts", "stock"]).await;
    wait_for_shares(&deployment).await;
    for vm in &deployment.vms {
        vm.target.set_late_calls(50);
    }
    let _ = load_path(&deployment, "/carts/1", true, Duration::from_secs(2)).await;
    // A node that stops hands the keys of its target over; one that is killed does not.
    let node = deployment.vms[0].take_node().expect(WORKS);
    node.request_stop().expect(WORKS);
    let _ = load_path(&deployment, "/carts/1", true, Duration::from_secs(5)).await;
    drop(node);
    deployment.vms[0].start_node().expect(WORKS);
    let _ = load_path(&deployment, "/carts/1", true, Duration::from_secs(3)).await;
    drop(deployment.vms[1].take_node());
    deployment.vms[1].start_node().expect(WORKS);
    deployment.vms[0].replace_target().await.expect(WORKS);
    let _ = load_path(&deployment, "/carts/1", true, Duration::from_secs(3)).await;
    for vm in &deployment.vms {
        vm.target.set_late_calls(0);
    }
    let _ = load_path(&deployment, "/carts/1", true, SETTLE_TIME).await;
    let sent = load_path(&deployment, "/carts/1", true, Duration::from_secs(1)).await;
    assert!(sent.iter().all(|it| it.status() == 200), "{sent:?}");
    assert_eq!(check_invariants(&deployment.histories(), &[]), []);
    deployment.close().expect(WORKS);
}

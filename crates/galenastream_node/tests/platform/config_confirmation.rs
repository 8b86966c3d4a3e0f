//! Tests of how nodes learn that their config is the newest one.

use std::time::Duration;

use galenastream_standin::{
    CallerConnection, DeploymentPlan, LocalDeployment, LocalVm, StoreFault, VmLink, request_bytes,
    wait_until,
};
use serde_json::Value;

use super::{
    TIMEOUT, WORKS,
    deployment::{start, wait_for_confirmed_config},
};

const NODES: usize = 5;
const READERS: usize = 2;

async fn reads_rows(vm: &LocalVm) -> Option<bool> {
    let mut operator = CallerConnection::connect(vm.metrics_address()).await?;
    let page = operator.get("/status", "status", None).await?;
    let page: Value = serde_json::from_str(&page.body).ok()?;
    page["reads_rows"].as_bool()
}

/// Returns the indexes of the nodes that read the shared rows.
async fn readers(vms: &[LocalVm]) -> Vec<usize> {
    let mut readers = Vec::new();
    for (index, vm) in vms.iter().enumerate() {
        if reads_rows(vm).await == Some(true) {
            readers.push(index);
        }
    }
    readers
}

async fn wait_for_readers(vms: &[LocalVm]) -> Vec<usize> {
    wait_until("two nodes to read the rows", TIMEOUT, async || readers(vms).await.len() == READERS)
        .await
        .expect(WORKS);
    readers(vms).await
}

/// Returns the doubts that a node has logged since its config was first confirmed.
fn later_doubts(vm: &LocalVm) -> Vec<Value> {
    let log = vm.log().into_iter();
    let since = log.skip_while(|it| it["kvs"]["event"] != "config_confirmed");
    since.filter(|it| it["kvs"]["event"] == "config_doubted").collect()
}

/// Guards against calls that each node pays for although two readers suffice, and against requests
/// that are asked to come back although the store answers.
#[tokio::test(flavor = "multi_thread")]
async fn only_readers_watch_the_config_often_and_no_node_doubts_it() {
    const OBSERVED: Duration = Duration::from_secs(12);
    /// A watch of 2 s each for the readers and one of 12 s for each other node, and one more each
    /// that is already due.
    const MAX_FEEDS: usize = READERS * (6 + 1) + (NODES - READERS) * (1 + 1);
    let mut deployment = start("confirmed-config", &["stock"; NODES]).await;
    wait_for_confirmed_config(&deployment).await;
    wait_for_readers(&deployment.vms).await;
    // Until the readers have ended their long watches.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = deployment.store.feed_count("op");
    tokio::time::sleep(OBSERVED).await;
    let feeds = deployment.store.feed_count("op") - before;
    assert!(feeds <= MAX_FEEDS, "{feeds} feeds in {OBSERVED:?}");
    println!("{feeds} feeds of the config by {NODES} nodes in {OBSERVED:?}");
    let replaced = readers(&deployment.vms).await[0];
    deployment.vms[replaced].kill_node().unwrap();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let remaining = deployment.vms.iter().enumerate().filter(|(index, _)| *index != replaced);
    for (index, vm) in remaining {
        assert_eq!(later_doubts(vm), Vec::<Value>::new(), "node {index}");
    }
    deployment.close().unwrap();
}

/// Guards against 404 for as long as the watches of all nodes last while the store keeps its
/// connections open and answers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_store_is_noticed_before_the_watches_of_most_nodes_end() {
    /// Age from which a confirmation no longer counts, and some ticks of the control thread.
    const NOTICED: Duration = Duration::from_millis(7_000 + 500);
    let deployment = start("noticed-silence", &["stock"; NODES]).await;
    wait_for_confirmed_config(&deployment).await;
    wait_for_readers(&deployment.vms).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let statuses = async |id: &str| {
        let mut statuses = Vec::new();
        for vm in &deployment.vms {
            let mut caller = vm.caller().await.expect(WORKS);
            statuses.push(caller.get("/nowhere/1", id, None).await.expect(WORKS).status);
        }
        statuses
    };
    assert_eq!(statuses("before").await, [404; NODES]);
    deployment.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(NOTICED).await;
    assert_eq!(statuses("silent").await, [503; NODES]);
    deployment.store.set_fault(StoreFault::None);
    wait_until("the config to be confirmed again", TIMEOUT, async || {
        statuses("after").await == [404; NODES]
    })
    .await
    .expect(WORKS);
    deployment.close().unwrap();
}

/// Guards against nodes that go on with an old config, and answer 404 for the routes of the new one,
/// while their connections to the store are dead.
#[tokio::test(flavor = "multi_thread")]
async fn a_config_is_in_force_soon_after_all_connections_to_the_store_went_silent() {
    /// What operators were promised holds again 3 s after connections went silent; half a second of
    /// it is for reading the config.
    const NOTICED: Duration = Duration::from_millis(2_500);
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let plan = DeploymentPlan::shop("silent-connections", program, &["stock"; NODES]);
    let plan = DeploymentPlan { has_proxies: true, ..plan };
    let deployment = LocalDeployment::start(&plan).await.unwrap();
    wait_for_confirmed_config(&deployment).await;
    wait_for_readers(&deployment.vms).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let statuses = async |path: &str, id: &str| {
        let mut statuses = Vec::new();
        for vm in &deployment.vms {
            let mut caller = vm.caller().await.expect(WORKS);
            statuses.push(caller.get(path, id, None).await.expect(WORKS).status);
        }
        statuses
    };
    // All watches begin anew with the first of two configs.
    let config = DeploymentPlan::shop_config(2, "/first/").to_string();
    deployment.store.put("op", "config", config.as_bytes());
    wait_until("the first config to be in force", TIMEOUT, async || {
        statuses("/first/1", "first").await == [200; NODES]
    })
    .await
    .expect(WORKS);
    for vm in &deployment.vms {
        vm.silence_open_connections(VmLink::Store).unwrap();
    }
    let config = DeploymentPlan::shop_config(3, "/second/").to_string();
    deployment.store.put("op", "config", config.as_bytes());
    tokio::time::sleep(NOTICED).await;
    assert_eq!(statuses("/second/1", "second").await, [200; NODES]);
    deployment.close().unwrap();
}

/// Guards against nodes that put the first of several configs in force, and confirm it, since one
/// answer of the store holds all changes that they missed.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_config_is_not_in_force_after_a_watch_has_returned_several() {
    /// As for one config after silent connections.
    const NOTICED: Duration = Duration::from_millis(2_500);
    let program = env!("CARGO_BIN_EXE_galenastreamd");
    let plan = DeploymentPlan::shop("several-configs", program, &["stock"; NODES]);
    let plan = DeploymentPlan { has_proxies: true, ..plan };
    let deployment = LocalDeployment::start(&plan).await.unwrap();
    wait_for_confirmed_config(&deployment).await;
    wait_for_readers(&deployment.vms).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for vm in &deployment.vms {
        vm.silence_open_connections(VmLink::Store).unwrap();
    }
    for (version, path) in [(2, "/second/"), (3, "/third/"), (4, "/fourth/")] {
        let config = DeploymentPlan::shop_config(version, path).to_string();
        deployment.store.put("op", "config", config.as_bytes());
    }
    tokio::time::sleep(NOTICED).await;
    let mut statuses = Vec::new();
    for vm in &deployment.vms {
        for path in ["/second/1", "/fourth/1"] {
            let mut caller = vm.caller().await.expect(WORKS);
            statuses.push(caller.get(path, "after", None).await.expect(WORKS).status);
        }
    }
    assert_eq!(statuses, [404, 200].repeat(NODES));
    deployment.close().unwrap();
}

/// Guards against 404 on reads that are seconds old, while the store has dropped its history and no
/// watch succeeds.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_may_be_old_does_not_confirm_the_config() {
    const STALENESS: Duration = Duration::from_secs(9);
    /// Until watches that were open before have ended.
    const OPEN_WATCHES: Duration = Duration::from_millis(2_500);
    /// Age from which a confirmation no longer counts, and some ticks of the control thread.
    const NOTICED: Duration = Duration::from_millis(7_000 + 500);
    let deployment = start("old-reads", &["stock"; READERS]).await;
    wait_for_confirmed_config(&deployment).await;
    wait_for_readers(&deployment.vms).await;
    // Until all reads show the first config.
    tokio::time::sleep(STALENESS).await;
    deployment.store.set_fault(StoreFault::StaleWithoutHistory(STALENESS));
    tokio::time::sleep(OPEN_WATCHES).await;
    let config = DeploymentPlan::shop_config(2, "/added/").to_string();
    deployment.store.put("op", "config", config.as_bytes());
    tokio::time::sleep(NOTICED).await;
    for vm in &deployment.vms {
        let mut caller = vm.caller().await.expect(WORKS);
        let answer = caller.get("/added/1", "old-read", None).await.expect(WORKS);
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    deployment.store.set_fault(StoreFault::None);
    wait_until("the config to be in force", TIMEOUT, async || {
        let mut caller = deployment.vms[0].caller().await.expect(WORKS);
        caller.get("/added/1", "after", None).await.expect(WORKS).status == 200
    })
    .await
    .expect(WORKS);
    deployment.close().unwrap();
}

/// Guards against 404 of a node that goes on after a suspension and takes its config for confirmed until
/// its control thread has run.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_suspended_does_not_refuse_on_its_old_confirmation() {
    /// Longer than a confirmation counts.
    const SUSPENDED: Duration = Duration::from_millis(8_000);
    const CALLERS: usize = 64;
    let deployment = start("suspended-confirmation", &["stock"; 2]).await;
    wait_for_confirmed_config(&deployment).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let node = deployment.vms[1].node().expect(WORKS);
    node.suspend().expect(WORKS);
    let config = DeploymentPlan::shop_config(2, "/second/").to_string();
    deployment.store.put("op", "config", config.as_bytes());
    tokio::time::sleep(SUSPENDED).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = deployment.vms[1].caller().await.expect(WORKS);
        let request = request_bytes("GET", "/second/1", &format!("second-{number}"), None);
        caller.send(request.as_bytes()).await.expect(WORKS);
        callers.push(caller);
    }
    node.resume().expect(WORKS);
    let mut statuses = Vec::new();
    for caller in &mut callers {
        statuses.push(caller.read().await.expect(WORKS).status);
    }
    let refused = statuses.iter().filter(|it| **it == 404).count();
    assert_eq!(refused, 0, "of {CALLERS}: {statuses:?}");
    deployment.close().unwrap();
}

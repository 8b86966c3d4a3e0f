//! Operators change the settings at the same time, and nodes come back with old ones.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use galenastream_node::HealthDocument;
use galenastream_ownership::SettingsVersion;
use galenastream_platform::PublishError;
use galenastream_standin::{Vm, wait_until};
use support::{Cluster, SETTINGS, WAIT_LIMIT, take_turn};

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_one_gets_a_conflict_and_the_other_is_in_force_everywhere() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("operators", 3).await;
    for version in 1..4 {
        let (one, other) = (tree(version * 10), tree(version * 10 + 1));
        let store = cluster.settings_store();
        let expected = SettingsVersion(version);
        let (first, second) =
            tokio::join!(store.publish(expected, &one), store.publish(expected, &other));
        let conflict = PublishError::Conflict { current: SettingsVersion(version + 1) };
        let published = SettingsVersion(version + 1);
        assert!(
            [(Ok(published), Err(conflict.clone())), (Err(conflict), Ok(published))]
                .contains(&(first.clone(), second.clone())),
            "{first:?} and {second:?}"
        );
        for vm in &cluster.vms {
            wait_for_version(&cluster, vm, version + 1).await;
        }
    }
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_serves_nothing_under_old_settings() {
    let _turn = take_turn().await;
    let cluster = Cluster::start("paused-settings", 3).await;
    let coordinator = cluster.coordinator().await;
    let paused = &cluster.vms[(coordinator + 1) % 3];
    paused.freeze().unwrap();
    let store = cluster.settings_store();
    store.publish(SettingsVersion(1), &tree(10)).await.unwrap();
    wait_for_version(&cluster, &cluster.vms[coordinator], 2).await;
    paused.resume().unwrap();
    wait_for_version(&cluster, paused, 2).await;
    cluster.close();
}

fn tree(retry_after_ms: u64) -> String {
    let retry_after = format!("[defaults]\nretry_after_ms = {retry_after_ms}");
    SETTINGS.replacen("[defaults]", &retry_after, 1)
}

async fn wait_for_version(cluster: &Cluster, vm: &Vm, version: u64) {
    let name = format!("settings version {version} at {}", vm.name);
    let mut highest = 0;
    wait_until(&name, WAIT_LIMIT, async || {
        let Some(answer) = cluster.admin_get(vm, "/health/live").await else {
            return false;
        };
        let document: HealthDocument = serde_json::from_slice(&answer.body).unwrap();
        assert!(document.settings_version >= highest, "the version fell");
        highest = document.settings_version;
        highest == version
    })
    .await
    .unwrap();
}

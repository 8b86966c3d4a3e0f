//! Several services, and one that is not divided by key.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use std::{
    collections::BTreeSet,
    ops::Range,
    time::{Duration, Instant},
};

use galenastream_ownership::SettingsVersion;
use galenastream_standin::{CallerRequest, VmOptions, wait_until};
use http::Method;
use support::{Cluster, PLACES, WAIT_LIMIT, take_turn};

/// How long requests are sent after a loss: longer than the members' list is kept.
const AFTER_LOSS: Duration = Duration::from_secs(3);

const SETTINGS: &str = "\
[defaults]
initial_slices = 12
ramp_up_ms = 0

[places.east]
[places.south]
[places.west]

[services.catalogue]
[services.catalogue.places.east]
[services.catalogue.places.south]
[services.catalogue.places.west]

[services.booking]
[services.booking.places.east]
[services.booking.places.south]
[services.booking.places.west]

[services.fitting]
divided_by_key = false
[services.fitting.places.east]
[services.fitting.places.south]
[services.fitting.places.west]
";

async fn start(name: &str, services: &[&str]) -> Cluster {
    let mut cluster = Cluster::start_platform(name).await;
    cluster.settings_store().publish(SettingsVersion(0), SETTINGS).await.unwrap();
    for service in services {
        for place in PLACES {
            cluster.add_vm(&VmOptions::new(place, service));
        }
    }
    for vm in &cluster.vms {
        let name = format!("{} to be ready", vm.name);
        wait_until(&name, WAIT_LIMIT, async || vm.is_ready(&cluster.caller).await).await.unwrap();
    }
    cluster
}

/// The target that answered; `None` if none did.
async fn answering_target(
    cluster: &Cluster,
    entry: usize,
    request: &CallerRequest,
) -> Option<String> {
    let answer = cluster.caller.call(cluster.vms[entry].caller_address, request).await.ok()?;
    if answer.outcome() != "ran" {
        return None;
    }
    answer.json()["target"].as_str().map(str::to_owned)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_takes_no_part_until_a_version_names_its_service() {
    let _turn = take_turn().await;
    let mut cluster = Cluster::start_platform("unnamed-service").await;
    let others = SETTINGS.replace("catalogue", "archive");
    cluster.settings_store().publish(SettingsVersion(0), &others).await.unwrap();
    for place in PLACES {
        cluster.add_vm(&VmOptions::new(place, "catalogue"));
    }
    for vm in &cluster.vms {
        let name = format!("{} to tell that it waits", vm.name);
        wait_until(&name, WAIT_LIMIT, async || {
            vm.node.errors().is_ok_and(|errors| errors.contains("settings_absent"))
        })
        .await
        .unwrap();
        assert!(!vm.is_ready(&cluster.caller).await);
        assert_eq!(vm.held_slices(&cluster.caller).await, 0);
    }
    cluster.settings_store().publish(SettingsVersion(1), SETTINGS).await.unwrap();
    cluster.wait_until_ready().await;
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_of_one_service_routes_to_another() {
    let _turn = take_turn().await;
    let mut cluster = start("two-services", &["catalogue", "booking"]).await;
    let booking: BTreeSet<String> = (3..6).map(|it| format!("vm-{it}-target")).collect();
    let request = CallerRequest::new(Method::POST, "/booking/appointments").with_key("frame-1");
    let mut target = None;
    wait_until("the booking to be taken", WAIT_LIMIT, async || {
        target = answering_target(&cluster, 0, &request).await;
        target.is_some()
    })
    .await
    .unwrap();
    let target = target.unwrap();
    assert!(booking.contains(&target), "{target} answered");

    let lost = cluster.vms.iter().position(|vm| vm.target.name() == target).unwrap();
    cluster.vms.remove(lost).kill().unwrap();
    wait_until("another target to take the booking", WAIT_LIMIT, async || {
        let answering = answering_target(&cluster, 0, &request).await;
        answering.is_some_and(|it| booking.contains(&it) && it != target)
    })
    .await
    .unwrap();
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn any_target_of_an_undivided_service_answers() {
    let _turn = take_turn().await;
    let mut cluster = start("undivided", &["fitting", "catalogue"]).await;
    let request = CallerRequest::new(Method::GET, "/fitting/previews");
    let mut seen = BTreeSet::new();
    for entry in [0, 3] {
        seen.clear();
        wait_until("all targets to answer", WAIT_LIMIT, async || {
            seen.extend(answering_target(&cluster, entry, &request).await);
            seen.len() == 3
        })
        .await
        .unwrap();
    }
    // The coordinator is lost, so that its successor does not know all members at first.
    let lost = coordinator_of(&cluster, 0..3).await;
    // One entry has not asked for the members before, the other one has.
    let entries = [(lost + 1) % 3, 3].map(|index| cluster.vms[index].caller_address);
    let lost = cluster.vms.remove(lost).target.name().to_owned();
    let since = Instant::now();
    while since.elapsed() < AFTER_LOSS {
        for entry in entries {
            let answer = cluster.caller.call(entry, &request).await.unwrap();
            assert_eq!(answer.outcome(), "ran", "{:?} after the loss: {answer:?}", since.elapsed());
            assert_ne!(answer.json()["target"], lost.as_str());
        }
    }
    cluster.close();
}

/// The VM that says that it is the coordinator of its cell.
async fn coordinator_of(cluster: &Cluster, vms: Range<usize>) -> usize {
    let mut coordinator = None;
    wait_until("a coordinator", WAIT_LIMIT, async || {
        for index in vms.clone() {
            let cells = cluster.cells(&cluster.vms[index]).await;
            if cells.is_some_and(|it| it.cells.iter().any(|cell| cell.is_coordinator)) {
                coordinator = Some(index);
            }
        }
        coordinator.is_some()
    })
    .await
    .unwrap();
    coordinator.unwrap()
}

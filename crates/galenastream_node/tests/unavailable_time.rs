//! Measures how long keys are unavailable after losses, moves and drains.
//!
//! Not run by default: `tools/measure-unavailable-time.sh` builds the release and runs it.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use galenastream_standin::wait_until;
use support::{Cluster, ReadLoad, WAIT_LIMIT};

const KILLS: usize = 24;
const MOVES: usize = 20;
const DRAINS: usize = 6;

/// Within what time a key shall be served again after the loss of its VM.
const LOSS_LIMIT: Duration = Duration::from_secs(1);

/// How long a planned move may make a key unavailable.
const MOVE_LIMIT: Duration = Duration::from_millis(50);

/// Pause between two looks at a key.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of about two minutes on an idle machine"]
async fn after_the_loss_of_a_vm() {
    let mut cluster = Cluster::start("measure-loss", 3).await;
    let mut times = Vec::new();
    let mut failed_elsewhere = 0;
    for kill in 0..KILLS {
        let coordinator = cluster.coordinator().await;
        // Every third loss is that of the coordinator.
        let index = (coordinator + kill % 3) % 3;
        let key = cluster.key_of(index).await;
        let others = cluster.keys_without(index, 2).await;
        let entries = cluster.entries_without(index);
        let reads = ReadLoad::start(&entries, &others);
        wait_until("reads to be answered", WAIT_LIMIT, async || reads.answered() > 50)
            .await
            .unwrap();

        let killed_at = Instant::now();
        let lost = cluster.vms.remove(index).kill().unwrap();
        let unavailable = watch_until_served(&cluster, &entries, &key, killed_at).await;
        let answered = reads.answered();
        wait_until("more reads", WAIT_LIMIT, async || reads.answered() > answered + 100)
            .await
            .unwrap();
        let report = reads.stop().await;
        for failed in &report.failed {
            println!("kill {kill}: a key of another VM: {failed:?}");
        }
        failed_elsewhere += report.failed.len();
        let role = if index == coordinator { "coordinator" } else { "member" };
        println!("kill {kill} ({role}): {} ms", unavailable.as_millis());
        times.push((role, unavailable));
        cluster.restart(&lost);
        cluster.wait_until_ready().await;
    }
    print_distribution("all losses", times.iter().map(|it| it.1));
    for role in ["coordinator", "member"] {
        let of_role = times.iter().filter(|it| it.0 == role).map(|it| it.1);
        print_distribution(role, of_role);
    }
    println!("failed reads of keys of other VMs: {failed_elsewhere}");
    assert_eq!(cluster.judge().breaches(), Vec::new());
    assert!(times.iter().all(|it| it.1 < LOSS_LIMIT), "a key was unavailable for too long");
    assert_eq!(failed_elsewhere, 0);
    cluster.close();
}

/// The time from the loss to the first answer, as a caller sees it that asks all the time.
async fn watch_until_served(
    cluster: &Cluster,
    entries: &[SocketAddr],
    key: &str,
    since: Instant,
) -> Duration {
    let mut turn = 0;
    while since.elapsed() < WAIT_LIMIT {
        turn += 1;
        if cluster.reads(entries[turn % entries.len()], key).await {
            return since.elapsed();
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    panic!("{key} was not served again");
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of about two minutes on an idle machine"]
async fn during_a_planned_move() {
    let cluster = Cluster::start("measure-move", 3).await;
    let coordinator = cluster.coordinator().await;
    let key = cluster.key_of((coordinator + 1) % 3).await;
    let mut times = Vec::new();
    for number in 0..MOVES {
        let to = (coordinator + 1 + (number + 1) % 2) % 3;
        let reads = ReadLoad::start(&cluster.entries(), std::slice::from_ref(&key));
        wait_until("reads to be answered", WAIT_LIMIT, async || reads.answered() > 20)
            .await
            .unwrap();
        let order = format!(
            r#"{{"service":"catalogue","key":"{key}","to":"{}"}}"#,
            cluster.vms[to].vm_address
        );
        let answer = cluster.admin_post(&cluster.vms[coordinator], "/admin/move", &order).await;
        assert!(answer.status.is_success(), "{answer:?}");
        wait_until("the key to move", WAIT_LIMIT, async || cluster.owner_of(&key).await == to)
            .await
            .unwrap();
        let report = reads.stop().await;
        assert!(report.failed.is_empty(), "{:?}", report.failed);
        times.push(report.longest_gap);
    }
    print_distribution("planned moves, longest gap between two answers", times.iter().copied());
    assert_eq!(cluster.judge().breaches(), Vec::new());
    assert!(times.iter().all(|it| *it < MOVE_LIMIT), "a move took too long: {times:?}");
    cluster.close();
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of about two minutes on an idle machine"]
async fn while_nodes_stop_gracefully() {
    let mut cluster = Cluster::start("measure-drain", 3).await;
    let mut gaps = Vec::new();
    let mut answered = 0;
    let mut failed = 0;
    for number in 0..DRAINS {
        let leaving = (cluster.coordinator().await + number % 3) % 3;
        let mut keys = cluster.keys_of(leaving, 4).await;
        keys.extend(cluster.keys_without(leaving, 2).await);
        let reads = ReadLoad::start(&cluster.entries_without(leaving), &keys);
        wait_until("reads to be answered", WAIT_LIMIT, async || reads.answered() > 100)
            .await
            .unwrap();
        let vm = cluster.vms.remove(leaving);
        let lost = vm.stop().await.unwrap();
        let report = reads.stop().await;
        for read in &report.failed {
            println!("drain {number}: {read:?}");
        }
        answered += report.answered;
        failed += report.failed.len();
        gaps.push(report.longest_gap);
        cluster.restart(&lost);
        cluster.wait_until_ready().await;
    }
    print_distribution("drains, longest gap between two answers", gaps.iter().copied());
    println!("drains: {answered} reads answered, {failed} failed");
    assert_eq!(cluster.judge().breaches(), Vec::new());
    assert_eq!(failed, 0);
    cluster.close();
}

fn print_distribution(name: &str, times: impl Iterator<Item = Duration>) {
    let mut times: Vec<u128> = times.map(|it| it.as_millis()).collect();
    times.sort_unstable();
    let Some(last) = times.len().checked_sub(1) else {
        return;
    };
    println!(
        "{name}: {} runs, min {} ms, median {} ms, p90 {} ms, max {} ms; all: {times:?}",
        times.len(),
        times[0],
        times[last / 2],
        times[last * 9 / 10],
        times[last],
    );
}

//! Tests of the log of a process that ends.

use super::deployment::start;

/// Guards against lines that are still buffered when the process exits: without the last one, a
/// graceful stop cannot be told from a kill.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_lines_of_a_stopping_node_are_logged() {
    let mut deployment = start("last-lines", &["stock"]).await;
    let vm = &mut deployment.vms[0];
    assert!(vm.stop_node().await.unwrap().success());
    let log = vm.log();
    let last = log.last().map(|it| it["kvs"]["event"].clone());
    assert_eq!(last, Some("process_stopped".into()));
    deployment.close().unwrap();
}

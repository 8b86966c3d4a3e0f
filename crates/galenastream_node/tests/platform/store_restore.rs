//! Tests of a store that comes back from an older copy.

use std::time::Duration;

use galenastream_adapter::StoreClient;
use galenastream_standin::{LocalDeployment, check_invariants, wait_until};
use galenastream_wire::{SHARED_ROWS_TABLE, SharedRowKey};

use super::{TIMEOUT, announcement_load::load_path, deployment::start};

/// Time after which the rows of the new era are in force and the leases granted: the validity of a
/// row of 12 s, and some heartbeats.
const SETTLE_TIME: Duration = Duration::from_secs(15);

const TREE: &str = "[services.carts]\nretry_budget_percent = 30\n";

async fn value_in_store(deployment: &LocalDeployment, key: &str) -> Option<String> {
    let mut connection = StoreClient::new(deployment.store.address()).new_connection();
    let table = connection.read_table(SHARED_ROWS_TABLE, Duration::from_secs(1)).await.ok()?;
    let row = table.into_rows().into_iter().find(|it| it.key == key)?;
    Some(String::from_utf8_lossy(&row.value?).into_owned())
}

/// Guards against grants on rows that do not show the moves that the store has lost, and against
/// settings that revert.
#[tokio::test(flavor = "multi_thread")]
async fn keys_keep_one_owner_and_settings_stay_when_the_store_comes_back_older() {
    let mut deployment = start("restore", &["carts", "carts", "stock"]).await;
    let keys =
        |it: &LocalDeployment| -> usize { it.vms.iter().map(|it| it.target.key_count()).sum() };
    wait_until("both targets to hold their shares", TIMEOUT, async || {
        deployment.vms[..2].iter().all(|it| it.target.key_count() > 20_000)
    })
    .await
    .unwrap();
    deployment.store.make_copy();
    // The keys of the first target move, which the store forgets.
    deployment.vms[0].replace_target().await.unwrap();
    wait_until("the keys to be held again", TIMEOUT, async || keys(&deployment) == 65_536)
        .await
        .unwrap();
    let tree_key = SharedRowKey::SettingsTree.key();
    deployment.store.put(SHARED_ROWS_TABLE, &tree_key, TREE.as_bytes());
    let knows_tree =
        || deployment.vms[0].log().iter().any(|it| it["kvs"]["event"] == "tree_in_force");
    wait_until("the tree to be in force", TIMEOUT, async || knows_tree()).await.unwrap();
    deployment.store.restore();
    assert_eq!(value_in_store(&deployment, &tree_key).await, None, "the store has lost it");
    let _ = load_path(&deployment, "/carts/1", true, SETTLE_TIME).await;
    let sent = load_path(&deployment, "/carts/1", true, Duration::from_secs(1)).await;
    assert!(sent.iter().all(|it| it.status() == 200), "{sent:?}");
    assert_eq!(value_in_store(&deployment, &tree_key).await.as_deref(), Some(TREE));
    assert_eq!(check_invariants(&deployment.histories(), &[]), []);
    deployment.close().unwrap();
}

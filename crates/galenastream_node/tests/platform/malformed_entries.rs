//! Tests of rows and heartbeats that another writer has left.

use std::{net::SocketAddr, time::Duration};

use galenastream_standin::{
    CallerConnection, DeploymentPlan, HeartbeatFields, LocalDeployment, heartbeat_body,
    heartbeat_request, wait_until,
};
use galenastream_wire::NodeRow;
use prost::Message;

use super::{
    TIMEOUT, WORKS,
    deployment::{start, wait_for_confirmed_config},
};

/// The port of the heartbeats of targets.
const CONTROL_PORT: u16 = 8_005;

/// Deeper than a parser that recurses can go on the stack of a thread, and within the size of a row.
const DEPTH: usize = 9_000;

/// How long the nodes go on with the malformed entries: longer than a lease.
const FOLLOWING_TIME: Duration = Duration::from_secs(8);

/// Texts that are malformed as a JSON document, a TOML document or any other entry.
fn malformed_texts() -> Vec<String> {
    let nested = |open: &str, close: &str| open.repeat(DEPTH) + &close.repeat(DEPTH);
    vec![
        nested("[", "]"),
        "[".repeat(DEPTH),
        nested("{\"a\":", "}"),
        format!("{{\"version\":{}}}", nested("[", "]")),
        format!("a = {}", nested("[", "]")),
        format!("a = {}", nested("{ a = ", "}")),
        format!("{}a = 1", "a.".repeat(DEPTH)),
        format!("[{}a]\nb = 1", "a.".repeat(DEPTH)),
        "{\"version\":1e999}".to_owned(),
        "{\"version\":\"00000009\",\"services\":18446744073709551616}".to_owned(),
        "a = 18446744073709551616".to_owned(),
        "\u{0}".to_owned(),
        String::new(),
    ]
}

/// Rows of nodes that cannot be reached at their addresses.
fn malformed_node_rows() -> Vec<Vec<u8>> {
    let addresses = [
        "127.0.0.1:65536",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "[::1]:99999",
        "",
        "0.0.0.0:18446744073709551616",
    ];
    let row = |address: &&str| {
        NodeRow { address: (*address).to_owned(), data_centre: "x".repeat(10_000) }.encode_to_vec()
    };
    addresses.iter().map(row).collect()
}

/// Sends heartbeats in the name of a target, and of one that nobody knows, with malformed values.
async fn send_malformed_reports(deployment: &LocalDeployment, vm: usize) {
    let ip = deployment.vms[vm].ip;
    let target = deployment.vms[vm].target.history();
    let address = SocketAddr::new(ip, 8_001).to_string();
    let whole = heartbeat_body(HeartbeatFields {
        born_ms: None,
        address: &address,
        service: &target.service,
        slots: 8,
        sequence: 1,
        held: &[],
        released: &[],
    });
    let mut bodies = malformed_texts();
    for (from, to) in [
        (&*address, "127.0.0.1:65536"),
        ("\"slots\":8", "\"slots\":1e999"),
        ("\"slots\":8", "\"slots\":18446744073709551616"),
        ("\"seq\":1", "\"seq\":18446744073709551616"),
        ("\"seq\":1", "\"seq\":-1"),
        // The remaining time for which the target is cold.
        ("\":0,", "\":18446744073709551616,"),
        ("\"born\":null", "\"born\":1e400"),
        ("\"ready\"", "\"unknown\""),
    ] {
        let body = whole.replace(from, to);
        assert_ne!(body, whole, "{from}");
        bodies.push(body);
    }
    // A field that is not known may hold anything. The report is older than those of the target.
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let outdated = whole.replacen('{', &format!("{{\"more\":{nested},"), 1);
    bodies.push(outdated.clone());
    for body in bodies {
        let expected_status = if body == outdated { 200 } else { 400 };
        for id in [&*target.id, "other"] {
            let mut writer =
                CallerConnection::connect(SocketAddr::new(ip, CONTROL_PORT)).await.expect(WORKS);
            // A report that is too long is refused while it is sent.
            if writer.send(heartbeat_request(id, &body).as_bytes()).await.is_ok() {
                let answer = writer.read().await;
                assert!(answer.is_none_or(|it| it.status == expected_status), "{id}: {body:.200}");
            }
        }
    }
}

/// Guards against nodes that end, or stop following the rows, because of an entry that another writer
/// left: very deeply nested, with a number that is too large, or with a port out of range.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_go_on_beside_malformed_entries() {
    let mut deployment = start("malformed-entries", &["carts", "stock", "carts", "stock"]).await;
    wait_for_confirmed_config(&deployment).await;
    let store = &deployment.store;
    for (number, text) in malformed_texts().iter().enumerate() {
        store.put("op", &format!("evacuate/odd-{number}"), text.as_bytes());
        store.put("galenastream", &format!("node/odd-{number}"), text.as_bytes());
        for key in ["settings/tree", "quarantine", "leave/vm-1"] {
            store.put("galenastream", key, text.as_bytes());
        }
    }
    for (number, row) in malformed_node_rows().iter().enumerate() {
        store.put("galenastream", &format!("node/unreachable-{number}"), row);
        store.put("galenastream", "node/vm-3", row);
    }
    for vm in 0..deployment.vms.len() {
        send_malformed_reports(&deployment, vm).await;
    }
    tokio::time::sleep(FOLLOWING_TIME).await;
    // A node that starts now reads the malformed entries with everything else.
    deployment.vms[3].kill_node().unwrap();
    deployment.vms[3].start_node().unwrap();
    let config = DeploymentPlan::shop_config(2, "/shelf/").to_string();
    deployment.store.put("op", "config", config.as_bytes());
    for vm in &mut deployment.vms {
        assert!(vm.take_ended_node().is_none(), "the node of {} has ended", vm.name);
    }
    for vm in &deployment.vms {
        wait_until("the config to be in force", TIMEOUT, async || {
            let Ok(mut caller) = vm.caller().await else {
                return false;
            };
            caller.get("/shelf/1", "shelf", None).await.is_some_and(|it| it.status == 200)
        })
        .await
        .unwrap();
        wait_until("keys to be served", TIMEOUT, async || vm.reaches("carts").await).await.unwrap();
    }
    deployment.close().unwrap();
}

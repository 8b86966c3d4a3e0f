//! The version of the settings in force never falls, and an old one serves nothing.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::{sync::Arc, time::Duration};

use galenastream_node::{SettingsKeeper, SettingsVersionInForce};
use galenastream_ownership::{PlaceId, SettingsVersion};

fn version(number: u64) -> SettingsVersionInForce {
    let toml = "[places.east]\n[services.catalogue]\n[services.catalogue.places.east]\n";
    let place = PlaceId::from_name("east");
    SettingsVersionInForce::parse(SettingsVersion(number), toml.to_owned(), place).unwrap()
}

#[test]
fn an_older_version_is_refused() {
    let keeper = SettingsKeeper::new(version(5));
    assert!(!keeper.install(version(4)));
    assert!(!keeper.install(version(5)));
    assert_eq!(keeper.version(), SettingsVersion(5));
    assert!(keeper.install(version(7)));
    keeper.see(SettingsVersion(6), None);
    assert!(!keeper.is_behind());
    assert_eq!(keeper.version(), SettingsVersion(7));
}

#[tokio::test]
async fn a_request_waits_a_short_while_for_a_version_that_was_seen() {
    let keeper = Arc::new(SettingsKeeper::new(version(1)));
    assert!(keeper.wait_until_current().await);
    keeper.see(SettingsVersion(2), None);
    assert!(!keeper.wait_until_current().await, "served under an old version");
    let waiting = tokio::spawn({
        let keeper = keeper.clone();
        async move { keeper.wait_until_current().await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(keeper.install(version(2)));
    assert!(waiting.await.unwrap());
}

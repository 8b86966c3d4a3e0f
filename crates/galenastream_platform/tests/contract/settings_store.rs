//! Versions of the settings under racing publishers and faults of the platform.

use bytes::Bytes;
use galenastream_ownership::{SettingsVersion, WriteId};
use galenastream_platform::{GetError, PlatformLimits, PublishError, SettingsStore};
use galenastream_standin::{PlatformFaults, PlatformStandin, wait_until};

use crate::platform::*;

fn store(platform: &PlatformStandin) -> SettingsStore {
    store_with(platform, patient_limits())
}

fn impatient_store(platform: &PlatformStandin) -> SettingsStore {
    store_with(platform, limits())
}

fn store_with(platform: &PlatformStandin, limits: PlatformLimits) -> SettingsStore {
    let table = table_at(platform.table_address(), limits);
    SettingsStore::new(table, bucket_at(platform.object_address(), limits))
}

async fn current(store: &SettingsStore) -> (u64, String) {
    let Some(pointer) = store.current().await.expect("the pointer can be read") else {
        return (0, String::new());
    };
    let toml = store.load(&pointer).await.expect("the tree can be read");
    (pointer.version.0, toml)
}

fn text(version: u64, toml: &str) -> (u64, String) {
    (version, toml.to_owned())
}

#[tokio::test]
async fn versions_rise_one_by_one() {
    let platform = start_platform().await;
    let store = store(&platform);
    assert_eq!(current(&store).await, text(0, ""));
    assert_eq!(store.publish(SettingsVersion(0), "one").await, Ok(SettingsVersion(1)));
    assert_eq!(current(&store).await, text(1, "one"));
    assert_eq!(store.publish(SettingsVersion(1), "two").await, Ok(SettingsVersion(2)));
    assert_eq!(current(&store).await, text(2, "two"));
    for expected in [0, 1, 3, 9] {
        let conflict = Err(PublishError::Conflict { current: SettingsVersion(2) });
        assert_eq!(store.publish(SettingsVersion(expected), "lost").await, conflict);
        assert_eq!(current(&store).await, text(2, "two"));
    }
}

#[tokio::test]
async fn of_racing_publishers_one_succeeds_and_the_others_are_told() {
    let platform = start_platform().await;
    store(&platform).publish(SettingsVersion(0), "base").await.unwrap();
    let mut publishers = Vec::new();
    for index in 0..10 {
        let store = store(&platform);
        publishers.push(tokio::spawn(async move {
            store.publish(SettingsVersion(1), &format!("tree {index}")).await
        }));
    }
    let mut winners = Vec::new();
    for (index, publisher) in publishers.into_iter().enumerate() {
        match publisher.await.unwrap() {
            Ok(version) => winners.push((index, version)),
            Err(error) => {
                assert_eq!(error, PublishError::Conflict { current: SettingsVersion(2) });
            }
        }
    }
    let [(winner, SettingsVersion(2))] = winners[..] else {
        panic!("{winners:?}");
    };
    assert_eq!(current(&store(&platform)).await, text(2, &format!("tree {winner}")));
}

#[tokio::test]
async fn a_publication_whose_answer_was_lost_is_recognized() {
    let platform = start_platform().await;
    let store = impatient_store(&platform);
    let lost = PlatformFaults { drop_answer_after_apply: 1, ..PlatformFaults::default() };
    platform.set_table_faults(lost);
    assert_eq!(store.publish(SettingsVersion(0), "one").await, Ok(SettingsVersion(1)));
    platform.set_object_faults(lost);
    assert_eq!(store.publish(SettingsVersion(1), "two").await, Ok(SettingsVersion(2)));
    assert_eq!(current(&store).await, text(2, "two"));
}

#[tokio::test]
async fn a_publication_that_may_still_take_effect_is_unknown() {
    let platform = start_platform().await;
    let store = impatient_store(&platform);
    let late = PlatformFaults { apply_late_ms: 3 * LATE_MS, ..PlatformFaults::default() };
    platform.set_table_faults(late);
    let published = store.publish(SettingsVersion(0), "one").await;
    assert!(
        matches!(published, Err(PublishError::Unknown { version: SettingsVersion(1), .. })),
        "{published:?}"
    );
    platform.set_table_faults(PlatformFaults::default());
    wait_until("the late write", LIMIT, async || current(&store).await.0 == 1).await.unwrap();
    assert_eq!(current(&store).await, text(1, "one"));
}

#[tokio::test]
async fn without_the_object_store_nothing_is_published() {
    let platform = start_platform().await;
    let store = store(&platform);
    store.publish(SettingsVersion(0), "one").await.unwrap();
    platform.set_object_faults(PlatformFaults { refuse_all: true, ..PlatformFaults::default() });
    let published = store.publish(SettingsVersion(1), "two").await;
    assert!(matches!(published, Err(PublishError::NotPublished { .. })), "{published:?}");
    platform.set_object_faults(PlatformFaults::default());
    assert_eq!(current(&store).await, text(1, "one"));
}

#[tokio::test]
async fn without_the_table_service_it_is_said_what_is_known() {
    let platform = start_platform().await;
    let objects = bucket_at(platform.object_address(), patient_limits());
    let unreachable = SettingsStore::new(table_at(closed_address(), limits()), objects);
    let published = unreachable.publish(SettingsVersion(0), "one").await;
    assert!(matches!(published, Err(PublishError::NotPublished { .. })), "{published:?}");
    let down = PlatformFaults { outage_ms: 60_000, ..PlatformFaults::default() };
    platform.set_table_faults(down);
    let published = impatient_store(&platform).publish(SettingsVersion(0), "one").await;
    assert!(matches!(published, Err(PublishError::Unknown { .. })), "{published:?}");
}

#[tokio::test]
async fn a_damaged_pointer_or_an_absent_object_is_an_error() {
    let platform = start_platform().await;
    let store = store(&platform);
    let table = table_at(platform.table_address(), patient_limits());
    table.put("current", None, WriteId(1), Bytes::from_static(b"junk")).await.unwrap();
    assert!(matches!(store.current().await, Err(GetError::Damaged { .. })));
    let payload = Bytes::from_static(br#"{"object":"settings/none.toml","content_hash":1}"#);
    let version = galenastream_ownership::RowVersion(1);
    table.put("current", Some(version), WriteId(2), payload).await.unwrap();
    let pointer = store.current().await.unwrap().unwrap();
    assert!(matches!(store.load(&pointer).await, Err(GetError::Damaged { .. })));
}

#[tokio::test]
async fn a_tree_that_arrives_changed_is_an_error() {
    let platform = start_platform().await;
    let store = store(&platform);
    store.publish(SettingsVersion(0), "one").await.unwrap();
    let pointer = store.current().await.unwrap().unwrap();
    platform.set_object_faults(PlatformFaults { garbage_answers: true, ..Default::default() });
    assert!(matches!(store.load(&pointer).await, Err(GetError::Damaged { .. })));
    platform.set_object_faults(PlatformFaults::default());
    assert_eq!(store.load(&pointer).await.as_deref(), Ok("one"));
}

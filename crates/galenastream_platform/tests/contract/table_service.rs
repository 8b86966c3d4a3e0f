//! Contract of the table service: what a client knows about a request under each fault.

use bytes::Bytes;
use expect_test::expect;
use futures::future::join_all;
use galenastream_ownership::{RowVersion, WriteId};
use galenastream_platform::{PutError, TableClient, TableRow};
use galenastream_standin::PlatformFaults;

use crate::platform::*;

const KEY: &str = "cell/1";
const WRITE: WriteId = WriteId(u64::MAX);

async fn put(table: &TableClient, expected: Option<u64>) -> Result<RowVersion, PutError> {
    table.put(KEY, expected.map(RowVersion), WRITE, Bytes::from_static(b"row")).await
}

#[tokio::test]
async fn a_row_is_read_as_it_was_written() {
    let platform = start_platform().await;
    let table = table_at(platform.table_address(), patient_limits());
    assert_eq!(table.get(KEY).await, Ok(None));
    for (expected, version) in [(None, 1), (Some(1), 2), (Some(2), 3)] {
        let write = WriteId(version);
        let payload = Bytes::from(vec![version as u8, 0, 255]);
        let put = table.put(KEY, expected.map(RowVersion), write, payload.clone()).await;
        assert_eq!(put, Ok(RowVersion(version)));
        let row = TableRow { version: RowVersion(version), write, payload };
        assert_eq!(table.get(KEY).await, Ok(Some(row)));
    }
}

#[tokio::test]
async fn a_write_with_another_expectation_is_a_conflict_and_changes_nothing() {
    let platform = start_platform().await;
    let table = table_at(platform.table_address(), patient_limits());
    assert_eq!(put(&table, Some(1)).await, Err(PutError::Conflict));
    assert_eq!(table.get(KEY).await, Ok(None));
    put(&table, None).await.unwrap();
    put(&table, Some(1)).await.unwrap();
    let before = table.get(KEY).await;
    for expected in [None, Some(0), Some(1), Some(3)] {
        assert_eq!(put(&table, expected).await, Err(PutError::Conflict), "{expected:?}");
        assert_eq!(table.get(KEY).await, before);
    }
}

#[tokio::test]
async fn of_many_writers_of_one_version_one_succeeds() {
    let platform = start_platform().await;
    let mut writers = Vec::new();
    for _ in 0..10 {
        let table = table_at(platform.table_address(), patient_limits());
        writers.push(tokio::spawn(async move { put(&table, None).await }));
    }
    let mut words = Vec::new();
    for writer in writers {
        words.push(put_word(&writer.await.unwrap()));
    }
    words.sort_unstable();
    assert_eq!(words[..9], ["conflict"; 9]);
    assert_eq!(words[9], "written");
}

#[tokio::test]
async fn each_fault_is_told_as_what_is_known() {
    let lines = fault_cases().into_iter().map(async |case| {
        let platform = start_platform().await;
        let table = table_at(platform.table_address(), limits());
        let set_faults = |on| {
            platform.set_table_faults(if on { case.faults } else { PlatformFaults::default() });
        };
        report_line(
            case.name,
            set_faults,
            async || put(&table, None).await,
            async || table.get(KEY).await,
        )
        .await
    });
    let report = join_all(lines).await.concat();
    expect![[r#"
        none                     put written   takes effect at once  get found
        down                     put unknown   takes effect never    get unavailable
        slow, within the limit   put written   takes effect at once  get found
        slow, beyond the limit   put unknown   takes effect later    get unavailable
        status 500               put unknown   takes effect never    get unavailable
        status 503               put unknown   takes effect never    get unavailable
        answer dropped           put unknown   takes effect at once  get found
        applied late             put unknown   takes effect later    get found
        garbage answer           put unknown   takes effect at once  get damaged
        huge answer              put unknown   takes effect at once  get unavailable
        half an answer           put unknown   takes effect at once  get unavailable
    "#]]
    .assert_eq(&report);
}

#[tokio::test]
async fn only_a_failed_connection_proves_that_nothing_was_sent() {
    let refused = table_at(closed_address(), limits());
    assert_eq!(put_word(&put(&refused, None).await), "not sent");
    assert_eq!(get_word(&refused.get(KEY).await), "unavailable");
    let hangs_up = table_at(hanging_up_address(), limits());
    assert_eq!(put_word(&put(&hangs_up, None).await), "unknown");
    assert_eq!(get_word(&hangs_up.get(KEY).await), "unavailable");
}

#[tokio::test]
async fn a_kept_connection_that_breaks_leaves_a_write_unknown() {
    let platform = start_platform().await;
    let table = table_at(platform.table_address(), patient_limits());
    put(&table, None).await.unwrap();
    platform.set_table_faults(PlatformFaults { half_answers: true, ..PlatformFaults::default() });
    assert_eq!(put_word(&put(&table, Some(1)).await), "unknown");
    platform.set_table_faults(PlatformFaults::default());
    assert_eq!(put_word(&put(&table, Some(1)).await), "conflict");
    assert_eq!(table.get(KEY).await.unwrap().unwrap().version, RowVersion(2));
}

#[tokio::test]
async fn requests_beyond_the_limit_in_flight_are_not_sent() {
    let platform = start_platform().await;
    // The long pause keeps the second request from being sent at the end of the first.
    let limits = limits().with_max_in_flight(1).with_backoff_ms(10_000, 10_000);
    let table = table_at(platform.table_address(), limits);
    let outage = PlatformFaults { outage_ms: 60_000, ..PlatformFaults::default() };
    platform.set_table_faults(outage);
    let (first, second) = tokio::join!(put(&table, None), put(&table, None));
    assert_eq!((put_word(&first), put_word(&second)), ("unknown", "not sent"));
}

#[tokio::test]
async fn while_the_service_fails_requests_are_spaced_out() {
    let platform = start_platform().await;
    let limits = patient_limits().with_backoff_ms(100, 250);
    let table = table_at(platform.table_address(), limits);
    platform.set_table_faults(PlatformFaults { refuse_all: true, ..PlatformFaults::default() });
    let started = std::time::Instant::now();
    for _ in 0..4 {
        let _ = table.get(KEY).await;
    }
    // Three pauses, each of at least half of 100, 200 and 250 ms.
    assert!(started.elapsed().as_millis() >= 50 + 100 + 125);
    platform.set_table_faults(PlatformFaults::default());
    assert_eq!(table.get(KEY).await, Ok(None));
    let started = std::time::Instant::now();
    for _ in 0..4 {
        assert_eq!(table.get(KEY).await, Ok(None));
    }
    assert!(started.elapsed().as_millis() < 50 + 100 + 125, "a success ends the pauses");
}

//! Contract of the object store: what a client knows about a request under each fault.

use bytes::Bytes;
use expect_test::expect;
use futures::future::join_all;
use galenastream_platform::PutError;
use galenastream_standin::PlatformFaults;

use crate::platform::*;

const NAME: &str = "settings/1-00ff.toml";
const CONTENT: Bytes = Bytes::from_static(b"tree");

#[tokio::test]
async fn an_object_is_read_as_it_was_written_and_never_replaced() {
    let platform = start_platform().await;
    let bucket = bucket_at(platform.object_address(), patient_limits());
    assert_eq!(bucket.get(NAME).await, Ok(None));
    assert_eq!(bucket.put_new(NAME, CONTENT).await, Ok(()));
    let other = bucket.put_new(NAME, Bytes::from_static(b"other")).await;
    assert_eq!(other, Err(PutError::Conflict));
    assert_eq!(bucket.get(NAME).await, Ok(Some(CONTENT)));
}

#[tokio::test]
async fn each_fault_is_told_as_what_is_known() {
    let lines = fault_cases().into_iter().map(async |case| {
        let platform = start_platform().await;
        let bucket = bucket_at(platform.object_address(), limits());
        let set_faults = |on| {
            platform.set_object_faults(if on { case.faults } else { PlatformFaults::default() });
        };
        let write = async || bucket.put_new(NAME, CONTENT).await;
        report_line(case.name, set_faults, write, async || bucket.get(NAME).await).await
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
        garbage answer           put unknown   takes effect at once  get found
        huge answer              put unknown   takes effect at once  get unavailable
        half an answer           put written   takes effect at once  get unavailable
    "#]]
    .assert_eq(&report);
}

#[tokio::test]
async fn only_a_failed_connection_proves_that_nothing_was_sent() {
    let refused = bucket_at(closed_address(), limits());
    assert_eq!(put_word(&refused.put_new(NAME, CONTENT).await), "not sent");
    let hangs_up = bucket_at(hanging_up_address(), limits());
    assert_eq!(put_word(&hangs_up.put_new(NAME, CONTENT).await), "unknown");
    assert_eq!(get_word(&hangs_up.get(NAME).await), "unavailable");
}

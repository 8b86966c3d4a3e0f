//! What the control thread is told about the rows of cells.

use bytes::Bytes;
use galenastream_ownership::{
    CellId, CellRow, Incarnation, Member, RowVersion, ServiceId, SliceId, StoreOperation,
    StoreReply, StoredRow, Term, VmId, WitnessSet, WriteId,
};
use galenastream_platform::CellStore;
use galenastream_standin::PlatformFaults;

use crate::platform::*;

fn cell() -> CellId {
    CellId::new(ServiceId(7), 0)
}

fn row(term: u64) -> CellRow {
    CellRow {
        cell: cell(),
        term: Term(term),
        coordinator: Member::new(VmId::from_bits(9), Incarnation(1)),
        witnesses: WitnessSet::default(),
        grant_checkers: Vec::new(),
        slices: Vec::new(),
        next_slice: SliceId(0),
    }
}

fn write(expected: Option<u64>, term: u64) -> StoreOperation {
    let expected = expected.map(RowVersion);
    StoreOperation::Write { expected, write: WriteId(term), row: row(term) }
}

#[tokio::test]
async fn operations_are_carried_out() {
    let platform = start_platform().await;
    let store = CellStore::new(table_at(platform.table_address(), patient_limits()));
    let read = || StoreOperation::Read { cell: cell() };
    assert_eq!(store.execute(read()).await, StoreReply::Row(None));
    assert_eq!(store.execute(write(None, 1)).await, StoreReply::Written(RowVersion(1)));
    assert_eq!(store.execute(write(None, 2)).await, StoreReply::Conflict);
    assert_eq!(store.execute(write(Some(1), 3)).await, StoreReply::Written(RowVersion(2)));
    let stored = StoredRow { version: RowVersion(2), write: WriteId(3), row: row(3) };
    assert_eq!(store.execute(read()).await, StoreReply::Row(Some(stored)));
}

#[tokio::test]
async fn failures_are_told_apart() {
    let platform = start_platform().await;
    let store = CellStore::new(table_at(platform.table_address(), limits()));
    let lost = PlatformFaults { drop_answer_after_apply: 1, ..PlatformFaults::default() };
    platform.set_table_faults(lost);
    assert_eq!(store.execute(write(None, 1)).await, StoreReply::Unknown);
    assert_eq!(store.execute(write(None, 1)).await, StoreReply::Conflict);
    let unreachable = CellStore::new(table_at(closed_address(), limits()));
    assert_eq!(unreachable.execute(write(None, 1)).await, StoreReply::NotSent);
    let read = StoreOperation::Read { cell: cell() };
    assert_eq!(unreachable.execute(read).await, StoreReply::Unknown);
}

#[tokio::test]
async fn a_damaged_row_is_never_taken_for_an_absent_one() {
    let platform = start_platform().await;
    let table = table_at(platform.table_address(), limits());
    let key = format!("cell/{}", cell());
    table.put(&key, None, WriteId(1), Bytes::from_static(b"junk")).await.unwrap();
    let reply = CellStore::new(table).execute(StoreOperation::Read { cell: cell() }).await;
    assert_eq!(reply, StoreReply::Unknown);
}

//! Tests of what a full read of the shared rows confirms.

use galenastream_utils::BootInstant;

use super::WrittenRow;

/// Guards against leases on a row that had been replaced before the read, for the time by which the
/// answer of the store was out of date.
#[test]
fn a_read_that_is_out_of_date_confirms_nothing() {
    let written = WrittenRow { version: 40, sent_at: BootInstant::new(7_000) };
    assert_eq!(written.confirmation_of_read(39), None);
    assert_eq!(written.confirmation_of_read(40), Some(written.sent_at));
    assert_eq!(written.confirmation_of_read(41), Some(written.sent_at));
}

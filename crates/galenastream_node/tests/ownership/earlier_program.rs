//! Rows as programs of earlier versions write them: without the fields that they do not know.

use galenastream_ranges::Assignment;
use prost::Message;

/// The row of an assignment before departures and limits of leases were in it.
#[derive(Clone, PartialEq, Message)]
struct EarlierRow {
    #[prost(bytes = "vec", repeated, tag = "1")]
    owners: Vec<Vec<u8>>,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<EarlierEntry>,
    #[prost(uint64, tag = "3")]
    highest_fence: u64,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierEntry {
    #[prost(uint32, tag = "1")]
    last: u32,
    #[prost(uint32, tag = "2")]
    owner: u32,
    #[prost(uint32, tag = "3")]
    leaver: u32,
    #[prost(uint64, tag = "4")]
    fence: u64,
    #[prost(string, tag = "5")]
    handover: String,
}

/// An assignment after a program of an earlier version has read and written it.
pub fn rewritten(assignment: &Assignment) -> Assignment {
    let row = assignment.encode_row();
    let row = EarlierRow::decode(&*row).expect("earlier programs read the row");
    Assignment::decode_row(&row.encode_to_vec()).expect("rows of earlier programs are read")
}

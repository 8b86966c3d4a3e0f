//! A call with which a simulated node reads or watches the shared rows.

use galenastream_adapter::Row;

/// A call with which a node reads or watches the shared rows.
pub struct StoreCall {
    pub sent_at_ms: u64,
    /// The version after which changes are watched; `None` reads all rows.
    pub after: Option<u64>,
    /// How long a watch waits for a change.
    pub wait_ms: u64,
    /// When the store executes the call at the earliest.
    pub arrives_at_ms: u64,
    pub answer: Option<StoreAnswer>,
}

/// An answer in transit.
pub struct StoreAnswer {
    pub arrives_at_ms: u64,
    pub content: AnswerContent,
}

pub enum AnswerContent {
    Rows {
        rows: Vec<Row>,
        version: u64,
        /// The instant that the rows show.
        read_at_ms: u64,
    },
    HistoryDropped,
}

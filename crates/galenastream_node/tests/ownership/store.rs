//! The store of a simulated deployment, which can go back to an older copy of its rows.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use galenastream_adapter::{ExpectedRow, Row, RowWrite, StoreError, number_of, version_in};
use galenastream_ranges::Assignment;

use crate::injected_bug::{InjectedBug, complete_all_moves};

/// The key of the row with the assignment.
pub const ASSIGNMENT_KEY: &str = "keys/carts";

/// How far back copies reach.
const COPIES_MS: u64 = 6_000;

type Rows = BTreeMap<String, (Bytes, u64)>;

/// A write to the store in flight. `is_answered` is false if its result is lost.
pub struct Write {
    pub vm: usize,
    pub at_ms: u64,
    pub expected: Vec<ExpectedRow>,
    pub content: WriteContent,
    pub is_answered: bool,
}

pub enum WriteContent {
    Assignment(Box<Assignment>),
    Settlement(Vec<RowWrite>),
}

impl WriteContent {
    /// Returns the rows to write, with the bug applied.
    pub fn row_writes(&self, bug: InjectedBug) -> Vec<RowWrite> {
        let assignment = match self {
            Self::Settlement(writes) => return writes.clone(),
            Self::Assignment(assignment) => assignment,
        };
        let mut assignment = assignment.clone();
        if bug == InjectedBug::HandoverBeforeRelease {
            complete_all_moves(&mut assignment);
        }
        let value = Bytes::from(assignment.encode_row());
        vec![RowWrite::Put { key: ASSIGNMENT_KEY.to_owned(), value }]
    }
}

/// Rows with the numbers of their last writes. Numbers are given out again after a restore.
pub struct Store {
    pub era: u64,
    rows: Rows,
    number: u64,
    copies: VecDeque<(u64, Rows, u64)>,
}

impl Store {
    /// Creates an empty store. In era 0 it names none.
    pub fn new(era: u64) -> Self {
        Self { era, rows: Rows::new(), number: 1, copies: VecDeque::new() }
    }

    pub fn version(&self) -> u64 {
        version_in(self.era, self.number)
    }

    pub fn rows(&self) -> Vec<Row> {
        let to_row = |(key, (value, number)): (&String, &(Bytes, u64))| Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: version_in(self.era, *number),
        };
        self.rows.iter().map(to_row).collect()
    }

    /// Applies a write if the expected rows have their numbers. The era of the expected versions is
    /// not compared: a store compares numbers alone.
    pub fn commit(
        &mut self,
        expected: &[ExpectedRow],
        writes: &[RowWrite],
        now_ms: u64,
    ) -> Result<u64, StoreError> {
        let current = |key: &str| self.rows.get(key).map_or(0, |(_, number)| *number);
        if expected.iter().any(|it| current(&it.key) != number_of(it.version)) {
            return Err(StoreError::Conflict { rows: self.rows() });
        }
        self.copies.push_back((now_ms, self.rows.clone(), self.number));
        self.copies.retain(|(at_ms, ..)| at_ms + COPIES_MS >= now_ms);
        self.number += 1;
        for write in writes {
            match write {
                RowWrite::Put { key, value } => {
                    self.rows.insert(key.clone(), (value.clone(), self.number));
                }
                RowWrite::Remove { key } => drop(self.rows.remove(key)),
            }
        }
        Ok(self.version())
    }

    /// Goes back to the rows of an earlier instant, or as far as the copies reach.
    pub fn restore(&mut self, at_ms: u64) {
        self.era += 1;
        // Each copy shows the rows before a write.
        let Some(index) = self.copies.iter().position(|(written_ms, ..)| *written_ms > at_ms)
        else {
            return;
        };
        let (_, rows, number) = self.copies[index].clone();
        self.rows = rows;
        self.number = number;
        self.copies.truncate(index);
    }
}

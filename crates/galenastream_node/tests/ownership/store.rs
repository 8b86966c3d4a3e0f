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
    /// The process of the node that sent it.
    pub process: u64,
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
    /// A copy that is kept however old it is.
    old_copy: Option<(Rows, u64)>,
    /// Each change since the start or the last restore, in order: key, value, and number.
    log: Vec<(String, Option<Bytes>, u64)>,
    /// The numbers of rows that older programs cannot decode.
    unreadable: Vec<u64>,
}

impl Store {
    /// Creates an empty store. In era 0 it names none.
    pub fn new(era: u64) -> Self {
        Self {
            era,
            rows: Rows::new(),
            number: 1,
            copies: VecDeque::new(),
            old_copy: None,
            log: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    pub fn version(&self) -> u64 {
        version_in(self.era, self.number)
    }

    pub fn rows(&self) -> Vec<Row> {
        self.to_rows(&self.rows)
    }

    fn to_rows(&self, rows: &Rows) -> Vec<Row> {
        let to_row = |(key, (value, number)): (&String, &(Bytes, u64))| Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: version_in(self.era, *number),
        };
        rows.iter().map(to_row).collect()
    }

    /// The rows and the version as they were at an instant, or as far as the copies reach.
    pub fn rows_at(&self, at_ms: u64) -> (Vec<Row>, u64) {
        match self.copies.iter().find(|(written_ms, ..)| *written_ms > at_ms) {
            Some((_, rows, number)) => (self.to_rows(rows), version_in(self.era, *number)),
            None => (self.rows(), self.version()),
        }
    }

    /// Each change after a version, in order. A row that changed twice is there twice.
    pub fn changes_after(&self, version: u64) -> Vec<Row> {
        let to_row = |(key, value, number): &(String, Option<Bytes>, u64)| Row {
            key: key.clone(),
            value: value.clone(),
            version: version_in(self.era, *number),
        };
        self.log.iter().map(to_row).filter(|it| it.version > version).collect()
    }

    /// Makes the current assignment unreadable for older programs.
    pub fn make_unreadable(&mut self) {
        self.unreadable.extend(self.rows.get(ASSIGNMENT_KEY).map(|(_, number)| *number));
    }

    /// Whether older programs cannot decode a row.
    pub fn is_unreadable(&self, key: &str, version: u64) -> bool {
        key == ASSIGNMENT_KEY && self.unreadable.contains(&number_of(version))
    }

    /// Writes the assignment again if older programs cannot decode it.
    pub fn rewrite_unreadable(&mut self, now_ms: u64) {
        let Some((value, number)) = self.rows.get(ASSIGNMENT_KEY).cloned() else {
            return;
        };
        if self.unreadable.contains(&number) {
            let put = RowWrite::Put { key: ASSIGNMENT_KEY.to_owned(), value };
            self.commit(&[], &[put], now_ms).expect("it has no conditions");
        }
    }

    pub fn remove_assignment(&mut self, now_ms: u64) {
        let remove = RowWrite::Remove { key: ASSIGNMENT_KEY.to_owned() };
        self.commit(&[], &[remove], now_ms).expect("it has no conditions");
    }

    /// Keeps a copy of the present rows.
    pub fn keep_copy(&mut self) {
        self.old_copy = Some((self.rows.clone(), self.number));
    }

    /// Goes back to the kept copy.
    pub fn restore_old_copy(&mut self) {
        let (rows, number) = self.old_copy.clone().expect("a copy is kept");
        let old_copy = self.old_copy.take();
        *self = Self { rows, number, old_copy, ..Self::new(self.era + 1) };
    }

    /// Loses all rows.
    pub fn empty(&mut self) {
        *self = Self::new(self.era + 1);
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
                    self.log.push((key.clone(), Some(value.clone()), self.number));
                }
                RowWrite::Remove { key } => {
                    self.rows.remove(key);
                    self.log.push((key.clone(), None, self.number));
                }
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
        self.log.retain(|it| it.2 <= number);
        self.unreadable.retain(|it| *it <= number);
    }
}

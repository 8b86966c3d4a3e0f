//! Which row each of the last versions of the shared rows belongs to.

use std::collections::VecDeque;

/// Number of remembered versions.
const MAX_VERSIONS: usize = 256;

/// Which row each of the last versions of the shared rows belongs to, as far as this process has
/// read them.
#[derive(Debug, Default)]
pub(super) struct RowVersions {
    read: VecDeque<(u64, String)>,
}

impl RowVersions {
    /// Records that a row had a version.
    pub(super) fn record(&mut self, key: &str, version: u64) {
        if self.read.iter().any(|(number, of)| *number == version && of == key) {
            return;
        }
        if self.read.len() == MAX_VERSIONS {
            self.read.pop_front();
        }
        self.read.push_back((version, key.to_owned()));
    }

    /// Whether a row had no version between two of its versions: each one is known to belong to
    /// other rows alone. Only the write that puts an era in force writes several rows at once.
    pub(super) fn are_adjacent(&self, key: &str, earlier: u64, later: u64) -> bool {
        if later <= earlier || later - earlier > MAX_VERSIONS as u64 {
            return false;
        }
        let belongs_to_others = |version: u64| {
            let mut keys = self.read.iter().filter(|it| it.0 == version).map(|it| &it.1).peekable();
            keys.peek().is_some() && keys.all(|it| it != key)
        };
        (earlier + 1..later).all(belongs_to_others)
    }
}

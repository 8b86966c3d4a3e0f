//! Logs of nodes.

use serde::Serialize;

use super::{LogLine, OwnershipEvent};

/// Log of a node.
#[derive(Debug, Default)]
pub(crate) struct NodeLog {
    /// In the order of the file.
    lines: Vec<LogLine>,
    unreadable: Option<UnreadableLines>,
    /// Number of lines that were read.
    read_lines: u64,
    /// Whether a line has named the node.
    is_named: bool,
    node: String,
    file_name: String,
}

/// Lines that were left out because they could not be decoded.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct UnreadableLines {
    pub(crate) log: String,
    pub(crate) count: u64,
    /// Number of the first one, from 1.
    pub(crate) first_line: u64,
    /// What is wrong with the first one.
    pub(crate) reason: String,
}

impl NodeLog {
    /// Creates the log of a file. The file's name stands for the node until a line names it.
    pub(crate) fn new(file_name: &str) -> Self {
        let (node, file_name) = (file_name.to_owned(), file_name.to_owned());
        Self { node, file_name, ..Self::default() }
    }

    /// Adds the next line of the file if it matters for the history of a key.
    pub(crate) fn add(&mut self, line: &[u8], service: &str, key: u16) {
        self.read_lines += 1;
        if line.trim_ascii().is_empty() {
            return;
        }
        let (time, event) = match LogLine::decode(line) {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return,
            Err(reason) => return self.add_unreadable(line, reason),
        };
        if let OwnershipEvent::ProcessStarted { node } = &event {
            if !self.is_named {
                for earlier in &mut self.lines {
                    earlier.node.clone_from(node);
                }
            }
            self.is_named = true;
            self.node.clone_from(node);
        }
        if event.concerns(service, key) {
            self.lines.push(LogLine { node: self.node.clone(), time, event });
        }
    }

    pub(crate) fn unreadable(&self) -> Option<&UnreadableLines> {
        self.unreadable.as_ref()
    }

    /// Returns the lines of all logs, each log in the order of its file. Logs of the same node are
    /// in the order of their times.
    pub(crate) fn in_order(logs: &[Self]) -> impl Iterator<Item = &LogLine> {
        let mut sorted: Vec<&Self> = logs.iter().collect();
        sorted.sort_by_key(|it| it.lines.first().map(|line| line.time));
        sorted.into_iter().flat_map(|it| &it.lines)
    }

    fn add_unreadable(&mut self, line: &[u8], reason: String) {
        let (log, first_line) = (self.file_name.clone(), self.read_lines);
        let unreadable = UnreadableLines { log, count: 0, first_line, reason };
        self.unreadable.get_or_insert(unreadable).count += 1;
        // Later renewals refer to these grants.
        let may_grant = String::from_utf8_lossy(line).contains("leases_granted");
        if let Some(time) = self.lines.last().map(|it| it.time).filter(|_| may_grant) {
            let (node, event) = (self.node.clone(), OwnershipEvent::UnreadableGrants);
            self.lines.push(LogLine { node, time, event });
        }
    }
}

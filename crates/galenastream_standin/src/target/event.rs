//! The log of a target, from which tests judge what ran where and when.

use std::{
    io::Write,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use super::EventOutput;

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetEventKind {
    /// Work on it began.
    Taken,
    /// It ran. Its effect is there, whether or not the answer arrives.
    Committed,
    /// It was refused and has no effect.
    Refused,
    /// Whoever gave it no longer wants the answer. It has no effect.
    Cancelled,
}

/// One line of a target's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEvent {
    /// What became of the order.
    pub event: TargetEventKind,
    /// The target.
    pub target: String,
    /// The key.
    pub key: String,
    /// The ticket; empty if it has none.
    pub ticket: String,
    /// The slice, if the service is divided by key.
    pub slice: Option<u32>,
    /// The epoch, if the service is divided by key.
    pub epoch: Option<u64>,
    /// The coordinator's term, if the service is divided by key.
    pub term: Option<u64>,
    /// The request.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// When work on the order began.
    pub started_boot_ns: u64,
    /// When it came to this.
    pub boot_ns: u64,
}

/// Takes a target's events.
#[derive(Debug)]
pub(crate) struct EventLog {
    output: EventOutput,
    kept: Mutex<Vec<TargetEvent>>,
}

impl EventLog {
    pub(crate) fn new(output: EventOutput) -> Self {
        Self { output, kept: Mutex::new(Vec::new()) }
    }

    pub(crate) fn record(&self, event: TargetEvent) {
        match self.output {
            EventOutput::Stdout => write_line(&event),
            EventOutput::Memory => {
                self.kept.lock().unwrap_or_else(PoisonError::into_inner).push(event);
            }
            EventOutput::None => {}
        }
    }

    pub(crate) fn kept(&self) -> Vec<TargetEvent> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Writes a line at once, so that it is there even if the process is killed right after.
fn write_line(event: &TargetEvent) {
    let Ok(mut line) = serde_json::to_vec(event) else {
        return;
    };
    line.push(b'\n');
    // Without a reader of its output a target still serves.
    let _ = std::io::stdout().lock().write_all(&line);
}

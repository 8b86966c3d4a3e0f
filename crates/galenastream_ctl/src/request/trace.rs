//! `trace`: finds the log lines of a request.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use clap::ArgMatches;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::{CtlError, OutputFormat, request::required_argument};

/// Log line about the request.
#[derive(Serialize)]
struct TraceLine {
    time: String,
    log: String,
    event: String,
    fields: Map<String, Value>,
}

pub(crate) fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let request_id = required_argument(matches, "request_id");
    let logs: Vec<&PathBuf> = matches.get_many("logs").map_or_else(Vec::new, Iterator::collect);
    let mut lines = Vec::new();
    for log in &logs {
        read_log(log, request_id, &mut lines)
            .map_err(|error| CtlError::unreadable_file(*log, &error))?;
    }
    if lines.is_empty() {
        let (request_id, log_count) = (request_id.to_owned(), logs.len());
        return Err(CtlError::RequestNotInLogs { request_id, log_count });
    }
    // The timestamps come from several VMs, so the order is only as accurate as their clocks.
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    output.print(&lines, &to_text(&lines));
    Ok(())
}

fn read_log(log: &Path, request_id: &str, lines: &mut Vec<TraceLine>) -> std::io::Result<()> {
    for line in BufReader::new(File::open(log)?).lines() {
        let line = line?;
        if !line.contains(request_id) {
            continue;
        }
        // Skips lines that are not JSON objects, such as one cut off at the end of the file.
        let Ok(Value::Object(mut record)) = serde_json::from_str(&line) else {
            continue;
        };
        let Some(Value::Object(mut fields)) = record.remove("kvs") else {
            continue;
        };
        if fields.remove("request_id").as_ref().and_then(Value::as_str) != Some(request_id) {
            continue;
        }
        let event = fields.remove("event").as_ref().and_then(Value::as_str).map(str::to_owned);
        let time = record.get("timestamp").and_then(Value::as_str).unwrap_or_default().to_owned();
        let log = log.file_name().unwrap_or_default().to_string_lossy().into_owned();
        lines.push(TraceLine { time, log, event: event.unwrap_or_default(), fields });
    }
    Ok(())
}

fn to_text(lines: &[TraceLine]) -> String {
    let mut text = String::new();
    for line in lines {
        text += &format!("{}  {}  {}", line.time, line.log, line.event);
        for (name, value) in &line.fields {
            text += &format!("  {name}={value}");
        }
        text.push('\n');
    }
    text
}

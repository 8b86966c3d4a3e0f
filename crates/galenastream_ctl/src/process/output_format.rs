//! Printing of results and errors.

use std::io::{self, Write};

use serde::Serialize;

use crate::CtlError;

/// Format of results and errors, chosen by `--output`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable lines.
    Text,
    /// One JSON document.
    Json,
}

/// JSON document of an error.
#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    exit_code: u8,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    settings_errors: Option<&'a galenastream_settings::SettingsErrors>,
}

impl OutputFormat {
    /// Returns the format that `--output` selects.
    pub fn from_matches(matches: &clap::ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Text,
        }
    }

    /// Prints a result to standard output: `text` as it is, or `result` as JSON.
    pub(crate) fn print<T: Serialize>(self, result: &T, text: &str) {
        let text = match self {
            Self::Text => text.to_owned(),
            Self::Json => to_json(result),
        };
        write_line(&mut io::stdout(), &text);
    }

    /// Prints an error to standard error.
    pub(crate) fn print_error(self, error: &CtlError) {
        let text = match self {
            Self::Text => format!("error: {error}"),
            Self::Json => to_json(&ErrorDocument {
                error: ErrorBody {
                    exit_code: error.exit_status() as u8,
                    message: error.to_string(),
                    settings_errors: error.settings_errors(),
                },
            }),
        };
        write_line(&mut io::stderr(), &text);
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("all keys of maps in results are strings")
}

/// Writes a line. Ignores errors, since a reader such as `head` may close the pipe early.
fn write_line(writer: &mut impl Write, text: &str) {
    let _ = writeln!(writer, "{}", text.trim_end());
}

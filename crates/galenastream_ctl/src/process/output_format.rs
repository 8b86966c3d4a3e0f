//! How results and errors are printed.

use std::io::{self, Write};

use serde::Serialize;

use crate::CtlError;

/// How results and errors are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Lines for people.
    Text,
    /// One JSON document.
    Json,
}

/// An error as a JSON document.
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
    /// The format that the arguments ask for.
    pub fn from_matches(matches: &clap::ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Text,
        }
    }

    /// Prints a result: as it stands for people, or as JSON.
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
    serde_json::to_string_pretty(value).expect("results have texts as keys")
}

/// Writes a line. A reader that closes its end early, as `head` does, is no error.
fn write_line(writer: &mut impl Write, text: &str) {
    let _ = writeln!(writer, "{}", text.trim_end());
}

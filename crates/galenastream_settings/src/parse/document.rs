//! Source documents with their errors.

use std::ops::Range;

use crate::{SettingsError, SettingsErrorKind};

/// A source document with the errors found in it so far.
#[derive(Debug)]
pub(crate) struct Document<'a> {
    source_name: &'a str,
    text: &'a str,
    /// The byte offset of the newline at the end of each line.
    line_ends: Vec<usize>,
    errors: Vec<SettingsError>,
}

impl<'a> Document<'a> {
    pub(crate) fn new(source_name: &'a str, text: &'a str) -> Self {
        let line_ends = text.match_indices('\n').map(|(position, _)| position).collect();
        Self { source_name, text, line_ends, errors: Vec::new() }
    }

    /// Returns the one-based line in which a span starts.
    pub(crate) fn line(&self, span: Range<usize>) -> usize {
        1 + self.line_ends.partition_point(|&end| end < span.start)
    }

    /// Returns the first line of a span's text, shortened for use in a message.
    pub(crate) fn excerpt(&self, span: Range<usize>) -> String {
        const MAX_CHARS: usize = 80;
        let text = self.text.get(span).unwrap_or_default();
        let first_line = text.lines().next().unwrap_or_default();
        let mut excerpt: String = first_line.chars().take(MAX_CHARS).collect();
        if excerpt.len() < text.len() {
            excerpt.push('…');
        }
        excerpt
    }

    /// Records an error of an entry as a whole.
    pub(crate) fn report_error(&mut self, line: usize, path: &str, kind: SettingsErrorKind) {
        self.push_error(Some(line), path, None, kind);
    }

    /// Records an error of an entry's value.
    pub(crate) fn report_value_error(
        &mut self,
        span: Range<usize>,
        path: &str,
        kind: SettingsErrorKind,
    ) {
        let line = self.line(span.clone());
        let value = self.excerpt(span);
        self.push_error(Some(line), path, Some(value), kind);
    }

    /// Records an error.
    pub(crate) fn push_error(
        &mut self,
        line: Option<usize>,
        path: &str,
        value: Option<String>,
        kind: SettingsErrorKind,
    ) {
        self.errors.push(SettingsError {
            source_name: self.source_name.to_owned(),
            line,
            path: path.to_owned(),
            value,
            kind,
        });
    }

    pub(crate) fn has_errors(&self) -> bool {
        !self.errors.is_empty()
    }

    pub(crate) fn into_errors(self) -> Vec<SettingsError> {
        self.errors
    }
}

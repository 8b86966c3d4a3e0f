//! Reads the fields of a table.

use toml::{
    Spanned,
    de::{DeString, DeTable, DeValue},
};

use crate::{
    FIELDS, FieldId, FieldSet, Level, SettingsErrorKind,
    parse::{document::Document, suggestion, value_reader},
};

/// The names that a table of the file may contain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableShape {
    /// The kind of the table's entries, for messages.
    pub(crate) entry_kind: &'static str,
    /// The level of the table, which determines its allowed fields; `None` if it has no fields.
    pub(crate) level: Option<Level>,
    /// The allowed names besides those of fields.
    pub(crate) other_names: &'static [&'static str],
}

impl TableShape {
    fn allowed_names(&self) -> Vec<&'static str> {
        let mut names = self.other_names.to_vec();
        let Some(level) = self.level else {
            return names;
        };
        names.extend(FIELDS.iter().filter(|spec| level <= spec.lowest_level).map(|spec| spec.name));
        names
    }
}

/// Reads the fields of a table. Reports unknown names and invalid values as errors, and skips the
/// table's other allowed names.
pub(crate) fn read_fields(
    document: &mut Document<'_>,
    table: &DeTable<'_>,
    path: &str,
    shape: TableShape,
) -> FieldSet {
    let mut fields = FieldSet::default();
    for (name, value) in table {
        if shape.other_names.contains(&name.get_ref().as_ref()) {
            continue;
        }
        let line = document.line(name.span());
        let field_path = join_path(path, name.get_ref());
        let field = match find_field(name.get_ref(), shape) {
            Ok(field) => field,
            Err(kind) => {
                document.report_error(line, &field_path, kind);
                continue;
            }
        };
        match value_reader::read_value(field, value) {
            Ok(read) => fields.insert(field, read, line),
            Err(kind) => document.report_value_error(value.span(), &field_path, kind),
        }
    }
    fields
}

/// Returns the entries of a table in the order of the file.
pub(crate) fn in_file_order<'t, 'i>(
    table: &'t DeTable<'i>,
) -> Vec<(&'t Spanned<DeString<'i>>, &'t Spanned<DeValue<'i>>)> {
    let mut entries: Vec<_> = table.iter().collect();
    entries.sort_by_key(|(name, _)| name.span().start);
    entries
}

/// Returns the sub-table `name`, if there is one. Reports an error if the entry is not a table.
pub(crate) fn sub_table<'t, 'i>(
    document: &mut Document<'_>,
    table: &'t DeTable<'i>,
    path: &str,
    name: &str,
) -> Option<&'t DeTable<'i>> {
    let value = table.get(name)?;
    as_table(document, value, &join_path(path, name))
}

/// Returns a value as a table. Reports an error if the value is not a table.
pub(crate) fn as_table<'t, 'i>(
    document: &mut Document<'_>,
    value: &'t Spanned<DeValue<'i>>,
    path: &str,
) -> Option<&'t DeTable<'i>> {
    if let Some(table) = value.get_ref().as_table() {
        return Some(table);
    }
    let kind = SettingsErrorKind::WrongType {
        found: value.get_ref().type_str(),
        expected: format!("a table like [{path}]"),
    };
    document.report_value_error(value.span(), path, kind);
    None
}

/// Returns the path of an entry within the table at `path`.
pub(crate) fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn find_field(name: &str, shape: TableShape) -> Result<FieldId, SettingsErrorKind> {
    let Some(level) = shape.level else {
        return Err(unknown(name, shape));
    };
    let Some(field) = FieldId::find(name) else {
        return Err(match suggestion::find_field_ignoring_unit(name) {
            Some(expected) => SettingsErrorKind::WrongUnit { expected },
            None => unknown(name, shape),
        });
    };
    let lowest = field.spec().lowest_level;
    if level > lowest {
        return Err(SettingsErrorKind::WrongLevel { level, lowest });
    }
    Ok(field)
}

fn unknown(name: &str, shape: TableShape) -> SettingsErrorKind {
    let allowed = shape.allowed_names();
    SettingsErrorKind::UnknownEntry {
        entry_kind: shape.entry_kind,
        suggestion: suggestion::suggest(name, allowed.iter().copied()).map(str::to_owned),
        allowed: allowed.into_iter().map(str::to_owned).collect(),
    }
}

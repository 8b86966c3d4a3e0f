//! `settings explain`: shows the level that sets each value.

use clap::ArgMatches;
use galenastream_settings::{ExplainedField, SettingsTree, suggest};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{platform_store::PlatformStore, required_argument, settings_file::SettingsFile},
};

#[derive(Serialize)]
struct ExplainResult {
    service: String,
    place: Option<String>,
    key: Option<u16>,
    fields: Vec<ExplainedField>,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let tree = read_tree(matches).await?;
    let service = required_argument(matches, "service");
    let place = matches.get_one::<String>("place");
    let key = matches.get_one::<u16>("key").copied();
    check_service(&tree, service)?;
    if let Some(place) = place {
        check_place(&tree, place)?;
    }
    let fields = tree.explain(service, place.map(String::as_str), key);
    let result = ExplainResult {
        service: service.to_owned(),
        place: place.cloned(),
        key,
        fields: fields.unwrap_or_default(),
    };
    output.print(&result, &to_text(&result.fields));
    Ok(())
}

async fn read_tree(matches: &ArgMatches) -> Result<SettingsTree, CtlError> {
    if matches.contains_id("file") {
        return Ok(SettingsFile::read(matches)?.tree);
    }
    Ok(PlatformStore::new(matches).read_tree().await?.tree)
}

fn check_service(tree: &SettingsTree, name: &str) -> Result<(), CtlError> {
    let known: Vec<&str> = tree.services().iter().map(|service| service.name()).collect();
    check_name("service", name, &known)
}

fn check_place(tree: &SettingsTree, name: &str) -> Result<(), CtlError> {
    let known: Vec<&str> = tree.places().iter().map(|place| place.name.as_str()).collect();
    check_name("place", name, &known)
}

/// Returns an error with the most similar known name, if any, when `name` is not known.
pub(super) fn check_name(kind: &'static str, name: &str, known: &[&str]) -> Result<(), CtlError> {
    if known.contains(&name) {
        return Ok(());
    }
    Err(CtlError::UnknownName {
        kind,
        name: name.to_owned(),
        suggestion: suggest(name, known.iter().copied()).map(str::to_owned),
        known: known.iter().map(|&name| name.to_owned()).collect(),
    })
}

fn to_text(fields: &[ExplainedField]) -> String {
    let mut lines = Vec::new();
    for field in fields {
        let assignment = format!("{} = {}", field.field, field.value);
        let origin = match field.line {
            Some(line) => format!("{} [{}], line {line}", field.level, field.origin),
            None => field.level.to_string(),
        };
        lines.push(format!("{assignment:<52}  # {origin}"));
    }
    lines.join("\n")
}

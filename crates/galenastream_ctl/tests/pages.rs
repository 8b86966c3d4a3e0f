//! The operators' pages, compared with the code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use galenastream_settings::FIELDS;

const METRIC_PREFIX: &str = "galenastream_";
const EVENT_PREFIX: &str = "event = \"";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The text of all source files of the crates that run in a node.
fn node_sources() -> String {
    let mut text = String::new();
    for name in ["galenastream_node", "galenastream_platform"] {
        add_sources(&root().join("crates").join(name).join("src"), &mut text);
    }
    text
}

fn add_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            add_sources(&path, text);
            continue;
        }
        text.push_str(&fs::read_to_string(&path).expect("the file can be read"));
    }
}

/// The words that follow a prefix, as long as they have the characters of a name.
fn names_after(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_of_name = |character: char| character.is_ascii_lowercase() || character == '_';
    text.split(prefix)
        .skip(1)
        .map(|rest| rest.split(|character| !is_of_name(character)).next().unwrap_or(""))
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

#[test]
fn alerts_page_lists_all_metrics() {
    let page = fs::read_to_string(root().join("docs/operators/alerts.md")).unwrap();
    let in_code = names_after(&node_sources(), &format!("\"{METRIC_PREFIX}"));
    let first_cells: Vec<&str> = page.lines().filter_map(|row| row.split('|').nth(1)).collect();
    let on_page = names_after(&first_cells.concat(), &format!("`{METRIC_PREFIX}"));
    assert_eq!(in_code, on_page);
}

#[test]
fn alerts_page_lists_no_event_that_the_code_lacks() {
    let page = fs::read_to_string(root().join("docs/operators/alerts.md")).unwrap();
    let (_, events) = page.split_once("| log event |").unwrap();
    let in_code = names_after(&node_sources(), EVENT_PREFIX);
    for row in events.lines().skip(2) {
        let Some(cell) = row.split('|').nth(1) else {
            continue;
        };
        for event in names_after(cell, "`") {
            assert!(in_code.contains(&event), "the code has no event {event}");
        }
    }
}

#[test]
fn callers_page_lists_all_reasons() {
    let page = fs::read_to_string(root().join("docs/interface-callers.md")).unwrap();
    let sources = [
        "crates/galenastream_node/src/request/refusal.rs",
        "crates/galenastream_routing/src/request/outcome.rs",
    ];
    for source in sources {
        let code = fs::read_to_string(root().join(source)).unwrap();
        let reasons = names_after(&code.replace('-', "_"), "=> \"");
        assert!(reasons.len() > 5, "{source} has moved its reasons");
        for reason in reasons {
            let reason = reason.replace('_', "-");
            assert!(page.contains(&format!("`{reason}`")), "the page lacks {reason}");
        }
    }
}

#[test]
fn settings_page_names_the_fields_that_no_node_reads() {
    let page = fs::read_to_string(root().join("docs/settings.md")).unwrap();
    let not_in_force = page.split("## Not in force yet").nth(1).unwrap_or("");
    let sources = node_sources();
    let resolved =
        fs::read_to_string(root().join("crates/galenastream_settings/src/version/effective.rs"))
            .unwrap();
    for spec in FIELDS {
        let reads = readers(&resolved, spec.name);
        let is_read = reads.iter().any(|reader| sources.contains(reader));
        let is_named = not_in_force.contains(&format!("`{}`", spec.name));
        assert!(is_read || is_named, "no node reads {}, and the page does not say so", spec.name);
    }
}

/// What reads a field: the field itself, and the functions of the resolved settings that use it.
fn readers(resolved: &str, field: &str) -> Vec<String> {
    let mut readers = vec![format!(".{field}")];
    for function in resolved.split("    pub fn ").skip(1) {
        let Some((name, body)) = function.split_once('(') else {
            continue;
        };
        if body.contains(&format!("self.{field}")) {
            readers.push(format!(".{name}("));
        }
    }
    readers
}

//! Output and exit codes of commands that need no deployment.

use std::{path::Path, process::Command};

use expect_test::{Expect, expect};

/// Runs the program and compares its exit code, standard output and standard error.
fn check(arguments: &[&str], expected: &Expect) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_galenastreamctl"))
        .args(arguments)
        .env_remove("GALENASTREAM_STORE")
        .current_dir(root)
        .output()
        .expect("the program can be run");
    let code = output.status.code().expect("the program is not killed by a signal");
    let text = format!(
        "exit {code}\n{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    // The formatter and UPDATE_EXPECT strip trailing spaces from the expected text.
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    expected.assert_eq(&(lines.join("\n") + "\n"));
}

#[test]
fn help_lists_commands_options_and_exit_codes() {
    check(
        &["--help"],
        &expect![[r#"
            exit 0
            Inspects a galenastream router and applies its settings.

            Settings, the config, key owners and nodes are read from the platform's store; `members` also queries each node. `trace` only reads log files.

            Usage: galenastreamctl [OPTIONS] <COMMAND>

            Commands:
              settings  Checks, compares, applies, shows and explains the settings tree
              config    Checks and explains the config of routes and services
              ranges    Shows the owner and the fencing token of each key range, and pending moves
              members   Lists the nodes with their target, versions in force, roles, leases and drain state
              trace     Traces a request by its id through the logs of nodes
              help      Print this message or the help of the given subcommand(s)

            Options:
                  --output <FORMAT>
                      Human-readable text, or one JSON document for scripts

                      [default: text]
                      [possible values: text, json]

                  --timeout-ms <MS>
                      Timeout of each call to the store or to a node, in milliseconds

                      [default: 2000]

              -h, --help
                      Print help (see a summary with '-h')

              -V, --version
                      Print version

            Exit codes:
              0  success
              1  refused or failed; nothing was changed
              2  invalid command line
              3  conflict: another version than the expected one is in force; nothing was changed
              4  the store did not answer or refused the call; nothing was changed
              5  a write got no answer; it may have taken effect
        "#]],
    );
}

#[test]
fn missing_or_invalid_arguments_exit_with_code_2() {
    check(
        &["settings", "apply", "examples/settings/halvorsen.toml"],
        &expect![[r#"
        exit 2
        error: the following required arguments were not provided:
          --store <IP:PORT>

        Usage: galenastreamctl settings apply --store <IP:PORT> <FILE>

        For more information, try '--help'.
    "#]],
    );
    check(
        &["ranges", "--store", "127.0.0.1:1", "--key", "65536"],
        &expect![[r#"
        exit 2
        error: invalid value '65536' for '--key <KEY>': 65536 is not in 0..=65535

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn valid_settings_tree_passes_check() {
    check(
        &["settings", "check", "examples/settings/halvorsen.toml"],
        &expect![[r#"
        exit 0
        examples/settings/halvorsen.toml: valid, 3 places, 2 services
    "#]],
    );
    check(
        &["--output", "json", "settings", "check", "examples/settings/pamplemousses.toml"],
        &expect![[r#"
            exit 0
            {
              "file": "examples/settings/pamplemousses.toml",
              "places": 4,
              "services": 2
            }
        "#]],
    );
}

#[test]
fn explain_shows_the_level_that_sets_each_value() {
    check(
        &[
            "settings",
            "explain",
            "--file",
            "examples/settings/halvorsen.toml",
            "--service",
            "catalog",
            "--place",
            "pnw-a",
            "--key",
            "7",
        ],
        &expect![[r#"
            exit 0
            queue_per_slot = 4                                    # built-in
            hold_percent = 50                                     # service [services.catalog], line 15
            retry_after_ms = 200                                  # key range [services.catalog.key_ranges.popular], line 25
            retry_budget_percent = 45                             # built-in
            remote_penalty_percent = 25                           # built-in
            log_lines_per_s = 400                                 # built-in
            planner_imbalance_percent = 150                       # root [defaults], line 6
            planner_busy_percent = 55                             # built-in
            planner_moves_per_round = 3                           # root [defaults], line 7
            planner_round_ms = 1000                               # built-in
        "#]],
    );
    check(
        &[
            "settings",
            "explain",
            "--file",
            "examples/settings/halvorsen.toml",
            "--service",
            "catalogue",
        ],
        &expect![[r#"
            exit 1
            error: there is no service catalogue
              known: catalog, enrolment
              remedy: write catalog
        "#]],
    );
}

#[test]
fn missing_or_invalid_file_is_refused() {
    check(
        &["settings", "check", "nowhere.toml"],
        &expect![[r#"
        exit 1
        error: nowhere.toml: No such file or directory (os error 2)
          remedy: check the path and its permissions
    "#]],
    );
    check(
        &["--output", "json", "settings", "check", "deploy/system.toml"],
        &expect![[r#"
            exit 1
            {
              "error": {
                "exit_code": 1,
                "message": "deploy/system.toml:1: build: unknown table of the file\n  allowed: defaults, places, removed, services\n  remedy: delete the entry or use an allowed name\ndeploy/system.toml:3: roles: unknown table of the file\n  allowed: defaults, places, removed, services\n  remedy: delete the entry or use an allowed name",
                "settings_errors": [
                  {
                    "file": "deploy/system.toml",
                    "line": 1,
                    "path": "build",
                    "value": null,
                    "message": "unknown table of the file",
                    "allowed": "defaults, places, removed, services",
                    "remedy": "delete the entry or use an allowed name"
                  },
                  {
                    "file": "deploy/system.toml",
                    "line": 3,
                    "path": "roles",
                    "value": null,
                    "message": "unknown table of the file",
                    "allowed": "defaults, places, removed, services",
                    "remedy": "delete the entry or use an allowed name"
                  }
                ]
              }
            }
        "#]],
    );
    check(
        &["config", "check", "--file", "Cargo.toml"],
        &expect![[r#"
        exit 1
        error: nodes would refuse the config: the document cannot be decoded (expected value at line 1 column 2); correct it at its writer
    "#]],
    );
}

#[test]
fn unreachable_store_exits_with_code_4() {
    check(
        &["members", "--store", "127.0.0.1:1"],
        &expect![[r#"
            exit 4
            error: the call to the store at 127.0.0.1:1 failed (the store did not respond (the request was not sent (Connection refused (os error 111)); it may be sent again on another connection); read the row to learn what was written); nothing was changed
              remedy: check --store, and try again when the store answers
        "#]],
    );
}

#[test]
fn request_absent_from_the_logs_is_not_traced() {
    check(
        &["trace", "id-1", "README.md"],
        &expect![[r#"
            exit 1
            error: no line in 1 log files names request id-1
              remedy: include the log of the node on the caller's VM; request lines are rate-limited, and `request_lines_dropped` reports how many were dropped
        "#]],
    );
}

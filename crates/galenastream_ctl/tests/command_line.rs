//! Output and exit codes of commands that need no deployment.

use std::{fs, path::Path, process::Command};

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

            Settings, the config, key owners and nodes are read from the platform's store; `members` and `evacuation` also query each node, and `route` queries one or two. `trace` and `trace-key` only read log files.

            Usage: galenastreamctl [OPTIONS] <COMMAND>

            Commands:
              settings    Checks, compares, applies, shows and explains the settings tree
              config      Checks and explains the config of routes and services
              ranges      Shows the owner and the fencing token of each key range, and pending moves
              quarantine  Lists and releases requests that nodes refuse because they crash targets
              members     Lists the nodes with their target, versions in force, roles, leases and drain state
              evacuation  Shows which data centres are evacuated, who knows, and what their targets still hold
              route       Explains where a request would go now, and why, without sending it
              trace       Traces a request by its id through the logs of nodes
              trace-key   Lists who held a key, by the logs of nodes
              help        Print this message or the help of the given subcommand(s)

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

/// Writes a log with lines of a time of day and `kvs`, and returns its path. A line without a time is
/// written as it is.
fn write_log(test: &str, name: &str, lines: &[(&str, &str)]) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).expect("the folder can be created");
    let mut text = String::new();
    for (time, kvs) in lines {
        match *time {
            "" => text += kvs,
            time => {
                text += &format!(
                    r#"{{"timestamp":"2026-12-04T{time}000+00:00","level":"INFO","target":"galenastream_node","kvs":{{{kvs}}}}}"#
                );
            }
        }
        text.push('\n');
    }
    let path = folder.join(name);
    fs::write(&path, text).expect("the log can be written");
    path.into_os_string().into_string().expect("the path is text")
}

fn started(node: &str) -> String {
    format!(r#""event":"process_started","node":"{node}","data_centre":"x","version":"0.1.0""#)
}

fn granted(target: &str, row_version: u64, grants: &str) -> String {
    format!(
        r#""event":"leases_granted","service":"carts","target":"{target}","row_version":{row_version},"confirmed_age_ms":20,"lease_ms":6000,"sequence":1,"grants":"{grants}""#
    )
}

fn renewed(target: &str, row_version: u64, confirmed_age_ms: u64) -> String {
    format!(
        r#""event":"leases_renewed","service":"carts","target":"{target}","row_version":{row_version},"confirmed_age_ms":{confirmed_age_ms},"lease_ms":6000,"sequence":2"#
    )
}

fn leave(range: &str, target: &str, to: &str, row_version: u64, reason: &str) -> String {
    format!(
        r#""event":"keys_leave","service":"carts","range":"{range}","target":"{target}","to":"{to}","row_version":{row_version},"reason":"{reason}""#
    )
}

fn ended(range: &str, target: &str, row_version: u64, evidence: &str, age_ms: u64) -> String {
    format!(
        r#""event":"hold_ended","service":"carts","range":"{range}","target":"{target}","row_version":{row_version},"evidence":"{evidence}","evidence_age_ms":{age_ms}"#
    )
}

fn assigned(range: &str, target: &str, node: &str, fence: u64, row_version: u64) -> String {
    format!(
        r#""event":"keys_assigned","service":"carts","range":"{range}","target":"{target}","node":"{node}","fence":{fence},"row_version":{row_version}"#
    )
}

fn called(kind: &str, target: &str, fence: u64, outcome: &str, elapsed_ms: u64) -> String {
    format!(
        r#""event":"lease_call_ended","kind":"{kind}","service":"carts","target":"{target}","range":"0-99","fence":{fence},"lease_ms":6000,"call":1,"row_version":5,"confirmed_age_ms":40,"outcome":"{outcome}","reason":"","elapsed_ms":{elapsed_ms}"#
    )
}

fn written(row_version: u64, based_on: u64) -> String {
    format!(
        r#""event":"assignment_written","service":"carts","row_version":{row_version},"based_on":{based_on}"#
    )
}

fn check_trace_key(options: &[&str], logs: &[&str], expected: &Expect) {
    let command = ["trace-key", "--service", "carts", "--key", "7"];
    check(&[options, &command, logs].concat(), expected);
}

#[test]
fn trace_key_lists_a_move_with_its_proof() {
    let test = "trace-key-move";
    let owner = write_log(
        test,
        "owner.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:00.500", &assigned("0-99", "a@1", "vm-a", 3, 4)),
            ("10:00:00.520", &written(5, 4)),
            ("10:00:01.000", &granted("a@1", 5, "0-9#3 10-99#3")),
            ("10:00:02.000", &renewed("a@1", 5, 150)),
            ("10:00:03.000", &renewed("a@1", 6, 30)),
            ("10:00:03.500", r#""event":"lease_withheld","reason":"row not confirmed""#),
            ("10:00:03.600", r#""event":"lease_withheld","reason":"row not confirmed""#),
            ("10:00:04.000", &granted("a@1", 7, "10-99#3")),
            ("10:00:05.000", &renewed("a@1", 7, 10)),
            ("10:00:05.200", &ended("0-9", "a@1", 7, "released", 200)),
            ("10:00:05.200", &assigned("0-9", "b@2", "vm-b", 8, 7)),
            ("10:00:05.230", &written(8, 7)),
        ],
    );
    let next_owner = write_log(
        test,
        "next-owner.log",
        &[
            ("10:00:00.000", &started("vm-b")),
            ("10:00:03.700", &leave("0-9", "a@1", "b@2", 6, "balance")),
            ("10:00:03.720", &written(7, 6)),
            ("10:00:06.000", &granted("b@2", 8, "0-9#8")),
            ("10:00:06.500", r#""event":"request_finished","request_id":"r","key":7"#),
            (
                "10:00:07.000",
                r#""event":"foreign_hold","service":"carts","range":"0-9","target":"c@3","fence":2,"holder":"b@2","row_version":8"#,
            ),
        ],
    );
    let expected = expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:00.500Z  vm-a  assigned to a@1 (node vm-a), fence 3; on row 4, written as 5 at 2026-12-04T10:00:00.520Z
        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row versions 5 to 6 confirmed at most 150 ms before, last renewed 2026-12-04T10:00:03.000Z (renewals: 2), lease ends 2026-12-04T10:00:09.000Z, revoked 2026-12-04T10:00:04.000Z, released 2026-12-04T10:00:05.000Z
        2026-12-04T10:00:03.500Z  vm-a  lease withheld, reason row not confirmed, last 2026-12-04T10:00:03.600Z (heartbeats: 2)
        2026-12-04T10:00:03.700Z  vm-b  leaves a@1, to b@2, reason balance; on row 6, written as 7 at 2026-12-04T10:00:03.720Z
        2026-12-04T10:00:05.200Z  vm-a  hold of a@1 ended, evidence released, 200 ms old; on row 7, written as 8 at 2026-12-04T10:00:05.230Z
        2026-12-04T10:00:05.200Z  vm-a  assigned to b@2 (node vm-b), fence 8; on row 7, written as 8 at 2026-12-04T10:00:05.230Z
        2026-12-04T10:00:06.000Z  vm-b  granted to b@2, fence 8, row version 8 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:12.000Z
        2026-12-04T10:00:07.000Z  vm-b  FOREIGN HOLD: c@3 reports fence 2, but row 8 names b@2

        changes of owner
          fence 3: no known owner -> a@1, assigned 2026-12-04T10:00:00.500Z by vm-a, row version 5, first granted 2026-12-04T10:00:01.000Z
          fence 8: a@1 -> b@2, assigned 2026-12-04T10:00:05.200Z by vm-a, row version 8, first granted 2026-12-04T10:00:06.000Z
            proof that the holder before had ended: released, 200 ms old, of 2026-12-04T10:00:05.000Z, found by vm-a

        overlaps
          none
    "#]];
    check_trace_key(&[], &[&owner, &next_owner], &expected);
    check_trace_key(&[], &[&next_owner, &owner], &expected);
}

#[test]
fn trace_key_marks_holds_that_overlap() {
    let test = "trace-key-overlap";
    let cut_off = write_log(
        test,
        "cut-off.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:01.000", &granted("a@1", 4, "0-9#3 20-30#2")),
            ("10:00:03.000", &renewed("a@1", 5, 70)),
        ],
    );
    let planner = write_log(
        test,
        "planner.log",
        &[
            ("10:00:00.000", &started("vm-b")),
            ("10:00:02.500", &leave("0-9", "a@1", "none", 5, "owner-lost")),
            ("10:00:02.510", &written(6, 5)),
            ("10:00:08.000", &ended("0-9", "a@1", 6, "row-validity", 12_040)),
            ("10:00:08.000", &assigned("0-9", "b@2", "vm-b", 4, 6)),
            ("10:00:08.010", &written(7, 6)),
            ("10:00:08.100", &granted("b@2", 7, "0-9#4")),
        ],
    );
    let logs = [&*cut_off, &*planner];
    check_trace_key(
        &[],
        &logs,
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row versions 4 to 5 confirmed at most 70 ms before, last renewed 2026-12-04T10:00:03.000Z (renewals: 1), lease ends 2026-12-04T10:00:09.000Z
        2026-12-04T10:00:02.500Z  vm-b  leaves a@1, to none, reason owner-lost; on row 5, written as 6 at 2026-12-04T10:00:02.510Z
        2026-12-04T10:00:08.000Z  vm-b  hold of a@1 ended, evidence row-validity, 12040 ms old; on row 6, written as 7 at 2026-12-04T10:00:08.010Z
        2026-12-04T10:00:08.000Z  vm-b  assigned to b@2 (node vm-b), fence 4; on row 6, written as 7 at 2026-12-04T10:00:08.010Z
        2026-12-04T10:00:08.100Z  vm-b  granted to b@2, fence 4, row version 7 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:14.100Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z
          fence 4: a@1 -> b@2, assigned 2026-12-04T10:00:08.000Z by vm-b, row version 7, first granted 2026-12-04T10:00:08.100Z
            proof that the holder before had ended: row-validity, 12040 ms old, of 2026-12-04T09:59:55.960Z, found by vm-b

        overlaps
          OVERLAP, up to 900 ms, 2026-12-04T10:00:08.100Z to 2026-12-04T10:00:09.000Z: a@1 (node vm-a, fence 3) and b@2 (node vm-b, fence 4); the logs disprove the proof
            proof that the holder before had ended: row-validity, 12040 ms old, of 2026-12-04T09:59:55.960Z, found by vm-b
    "#]],
    );
    check_trace_key(
        &["--output", "json"],
        &logs,
        &expect![[r#"
            exit 0
            {
              "service": "carts",
              "key": 7,
              "holds": [
                {
                  "node": "vm-a",
                  "target": "a@1",
                  "fence": 3,
                  "granted_at": "2026-12-04T10:00:01.000Z",
                  "renewed_at": "2026-12-04T10:00:03.000Z",
                  "renewals": 1,
                  "lease_ends_at": "2026-12-04T10:00:09.000Z",
                  "rows": [
                    {
                      "row_version": 4,
                      "first_used_at": "2026-12-04T10:00:01.000Z",
                      "max_confirmed_age_ms": 20
                    },
                    {
                      "row_version": 5,
                      "first_used_at": "2026-12-04T10:00:03.000Z",
                      "max_confirmed_age_ms": 70
                    }
                  ],
                  "revoked_at": null,
                  "fence_changed_at": null,
                  "released_at": null
                },
                {
                  "node": "vm-b",
                  "target": "b@2",
                  "fence": 4,
                  "granted_at": "2026-12-04T10:00:08.100Z",
                  "renewed_at": "2026-12-04T10:00:08.100Z",
                  "renewals": 0,
                  "lease_ends_at": "2026-12-04T10:00:14.100Z",
                  "rows": [
                    {
                      "row_version": 7,
                      "first_used_at": "2026-12-04T10:00:08.100Z",
                      "max_confirmed_age_ms": 20
                    }
                  ],
                  "revoked_at": null,
                  "fence_changed_at": null,
                  "released_at": null
                }
              ],
              "changes": [
                {
                  "time": "2026-12-04T10:00:02.500Z",
                  "node": "vm-b",
                  "event": "keys_leave",
                  "target": "a@1",
                  "to": "none",
                  "reason": "owner-lost",
                  "based_on": 5,
                  "written": {
                    "row_version": 6,
                    "at": "2026-12-04T10:00:02.510Z"
                  }
                },
                {
                  "time": "2026-12-04T10:00:08.000Z",
                  "node": "vm-b",
                  "event": "hold_ended",
                  "target": "a@1",
                  "evidence": "row-validity",
                  "evidence_age_ms": 12040,
                  "reported_by": null,
                  "based_on": 6,
                  "written": {
                    "row_version": 7,
                    "at": "2026-12-04T10:00:08.010Z"
                  }
                },
                {
                  "time": "2026-12-04T10:00:08.000Z",
                  "node": "vm-b",
                  "event": "keys_assigned",
                  "target": "b@2",
                  "owner_node": "vm-b",
                  "fence": 4,
                  "based_on": 6,
                  "written": {
                    "row_version": 7,
                    "at": "2026-12-04T10:00:08.010Z"
                  }
                }
              ],
              "unknown_grants": [],
              "owner_changes": [
                {
                  "fence": 3,
                  "from": null,
                  "to": "a@1",
                  "assigned_at": null,
                  "assigned_by": null,
                  "row_version": null,
                  "first_granted_at": "2026-12-04T10:00:01.000Z",
                  "proof": null
                },
                {
                  "fence": 4,
                  "from": "a@1",
                  "to": "b@2",
                  "assigned_at": "2026-12-04T10:00:08.000Z",
                  "assigned_by": "vm-b",
                  "row_version": 7,
                  "first_granted_at": "2026-12-04T10:00:08.100Z",
                  "proof": {
                    "target": "a@1",
                    "evidence": "row-validity",
                    "reported_evidence": null,
                    "age_ms": 12040,
                    "proven_at": "2026-12-04T09:59:55.960Z",
                    "based_on": 6,
                    "node": "vm-b",
                    "reported_by": null
                  }
                }
              ],
              "overlaps": [
                {
                  "kind": "held",
                  "first": {
                    "target": "a@1",
                    "node": "vm-a",
                    "fence": 3
                  },
                  "second": {
                    "target": "b@2",
                    "node": "vm-b",
                    "fence": 4
                  },
                  "from": "2026-12-04T10:00:08.100Z",
                  "until": "2026-12-04T10:00:09.000Z",
                  "duration_ms": 900,
                  "proof": {
                    "target": "a@1",
                    "evidence": "row-validity",
                    "reported_evidence": null,
                    "age_ms": 12040,
                    "proven_at": "2026-12-04T09:59:55.960Z",
                    "based_on": 6,
                    "node": "vm-b",
                    "reported_by": null
                  }
                }
              ],
              "at": null,
              "unreadable_lines": []
            }
        "#]],
    );
    // The lease as it was before its renewal.
    let before_renewal = ["--at", "2026-12-04T11:00:02+01:00", logs[0], logs[1]];
    check_trace_key(
        &[],
        &before_renewal,
        &expect![[r#"
        exit 0
        service carts, key 7, leases at 2026-12-04T10:00:02.000Z
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 4 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:07.000Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z

        overlaps
          none
    "#]],
    );
    let after_all = ["--at", "2026-12-04T10:01:00Z", logs[0], logs[1]];
    check_trace_key(
        &[],
        &after_all,
        &expect![[r#"
        exit 0
        service carts, key 7, leases at 2026-12-04T10:01:00.000Z
        lines of several VMs are ordered only as accurately as their clocks

        none

        changes of owner
          none

        overlaps
          none
    "#]],
    );
}

#[test]
fn trace_key_marks_a_lease_under_an_older_fence() {
    let test = "trace-key-older-fence";
    let newer = write_log(
        test,
        "newer.log",
        &[
            ("10:00:00.000", &started("vm-b")),
            ("10:00:01.000", &ended("0-9", "a@1", 6, "released", 10)),
            ("10:00:01.000", &assigned("0-9", "b@2", "vm-b", 4, 6)),
            ("10:00:01.010", &written(7, 6)),
            ("10:00:01.100", &granted("b@2", 7, "0-9#4")),
        ],
    );
    // Logs of two processes of one node. The first reply of the second process continues the lease.
    let first_process = write_log(
        test,
        "first-process.log",
        &[("10:00:01.000", &started("vm-a")), ("10:00:02.000", &granted("a@1", 5, "0-9#3"))],
    );
    let second_process = write_log(
        test,
        "second-process.log",
        &[("10:00:04.000", &started("vm-a")), ("10:00:05.000", &granted("a@1", 5, "0-9#3"))],
    );
    check_trace_key(
        &[],
        &[&second_process, &first_process, &newer],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-b  hold of a@1 ended, evidence released, 10 ms old; on row 6, written as 7 at 2026-12-04T10:00:01.010Z
        2026-12-04T10:00:01.000Z  vm-b  assigned to b@2 (node vm-b), fence 4; on row 6, written as 7 at 2026-12-04T10:00:01.010Z
        2026-12-04T10:00:01.100Z  vm-b  granted to b@2, fence 4, row version 7 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:07.100Z
        2026-12-04T10:00:02.000Z  vm-a  granted to a@1, fence 3, row version 5 confirmed at most 20 ms before, last renewed 2026-12-04T10:00:05.000Z (renewals: 1), lease ends 2026-12-04T10:00:11.000Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:02.000Z
          fence 4: a@1 -> b@2, assigned 2026-12-04T10:00:01.000Z by vm-b, row version 7, first granted 2026-12-04T10:00:01.100Z
            proof that the holder before had ended: released, 10 ms old, of 2026-12-04T10:00:00.990Z, found by vm-b

        overlaps
          OVERLAP, up to 5100 ms, 2026-12-04T10:00:02.000Z to 2026-12-04T10:00:07.100Z: b@2 (node vm-b, fence 4) and a@1 (node vm-a, fence 3); nothing in these logs ended the first hold
    "#]],
    );
}

#[test]
fn trace_key_tells_possible_overlaps_from_disproved_proofs() {
    let test = "trace-key-possible";
    let log = |name: &str, lines: &[(&str, &str)]| write_log(test, name, lines);
    let takeover = |name: &str, at: &str, evidence: &str, age_ms: u64| {
        let end = ended("0-9", "a@1", 5, evidence, age_ms);
        let assign = assigned("0-9", "b@2", "vm-b", 4, 5);
        let lines = [
            ("10:00:00.000", &*started("vm-b")),
            (at, &end),
            (at, &assign),
            (at, &written(6, 5)),
            ("10:00:04.000", &granted("b@2", 6, "0-9#4")),
        ];
        log(name, &lines)
    };
    let holder = log(
        "holder.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:01.000", &granted("a@1", 4, "0-9#3")),
            ("10:00:03.000", &renewed("a@1", 4, 20)),
        ],
    );
    let closed = takeover("closed.log", "10:00:03.900", "connections-closed", 100);
    check_trace_key(
        &[],
        &[&holder, &closed],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 4 confirmed at most 20 ms before, last renewed 2026-12-04T10:00:03.000Z (renewals: 1), lease ends 2026-12-04T10:00:09.000Z
        2026-12-04T10:00:03.900Z  vm-b  hold of a@1 ended, evidence connections-closed, 100 ms old; on row 5, written as 6 at 2026-12-04T10:00:03.900Z
        2026-12-04T10:00:03.900Z  vm-b  assigned to b@2 (node vm-b), fence 4; on row 5, written as 6 at 2026-12-04T10:00:03.900Z
        2026-12-04T10:00:04.000Z  vm-b  granted to b@2, fence 4, row version 6 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:10.000Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z
          fence 4: a@1 -> b@2, assigned 2026-12-04T10:00:03.900Z by vm-b, row version 6, first granted 2026-12-04T10:00:04.000Z
            proof that the holder before had ended: connections-closed, 100 ms old, of 2026-12-04T10:00:03.800Z, found by vm-b

        overlaps
          possible overlap, up to 5000 ms, 2026-12-04T10:00:04.000Z to 2026-12-04T10:00:09.000Z: a@1 (node vm-a, fence 3) and b@2 (node vm-b, fence 4); only if the proof is wrong
            proof that the holder before had ended: connections-closed, 100 ms old, of 2026-12-04T10:00:03.800Z, found by vm-b
    "#]],
    );
    // The target got another lease after its end was concluded.
    let refuted = takeover("refuted.log", "10:00:02.000", "connections-closed", 100);
    check_trace_key(
        &[],
        &[&holder, &refuted],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 4 confirmed at most 20 ms before, last renewed 2026-12-04T10:00:03.000Z (renewals: 1), lease ends 2026-12-04T10:00:09.000Z
        2026-12-04T10:00:02.000Z  vm-b  hold of a@1 ended, evidence connections-closed, 100 ms old; on row 5, written as 6 at 2026-12-04T10:00:02.000Z
        2026-12-04T10:00:02.000Z  vm-b  assigned to b@2 (node vm-b), fence 4; on row 5, written as 6 at 2026-12-04T10:00:02.000Z
        2026-12-04T10:00:04.000Z  vm-b  granted to b@2, fence 4, row version 6 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:10.000Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z
          fence 4: a@1 -> b@2, assigned 2026-12-04T10:00:02.000Z by vm-b, row version 6, first granted 2026-12-04T10:00:04.000Z
            proof that the holder before had ended: connections-closed, 100 ms old, of 2026-12-04T10:00:01.900Z, found by vm-b

        overlaps
          OVERLAP, up to 5000 ms, 2026-12-04T10:00:04.000Z to 2026-12-04T10:00:09.000Z: a@1 (node vm-a, fence 3) and b@2 (node vm-b, fence 4); the logs disprove the proof
            proof that the holder before had ended: connections-closed, 100 ms old, of 2026-12-04T10:00:01.900Z, found by vm-b
    "#]],
    );
    // The lease runs on, though it counted as expired.
    let expired = takeover("expired.log", "10:00:03.900", "leases-expired", 0);
    check_trace_key(
        &[],
        &[&holder, &expired],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 4 confirmed at most 20 ms before, last renewed 2026-12-04T10:00:03.000Z (renewals: 1), lease ends 2026-12-04T10:00:09.000Z
        2026-12-04T10:00:03.900Z  vm-b  hold of a@1 ended, evidence leases-expired, 0 ms old; on row 5, written as 6 at 2026-12-04T10:00:03.900Z
        2026-12-04T10:00:03.900Z  vm-b  assigned to b@2 (node vm-b), fence 4; on row 5, written as 6 at 2026-12-04T10:00:03.900Z
        2026-12-04T10:00:04.000Z  vm-b  granted to b@2, fence 4, row version 6 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:10.000Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z
          fence 4: a@1 -> b@2, assigned 2026-12-04T10:00:03.900Z by vm-b, row version 6, first granted 2026-12-04T10:00:04.000Z
            proof that the holder before had ended: leases-expired, 0 ms old, of 2026-12-04T10:00:03.900Z, found by vm-b

        overlaps
          OVERLAP, up to 5000 ms, 2026-12-04T10:00:04.000Z to 2026-12-04T10:00:09.000Z: a@1 (node vm-a, fence 3) and b@2 (node vm-b, fence 4); the logs disprove the proof
            proof that the holder before had ended: leases-expired, 0 ms old, of 2026-12-04T10:00:03.900Z, found by vm-b
    "#]],
    );
    let revoking = log(
        "revoking.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:01.000", &granted("a@1", 4, "0-9#3")),
            ("10:00:03.000", &granted("a@1", 5, "")),
        ],
    );
    let unproven = log(
        "unproven.log",
        &[("10:00:00.000", &started("vm-b")), ("10:00:04.000", &granted("b@2", 6, "0-9#4"))],
    );
    let unproven_logs = [&*revoking, &*unproven];
    check_trace_key(
        &[],
        &unproven_logs,
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 4 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:07.000Z, revoked 2026-12-04T10:00:03.000Z
        2026-12-04T10:00:04.000Z  vm-b  granted to b@2, fence 4, row version 6 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:10.000Z

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z
          fence 4: a@1 -> b@2, no assignment in these logs, first granted 2026-12-04T10:00:04.000Z
            NO PROOF in these logs that the holder before had ended

        overlaps
          possible overlap, up to 3000 ms, 2026-12-04T10:00:04.000Z to 2026-12-04T10:00:07.000Z: a@1 (node vm-a, fence 3) and b@2 (node vm-b, fence 4); a reply had revoked the key, but may not have arrived
    "#]],
    );
}

#[test]
fn trace_key_finds_a_proof_by_row_versions_when_clocks_differ() {
    let test = "trace-key-clocks";
    let owner = write_log(
        test,
        "owner.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:01.000", &granted("a@1", 4, "0-9#3")),
            ("10:00:02.000", &granted("a@1", 5, "0-9#5")),
            ("10:00:03.000", &granted("a@1", 6, "")),
            ("10:00:03.400", &ended("0-9", "a@1", 6, "released", 0)),
        ],
    );
    let mut reported = ended("0-9", "a@1", 6, "reported-by-peer", 30);
    reported += r#","node":"vm-a""#;
    let planner = write_log(
        test,
        "planner-4s-behind.log",
        &[
            ("09:59:00.000", &started("vm-p")),
            ("09:59:59.450", &reported),
            ("09:59:59.460", &written(7, 6)),
            ("09:59:59.900", &assigned("0-9", "b@2", "vm-b", 6, 7)),
            ("09:59:59.920", &written(8, 7)),
        ],
    );
    let next_owner = write_log(
        test,
        "next-owner.log",
        &[("10:00:00.000", &started("vm-b")), ("10:00:04.000", &granted("b@2", 8, "0-9#6"))],
    );
    let logs = [&*owner, &*planner, &*next_owner];
    check_trace_key(
        &[],
        &logs,
        &expect![[r#"
            exit 0
            service carts, key 7
            lines of several VMs are ordered only as accurately as their clocks

            2026-12-04T09:59:59.450Z  vm-p  hold of a@1 ended, evidence reported-by-peer of node vm-a, 30 ms old; on row 6, written as 7 at 2026-12-04T09:59:59.460Z
            2026-12-04T09:59:59.900Z  vm-p  assigned to b@2 (node vm-b), fence 6; on row 7, written as 8 at 2026-12-04T09:59:59.920Z
            2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 4 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:07.000Z, under another fence 2026-12-04T10:00:02.000Z
            2026-12-04T10:00:02.000Z  vm-a  granted to a@1, fence 5, row version 5 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:08.000Z, revoked 2026-12-04T10:00:03.000Z, released 2026-12-04T10:00:03.400Z
            2026-12-04T10:00:03.400Z  vm-a  hold of a@1 ended, evidence released, 0 ms old; on row 6, planned, but its log has no write of it
            2026-12-04T10:00:04.000Z  vm-b  granted to b@2, fence 6, row version 8 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:10.000Z

            changes of owner
              fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z
              fence 6: a@1 -> b@2, assigned 2026-12-04T09:59:59.900Z by vm-p, row version 8, first granted 2026-12-04T10:00:04.000Z
                proof that the holder before had ended: reported-by-peer of node vm-a (there: released), 480 ms old, of 2026-12-04T09:59:59.420Z, found by vm-p

            overlaps
              none
        "#]],
    );
}

#[test]
fn trace_key_does_not_take_the_end_of_an_earlier_hold_for_a_proof() {
    let test = "trace-key-earlier-end";
    let node = write_log(
        test,
        "vm-p.log",
        &[
            ("10:00:00.000", &started("vm-p")),
            ("10:00:01.000", &assigned("0-9", "a@1", "vm-a", 3, 3)),
            ("10:00:01.010", &written(4, 3)),
            ("10:00:02.000", &ended("0-9", "a@1", 4, "released", 10)),
            ("10:00:02.000", &assigned("0-9", "b@2", "vm-b", 4, 4)),
            ("10:00:02.010", &written(5, 4)),
            ("10:00:03.000", &ended("0-9", "b@2", 5, "another-identified", 250)),
            ("10:00:03.010", &written(6, 5)),
            ("10:00:03.400", &assigned("0-9", "a@1", "vm-a", 5, 6)),
            ("10:00:03.410", &written(7, 6)),
            ("10:00:04.000", &assigned("0-9", "c@3", "vm-c", 6, 7)),
            ("10:00:04.010", &written(8, 7)),
        ],
    );
    check_trace_key(
        &[],
        &[&node],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-p  assigned to a@1 (node vm-a), fence 3; on row 3, written as 4 at 2026-12-04T10:00:01.010Z
        2026-12-04T10:00:02.000Z  vm-p  hold of a@1 ended, evidence released, 10 ms old; on row 4, written as 5 at 2026-12-04T10:00:02.010Z
        2026-12-04T10:00:02.000Z  vm-p  assigned to b@2 (node vm-b), fence 4; on row 4, written as 5 at 2026-12-04T10:00:02.010Z
        2026-12-04T10:00:03.000Z  vm-p  hold of b@2 ended, evidence another-identified, 250 ms old; on row 5, written as 6 at 2026-12-04T10:00:03.010Z
        2026-12-04T10:00:03.400Z  vm-p  assigned to a@1 (node vm-a), fence 5; on row 6, written as 7 at 2026-12-04T10:00:03.410Z
        2026-12-04T10:00:04.000Z  vm-p  assigned to c@3 (node vm-c), fence 6; on row 7, written as 8 at 2026-12-04T10:00:04.010Z

        changes of owner
          fence 3: no known owner -> a@1, assigned 2026-12-04T10:00:01.000Z by vm-p, row version 4, no grant in these logs
          fence 4: a@1 -> b@2, assigned 2026-12-04T10:00:02.000Z by vm-p, row version 5, no grant in these logs
            proof that the holder before had ended: released, 10 ms old, of 2026-12-04T10:00:01.990Z, found by vm-p
          fence 5: b@2 -> a@1, assigned 2026-12-04T10:00:03.400Z by vm-p, row version 7, no grant in these logs
            proof that the holder before had ended: another-identified, 650 ms old, of 2026-12-04T10:00:02.750Z, found by vm-p
          fence 6: a@1 -> c@3, assigned 2026-12-04T10:00:04.000Z by vm-p, row version 8, no grant in these logs
            NO PROOF in these logs that the holder before had ended

        overlaps
          none
    "#]],
    );
}

#[test]
fn trace_key_tells_plans_from_written_changes() {
    let test = "trace-key-plans";
    let planner = write_log(
        test,
        "planner.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:01.000", &leave("0-9", "a@1", "none", 5, "owner-lost")),
            ("10:00:01.100", &leave("0-9", "a@1", "none", 6, "owner-lost")),
            ("10:00:01.120", &written(7, 6)),
            ("10:00:09.000", &ended("0-9", "a@1", 8, "leases-expired", 50)),
            ("10:00:09.000", &assigned("0-9", "c@3", "vm-c", 9, 8)),
        ],
    );
    let owner = write_log(
        test,
        "owner.log",
        &[
            ("10:00:00.000", &started("vm-b")),
            (
                "10:00:02.000",
                r#""event":"move_cancelled","service":"carts","target":"a@1","row_version":7"#,
            ),
            (
                "10:00:02.000",
                r#""event":"move_cancelled","service":"carts","target":"z@9","row_version":7"#,
            ),
            ("10:00:02.020", &written(8, 7)),
            ("10:00:02.500", &granted("a@1", 8, "0-65535#3")),
        ],
    );
    check_trace_key(
        &[],
        &[&planner, &owner],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  leaves a@1, to none, reason owner-lost; on row 5, planned, but its log has no write of it
        2026-12-04T10:00:01.100Z  vm-a  leaves a@1, to none, reason owner-lost; on row 6, written as 7 at 2026-12-04T10:00:01.120Z
        2026-12-04T10:00:02.000Z  vm-b  stays at a@1, move cancelled; on row 7, written as 8 at 2026-12-04T10:00:02.020Z
        2026-12-04T10:00:02.500Z  vm-b  granted to a@1, fence 3, row version 8 confirmed at most 20 ms before, lease ends 2026-12-04T10:00:08.500Z
        2026-12-04T10:00:09.000Z  vm-a  hold of a@1 ended, evidence leases-expired, 50 ms old; on row 8, planned, but its log has no write of it
        2026-12-04T10:00:09.000Z  vm-a  assigned to c@3 (node vm-c), fence 9; on row 8, planned, but its log has no write of it

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:02.500Z

        overlaps
          none
    "#]],
    );
}

#[test]
fn trace_key_reports_what_logs_do_not_tell() {
    let test = "trace-key-gaps";
    let middle = write_log(
        test,
        "vm-a.log",
        &[
            ("10:00:01.000", &renewed("a@1", 5, 70)),
            ("10:00:02.000", &renewed("a@1", 5, 70)),
            ("", "thread 'main' panicked"),
            ("10:00:02.500", r#""event":"leases_granted","service":"carts""#),
            ("10:00:03.000", &granted("a@1", 6, "0-6#3 8-9#3")),
            ("10:00:03.500", &granted("a@1", 6, "0-9")),
            ("10:00:04.000", &renewed("a@1", 6, 70)),
            ("", r#"{"timestamp":"2026-12-04T10:00:05.0000"#),
        ],
    );
    // The process starts again, and the lease runs on.
    let restarted = write_log(
        test,
        "restarted.log",
        &[
            ("10:00:05.000", &granted("b@2", 6, "7-7#4")),
            ("10:00:06.000", &started("vm-b")),
            ("10:00:07.000", &renewed("b@2", 6, 10)),
            ("10:00:08.000", &granted("b@2", 6, "7-7#4")),
            ("10:00:15.000", &renewed("b@2", 6, 10)),
        ],
    );
    check_trace_key(
        &[],
        &[&middle, &restarted],
        &expect![[r#"
            exit 0
            service carts, key 7
            lines of several VMs are ordered only as accurately as their clocks

            2026-12-04T10:00:01.000Z  vm-a.log  renews leases of a@1 on keys that the log does not name, last 2026-12-04T10:00:02.000Z (renewals: 2), lease ends 2026-12-04T10:00:08.000Z, keys known from 2026-12-04T10:00:03.000Z
            2026-12-04T10:00:04.000Z  vm-a.log  renews leases of a@1 on keys that the log does not name, last 2026-12-04T10:00:04.000Z (renewals: 1), lease ends 2026-12-04T10:00:10.000Z
            2026-12-04T10:00:05.000Z  vm-b  granted to b@2, fence 4, row version 6 confirmed at most 20 ms before, last renewed 2026-12-04T10:00:08.000Z (renewals: 1), lease ends 2026-12-04T10:00:14.000Z
            2026-12-04T10:00:07.000Z  vm-b  renews leases of b@2 on keys that the log does not name, last 2026-12-04T10:00:07.000Z (renewals: 1), lease ends 2026-12-04T10:00:13.000Z, keys known from 2026-12-04T10:00:08.000Z
            2026-12-04T10:00:15.000Z  vm-b  granted to b@2, fence 4, row version 6 confirmed at most 10 ms before, lease ends 2026-12-04T10:00:21.000Z

            changes of owner
              fence 4: no known owner -> b@2, no assignment in these logs, first granted 2026-12-04T10:00:05.000Z

            overlaps
              none
              not known: a@1 (node vm-a.log) may have held the key from 2026-12-04T10:00:01.000Z to 2026-12-04T10:00:08.000Z
              not known: a@1 (node vm-a.log) may have held the key from 2026-12-04T10:00:04.000Z to 2026-12-04T10:00:10.000Z
              not known: b@2 (node vm-b) may have held the key from 2026-12-04T10:00:07.000Z to 2026-12-04T10:00:13.000Z

            lines that cannot be read and are left out
              vm-a.log: 4, the first is line 3: expected ident at line 1 column 2
        "#]],
    );
}

#[test]
fn trace_key_needs_a_line_about_the_key() {
    let lines = [
        ("10:00:00.000", &*started("vm-a")),
        ("10:00:01.000", &leave("8-9", "a@1", "none", 5, "balance")),
    ];
    let log = write_log("trace-key-absent", "vm-a.log", &lines);
    check_trace_key(
        &[],
        &[&log],
        &expect![[r#"
        exit 1
        error: no line in 1 log files concerns the ownership of key 7 of service carts
          remedy: check --service and --key, and include the logs of the nodes beside the service's targets and of the planner, at level info
    "#]],
    );
    check_trace_key(
        &["--output", "json"],
        &[&log],
        &expect![[r#"
        exit 1
        {
          "error": {
            "exit_code": 1,
            "message": "no line in 1 log files concerns the ownership of key 7 of service carts\n  remedy: check --service and --key, and include the logs of the nodes beside the service's targets and of the planner, at level info"
          }
        }
    "#]],
    );
    check_trace_key(
        &[],
        &["--at", "yesterday", &log],
        &expect![[r#"
        exit 2
        error: invalid value 'yesterday' for '--at <TIME>': failed to parse four digit integer as year: invalid digit, expected 0-9 but got y

        For more information, try '--help'.
    "#]],
    );
    check(
        &["trace-key", "--service", "carts", "vm-a.log"],
        &expect![[r#"
        exit 2
        error: the following required arguments were not provided:
          --key <KEY>

        Usage: galenastreamctl trace-key --service <SERVICE> --key <KEY> <LOG>...

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn trace_key_lists_calls_with_their_outcomes() {
    let log = write_log(
        "trace-key-calls",
        "owner.log",
        &[
            ("10:00:00.000", &started("vm-a")),
            ("10:00:01.000", &called("grant", "a@1", 3, "done", 4)),
            ("10:00:03.500", &called("grant", "a@1", 3, "done", 3)),
            ("10:00:06.700", &called("grant", "a@1", 3, "no-answer", 700)),
            ("10:00:07.000", &called("release", "a@1", 3, "done", 210)),
        ],
    );
    check_trace_key(
        &[],
        &[&log],
        &expect![[r#"
        exit 0
        service carts, key 7
        lines of several VMs are ordered only as accurately as their clocks

        2026-12-04T10:00:01.000Z  vm-a  granted to a@1, fence 3, row version 5 confirmed at most 40 ms before, last renewed 2026-12-04T10:00:06.700Z (renewals: 2), lease ends 2026-12-04T10:00:12.700Z, revoked 2026-12-04T10:00:07.000Z
        2026-12-04T10:00:01.000Z  vm-a  grant call to a@1, fence 3 for 6000 ms: done, 4 ms after it was decided
        2026-12-04T10:00:06.700Z  vm-a  grant call to a@1, fence 3 for 6000 ms: no-answer, 700 ms after it was decided
        2026-12-04T10:00:07.000Z  vm-a  release call to a@1, fence 3: done, 210 ms after it was decided

        changes of owner
          fence 3: no known owner -> a@1, no assignment in these logs, first granted 2026-12-04T10:00:01.000Z

        overlaps
          none
    "#]],
    );
}

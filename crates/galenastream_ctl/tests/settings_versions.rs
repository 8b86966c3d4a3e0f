//! Versions of the settings against the stand-in of the platform: races, lost answers, outages.

use std::{
    path::PathBuf,
    process::{Output, Stdio},
};

use expect_test::{Expect, expect};
use galenastream_standin::{DeploymentFolder, PlatformFaults, PlatformStandin};
use tokio::process::Command;

const FIRST: &str =
    "[places.west]\n[places.east]\n[places.north]\n\n[services.catalogue]\nslots = 4\n";
const RACING_OPERATORS: usize = 8;

struct Fixture {
    platform: PlatformStandin,
    folder: DeploymentFolder,
}

impl Fixture {
    async fn new(name: &str) -> Self {
        let any = "127.0.0.1:0".parse().expect("an address");
        let platform = PlatformStandin::start(any, any).await.expect("the platform starts");
        let folder = DeploymentFolder::new(name).expect("a folder can be made");
        Self { platform, folder }
    }

    fn write(&self, name: &str, toml: &str) -> PathBuf {
        self.folder.write(name, toml).expect("the file can be written")
    }

    async fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_galenastreamctl"))
            .arg("settings")
            .args(arguments)
            .args(["--table-address", &self.platform.table_address().to_string()])
            .args(["--object-address", &self.platform.object_address().to_string()])
            .current_dir(self.folder.path())
            .stdin(Stdio::null())
            .output()
            .await
            .expect("the program can be run")
    }

    async fn check(&self, arguments: &[&str], expected: &Expect) {
        let output = self.run(arguments).await;
        let text = format!(
            "exit {}\n{}{}",
            code(&output),
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
        let text = text.replace(&self.platform.table_address().to_string(), "TABLE");
        let text = text.replace(&self.platform.object_address().to_string(), "OBJECTS");
        expected.assert_eq(&text);
    }

    async fn apply_first(&self) {
        self.write("first.toml", FIRST);
        assert_eq!(code(&self.run(&["apply", "first.toml"]).await), 0);
    }

    /// The version in force and its tree.
    async fn in_force(&self) -> (u64, String) {
        let output = self.run(&["show", "--output", "json"]).await;
        let shown: serde_json::Value =
            serde_json::from_slice(&output.stdout).expect("show prints JSON");
        let version = shown["version"].as_u64().expect("a version");
        (version, shown["toml"].as_str().expect("a tree").to_owned())
    }

    fn close(self) {
        self.platform.close();
        self.folder.close().expect("the folder can be removed");
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("the program ends by itself")
}

#[tokio::test]
async fn first_version_then_changes() {
    let fixture = Fixture::new("ctl-changes").await;
    fixture.write("first.toml", FIRST);
    fixture
        .check(
            &["show"],
            &expect![[r#"
        exit 1
        error: no settings are in force yet
          remedy: apply a first tree with `galenastreamctl settings apply FILE`
    "#]],
        )
        .await;
    fixture
        .check(
            &["diff", "first.toml"],
            &expect![[r#"
        exit 0
        no settings are in force yet:
        + places.east: a table
        + places.east.region: "default"
        + places.north: a table
        + places.north.region: "default"
        + places.west: a table
        + places.west.region: "default"
        + services.catalogue: a table
        + services.catalogue.slots: 4
    "#]],
        )
        .await;
    fixture
        .check(
            &["apply", "first.toml"],
            &expect![[r#"
        exit 0
        version 1 applied, the first one, with 8 entries
    "#]],
        )
        .await;
    fixture
        .check(
            &["apply", "first.toml"],
            &expect![[r#"
        exit 0
        the file is version 1, which is in force; nothing was changed
    "#]],
        )
        .await;
    fixture.write("second.toml", &FIRST.replace("slots = 4", "slots = 5"));
    fixture
        .check(
            &["diff", "second.toml"],
            &expect![[r#"
        exit 0
        compared with version 1:
        ~ services.catalogue.slots: 4 -> 5
    "#]],
        )
        .await;
    fixture
        .check(
            &["apply", "second.toml", "--output", "json"],
            &expect![[r#"
        exit 0
        {
          "version": 2,
          "previous_version": 1,
          "changes": [
            {
              "path": "services.catalogue.slots",
              "old": "4",
              "new": "5"
            }
          ]
        }
    "#]],
        )
        .await;
    fixture
        .check(
            &["show"],
            &expect![[r#"
        exit 0
        # version 2
        [places.west]
        [places.east]
        [places.north]

        [services.catalogue]
        slots = 5
    "#]],
        )
        .await;
    fixture.check(&["show", "--version", "1"], &expect![[r#"
        exit 1
        error: version 1 is not in force; version 2 is
          remedy: keep the files of older versions under version control; the platform is read for the one in force
    "#]]).await;
    fixture.close();
}

#[tokio::test]
async fn shown_version_can_be_edited_and_applied() {
    let fixture = Fixture::new("ctl-edit").await;
    fixture.apply_first().await;
    for version in 2..5 {
        let shown = fixture.run(&["show"]).await;
        let shown = String::from_utf8(shown.stdout).unwrap();
        assert_eq!(shown.matches("# version").count(), 1, "{shown}");
        let slots = format!("slots = {}", version + 2);
        let edited = shown.replace(&format!("slots = {}", version + 1), &slots);
        fixture.write("edited.toml", &edited);
        assert_eq!(code(&fixture.run(&["apply", "edited.toml"]).await), 0);
        assert_eq!(fixture.in_force().await, (version, edited));
    }
    fixture.close();
}

#[tokio::test]
async fn vanished_entry_is_refused_and_listed_removal_is_accepted() {
    let fixture = Fixture::new("ctl-removals").await;
    fixture.apply_first().await;
    let without = FIRST.replace("[services.catalogue]\nslots = 4\n", "");
    fixture.write("without.toml", &without);
    fixture.check(&["diff", "without.toml"], &expect![[r#"
        exit 1
        compared with version 1:
        - services.catalogue: a table
        - services.catalogue.slots: 4
        error: without.toml: services.catalogue: the entry is missing without an explicit removal; it was a table in line 5 of version 1
          allowed: each entry of the version in force, or its name in `removed`
          remedy: put the entry back, or add its name to `removed` at the top of the file
    "#]]).await;
    fixture.check(&["apply", "without.toml"], &expect![[r#"
        exit 1
        error: without.toml: services.catalogue: the entry is missing without an explicit removal; it was a table in line 5 of version 1
          allowed: each entry of the version in force, or its name in `removed`
          remedy: put the entry back, or add its name to `removed` at the top of the file
    "#]]).await;
    assert_eq!(fixture.in_force().await, (1, FIRST.to_owned()));
    fixture.write("removed.toml", &format!("removed = [\"services.catalogue\"]\n{without}"));
    assert_eq!(code(&fixture.run(&["apply", "removed.toml"]).await), 1);
    fixture
        .check(
            &["apply", "removed.toml", "--stopped", "catalogue"],
            &expect![[r#"
                exit 0
                version 2 applied in place of version 1, 2 changes:
                - services.catalogue: a table
                - services.catalogue.slots: 4
            "#]],
        )
        .await;
    fixture.close();
}

#[tokio::test]
async fn conflict_names_both_versions_and_the_remedy() {
    let fixture = Fixture::new("ctl-conflict").await;
    fixture.apply_first().await;
    fixture.write("second.toml", &FIRST.replace("slots = 4", "slots = 5"));
    assert_eq!(code(&fixture.run(&["apply", "second.toml", "--expect", "1"]).await), 0);
    fixture.write("other.toml", &FIRST.replace("slots = 4", "slots = 6"));
    fixture.check(&["apply", "other.toml", "--expect", "1"], &expect![[r#"
        exit 3
        error: conflict: the change was made for version 1, but version 2 is in force; nothing was changed
          remedy: run `galenastreamctl settings show`, merge your change into it, and apply the result with `--expect 2`
    "#]]).await;
    assert_eq!(fixture.in_force().await.0, 2);
    fixture.close();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_racing_operators_one_wins_and_the_others_get_a_conflict() {
    let fixture = Fixture::new("ctl-race").await;
    fixture.apply_first().await;
    let mut trees = Vec::new();
    let mut operators = Vec::new();
    for operator in 0..RACING_OPERATORS {
        let tree = FIRST.replace("slots = 4", &format!("slots = {}", 10 + operator));
        let name = format!("operator-{operator}.toml");
        fixture.write(&name, &tree);
        trees.push(tree);
        operators.push(name);
    }
    // Slow answers, so that most operators read the version before the first one writes.
    let slow = PlatformFaults { delay_ms: 200, ..PlatformFaults::default() };
    fixture.platform.set_table_faults(slow);
    let runs = operators.iter().map(|name| {
        let fixture = &fixture;
        async move { fixture.run(&["apply", name, "--expect", "1"]).await }
    });
    let outputs = futures::future::join_all(runs).await;
    let codes: Vec<i32> = outputs.iter().map(code).collect();
    let winners: Vec<usize> = (0..codes.len()).filter(|&operator| codes[operator] == 0).collect();
    assert_eq!(winners.len(), 1, "{outputs:?}");
    assert_eq!(codes.iter().filter(|&&code| code == 3).count(), RACING_OPERATORS - 1, "{codes:?}");
    assert_eq!(fixture.in_force().await, (2, trees[winners[0]].clone()));
    fixture.close();
}

#[tokio::test]
async fn lost_answer_of_the_write_is_resolved() {
    let fixture = Fixture::new("ctl-lost-answer").await;
    fixture.apply_first().await;
    fixture.write("second.toml", &FIRST.replace("slots = 4", "slots = 5"));
    fixture.platform.set_table_faults(PlatformFaults {
        drop_answer_after_apply: 1,
        ..PlatformFaults::default()
    });
    let applied = fixture.run(&["apply", "second.toml", "--timeout-ms", "300"]).await;
    assert_eq!(code(&applied), 0, "{applied:?}");
    assert_eq!(fixture.in_force().await.0, 2);
    fixture.close();
}

#[tokio::test]
async fn late_writes_are_reported_as_unknown() {
    let fixture = Fixture::new("ctl-late-write").await;
    fixture.apply_first().await;
    fixture.write("second.toml", &FIRST.replace("slots = 4", "slots = 5"));
    fixture
        .platform
        .set_table_faults(PlatformFaults { apply_late_ms: 60_000, ..PlatformFaults::default() });
    let applied = fixture.run(&["apply", "second.toml", "--timeout-ms", "100"]).await;
    assert_eq!(code(&applied), 5, "{applied:?}");
    fixture.close();
}

#[tokio::test]
async fn outage_changes_nothing() {
    let fixture = Fixture::new("ctl-outage").await;
    fixture.apply_first().await;
    fixture.write("second.toml", &FIRST.replace("slots = 4", "slots = 5"));
    let refuse_all = PlatformFaults { refuse_all: true, ..PlatformFaults::default() };
    fixture.platform.set_object_faults(refuse_all);
    for command in ["apply", "diff"] {
        let output = fixture.run(&[command, "second.toml", "--timeout-ms", "300"]).await;
        assert_eq!(code(&output), 4, "{output:?}");
    }
    fixture.platform.set_object_faults(PlatformFaults::default());
    assert_eq!(fixture.in_force().await, (1, FIRST.to_owned()));
    fixture.close();
}

#[tokio::test]
async fn unreadable_answers_are_refused() {
    let fixture = Fixture::new("ctl-garbage").await;
    fixture.apply_first().await;
    let garbage = PlatformFaults { garbage_answers: true, ..PlatformFaults::default() };
    fixture.platform.set_table_faults(garbage);
    let output = fixture.run(&["show"]).await;
    assert_eq!(code(&output), 1, "{output:?}");
    fixture.close();
}

//! `.ci/known-red`: which test runs it accepts, given the list of known failures.

use std::process::Command;

const NAMES: &str =
    "a::one: test\na::two: test\nb::three: test\nsame: test\nsame: test\nc::old: benchmark\n";

/// The name of a failed test, and its output.
type Failure<'a> = (&'a str, &'a str);

/// The output of `cargo test --no-fail-fast` when these tests failed and `silent` further targets ended without naming
/// a test.
fn log(failed: &[Failure], silent: usize) -> String {
    let mut text = String::from("running 3 tests\ntest a::one ... ok\n");
    for (test, _) in failed {
        text += &format!("test {test} ... FAILED\n");
    }
    if !failed.is_empty() {
        text += "\nfailures:\n\n";
        for (test, output) in failed {
            text += &format!("---- {test} stdout ----\n{output}\n\n");
        }
        text += "\nfailures:\n";
        for (test, _) in failed {
            text += &format!("    {test}\n");
        }
        text += "\ntest result: FAILED. 2 passed; 1 failed\n";
    }
    let targets = usize::from(!failed.is_empty()) + silent;
    if targets > 0 {
        text += &format!(
            "error: {targets} target{} failed:\n    `-p x`\n",
            if targets > 1 { "s" } else { "" }
        );
    }
    text
}

/// A test run, and the expected verdict of the script.
struct Run<'a> {
    list: Vec<&'a str>,
    failed: Vec<Failure<'a>>,
    /// Targets that ended without naming a test.
    silent: usize,
    /// The tests' exit code.
    code: i32,
    /// A part of the script's error message; `None`: the run passes.
    red: Option<&'a str>,
}

impl Run<'_> {
    fn check(&self) {
        let Run {
            list, failed, red, ..
        } = self;
        let dir = tempfile::tempdir().unwrap();
        let path = |name: &str| dir.path().join(name);
        let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
        let text: String = list.iter().map(|line| format!("{line}\n")).collect();
        std::fs::write(path("list"), text).unwrap();
        std::fs::write(path("names"), NAMES).unwrap();
        std::fs::write(path("log"), log(failed, self.silent)).unwrap();
        let mut command = Command::new("bash");
        command
            .arg(script)
            .args([path("list"), path("names"), path("log")])
            .arg(self.code.to_string());
        let ended = command.output().unwrap();
        let output = String::from_utf8_lossy(&ended.stdout);
        let erred = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(
            ended.status.success(),
            red.is_none(),
            "{list:?} {failed:?}: {output}{erred}"
        );
        assert!(
            erred.contains(red.unwrap_or_default()),
            "{list:?} {failed:?}: {erred}"
        );
        if red.is_none() {
            self.check_lines(&output);
        }
    }

    /// Checks that the output has each line of the list, marked as passed over or as passing now.
    fn check_lines(&self, output: &str) {
        for line in &self.list {
            let fields: Vec<&str> = line.split("; ").collect();
            let failed_as_listed = self
                .failed
                .iter()
                .any(|(test, printed)| *test == fields[0] && printed.contains(fields[1]));
            let word = if failed_as_listed {
                "passed over"
            } else {
                "passes now"
            };
            let mut printed = output.lines();
            assert!(
                printed.any(|shown| shown.contains(word) && shown.ends_with(line)),
                "{line}: {output}"
            );
        }
    }
}

const ONE: &str = "a::one; storm, seed 1, rule 1; times out under load; issue 35";
const ONE_MORE: &str = "a::one; storm, seed 2, rule 1; times out under load; issue 35";
const TWO: &str = "a::two; left: 3; the list comes late; issue 28";
const THREE: &str = "b::three; is cut; an answer is cut; issue 35";
const ONE_FAILED: Failure = ("a::one", "failed case: storm, seed 1, rule 1\npanicked");
const TWO_FAILED: Failure = ("a::two", "panicked at x.rs\n  left: 3\n right: 4");

fn run<'a>(list: &[&'a str], failed: &[Failure<'a>], red: Option<&'a str>) -> Run<'a> {
    Run {
        list: list.to_vec(),
        failed: failed.to_vec(),
        silent: 0,
        code: if failed.is_empty() { 0 } else { 101 },
        red,
    }
}

#[test]
fn only_listed_failures_are_passed_over() {
    let runs = [
        run(&[ONE], &[ONE_FAILED], None),
        run(
            &[ONE, TWO, THREE],
            &[ONE_FAILED, ("b::three", "x is cut")],
            None,
        ),
        run(&[ONE, ONE_MORE, TWO, THREE], &[ONE_FAILED], None),
        run(&[ONE], &[], None),
        run(
            &[ONE],
            &[ONE_FAILED, TWO_FAILED],
            Some("a::two failed and is not listed"),
        ),
        run(
            &[ONE],
            &[TWO_FAILED],
            Some("a::two failed and is not listed"),
        ),
        // A run that did not build, and one where a target ended without naming a test, next to a listed failure.
        Run {
            code: 101,
            ..run(&[ONE], &[], Some("name no failure"))
        },
        Run {
            silent: 1,
            ..run(&[ONE], &[ONE_FAILED], Some("2 targets failed, 1 of them"))
        },
    ];
    runs.iter().for_each(Run::check);
}

/// A line of the list covers only the case that it names: another failed case of the same test is red.
#[test]
fn a_listed_test_that_fails_on_another_case_is_red() {
    let other = "failed case: storm, seed 1, rule 5";
    let both = "failed case: storm, seed 1, rule 1\nfailed case: storm, seed 1, rule 5";
    let known = "failed case: storm, seed 1, rule 1\nfailed case: storm, seed 2, rule 1";
    let another = Some("a::one failed on another case than is listed");
    let runs = [
        run(&[ONE], &[("a::one", other)], another),
        run(&[ONE], &[("a::one", both)], another),
        run(&[ONE], &[("a::one", known)], another),
        run(&[ONE, ONE_MORE], &[("a::one", known)], None),
        // A case matches as a whole line, not as a part of one: rule 1 is not rule 11.
        run(
            &[ONE],
            &[("a::one", "failed case: storm, seed 1, rule 11")],
            another,
        ),
        run(&[ONE], &[("a::one", "panicked at an index")], another),
        run(&[TWO], &[TWO_FAILED], None),
        run(
            &[TWO],
            &[("a::two", "panicked at x.rs\n  left: 5")],
            Some("a::two failed on another case than is listed"),
        ),
        // The output of another test does not count.
        run(
            &[TWO, THREE],
            &[("a::two", "panicked"), ("b::three", "is cut, left: 3")],
            Some("a::two failed on another case than is listed"),
        ),
    ];
    runs.iter().for_each(Run::check);
}

#[test]
fn a_malformed_or_ambiguous_line_is_red() {
    let form = Some("is not 'TEST; CASE; CAUSE; issue N'");
    let runs = [
        run(
            &["a::gone; x; y; issue 1"],
            &[],
            Some("a::gone: there are 0 tests"),
        ),
        run(
            &["a::on; x; y; issue 1"],
            &[],
            Some("a::on: there are 0 tests"),
        ),
        run(
            &["c::old; x; y; issue 1"],
            &[],
            Some("c::old: there are 0 tests"),
        ),
        run(
            &["same; x; y; issue 1"],
            &[],
            Some("same: there are 2 tests"),
        ),
        run(&[ONE, ONE], &[], Some("listed twice")),
        run(&["a::one"], &[], form),
        run(&["a::one; case"], &[], form),
        run(&["a::one; cause; issue 1"], &[], form),
        run(&["a::one; case; cause; soon"], &[], form),
        run(&["", ONE], &[], form),
        run(&[], &[], Some("the file is empty")),
    ];
    runs.iter().for_each(Run::check);
}

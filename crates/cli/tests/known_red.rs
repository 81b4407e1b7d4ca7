//! `.ci/known-red`: which runs of the tests pass, given the list of known failures.

use std::process::Command;

const NAMES: &str =
    "a::one: test\na::two: test\nb::three: test\nsame: test\nsame: test\nc::old: benchmark\n";

/// What `cargo test --no-fail-fast` prints where these failed, and so many more targets ended without a word.
fn log(failed: &[&str], silent: usize) -> String {
    let mut text = String::from("running 3 tests\ntest a::one ... ok\n");
    failed
        .iter()
        .for_each(|t| text += &format!("test {t} ... FAILED\n"));
    if !failed.is_empty() {
        text += "test result: FAILED. 2 passed; 1 failed\n";
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

#[test]
fn only_what_is_listed_is_passed_over() {
    let one = "a::one; times out under load; issue 35";
    let two = "a::two; the list comes late; issue 28";
    let three = "b::three; an answer is cut; issue 35";
    // the list, what failed, targets that ended without naming a test, the tests' exit code; what it says if
    // it is red
    type Case<'a> = (Vec<&'a str>, Vec<&'a str>, usize, i32, Option<&'a str>);
    let cases: Vec<Case> = vec![
        (vec![one], vec!["a::one"], 0, 101, None),
        (
            vec![one, two, three],
            vec!["a::one", "b::three"],
            0,
            101,
            None,
        ),
        (vec![one], vec![], 0, 0, None),
        (
            vec![one],
            vec!["a::one", "a::two"],
            0,
            101,
            Some("a::two failed and is not listed"),
        ),
        (
            vec![one],
            vec!["a::two"],
            0,
            101,
            Some("a::two failed and is not listed"),
        ),
        (
            vec![one, two, three, "same; x; issue 1"],
            vec![],
            0,
            0,
            Some("4 lines"),
        ),
        (
            vec!["a::gone; x; issue 1"],
            vec![],
            0,
            0,
            Some("a::gone: there are 0 tests"),
        ),
        (
            vec!["a::on; x; issue 1"],
            vec![],
            0,
            0,
            Some("a::on: there are 0 tests"),
        ),
        (
            vec!["c::old; x; issue 1"],
            vec![],
            0,
            0,
            Some("c::old: there are 0 tests"),
        ),
        (
            vec!["same; x; issue 1"],
            vec![],
            0,
            0,
            Some("same: there are 2 tests"),
        ),
        (vec![one, one], vec![], 0, 0, Some("listed twice")),
        (
            vec!["a::one"],
            vec![],
            0,
            0,
            Some("is not 'TEST; CAUSE; issue N'"),
        ),
        (
            vec!["a::one; cause"],
            vec![],
            0,
            0,
            Some("is not 'TEST; CAUSE; issue N'"),
        ),
        (
            vec!["a::one; cause; soon"],
            vec![],
            0,
            0,
            Some("is not 'TEST; CAUSE; issue N'"),
        ),
        (
            vec!["", one],
            vec![],
            0,
            0,
            Some("is not 'TEST; CAUSE; issue N'"),
        ),
        (vec![], vec![], 0, 0, Some("the file is empty")),
        // It did not build, or a target ended without a word, beside one whose failure is known.
        (vec![one], vec![], 0, 101, Some("name no failure")),
        (
            vec![one],
            vec!["a::one"],
            1,
            101,
            Some("2 targets failed, 1 of them"),
        ),
    ];
    let dir = tempfile::tempdir().unwrap();
    let path = |name: &str| dir.path().join(name);
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    for (list, failed, silent, code, red) in cases {
        std::fs::write(
            path("list"),
            list.iter().map(|l| format!("{l}\n")).collect::<String>(),
        )
        .unwrap();
        std::fs::write(path("names"), NAMES).unwrap();
        std::fs::write(path("log"), log(&failed, silent)).unwrap();
        let mut command = Command::new("bash");
        command
            .arg(script)
            .args([path("list"), path("names"), path("log")])
            .arg(code.to_string());
        let ended = command.output().unwrap();
        let (output, erred) = (
            String::from_utf8_lossy(&ended.stdout),
            String::from_utf8_lossy(&ended.stderr),
        );
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
            for line in list {
                let over = failed.iter().any(|f| line.starts_with(&format!("{f};")));
                let word = if over { "passed over" } else { "passes now" };
                assert!(
                    output
                        .lines()
                        .any(|l| l.contains(word) && l.ends_with(line)),
                    "{line}: {output}"
                );
            }
        }
    }
}

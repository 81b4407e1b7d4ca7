//! Documents with random changes: pieces are removed, repeated, moved and replaced. Reading must end, reported positions
//! must lie in their files, and formatting must not change the meaning of a valid document. `GULLSAIL_FUZZ_CASES` sets
//! the number of cases, `GULLSAIL_FUZZ_SEED` the seed of the first.

use gullsail_configuration::diff::diff;
use gullsail_configuration::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const PIECES: [&str; 34] = [
    "{",
    "}",
    "\"",
    "#",
    "=",
    ";",
    "\n",
    "\\",
    "/*",
    "*/",
    "//",
    "/-",
    "$",
    "$name",
    "{1..3}",
    "{01..2}",
    "{9..1}",
    "\"{1..99999}\"",
    "#true",
    "#null",
    "5",
    "-1",
    "1e400",
    "\"5ms\"",
    "\"1MiB/s\"",
    "\"9units/s\"",
    "include \"a.kdl\"",
    "use \"desk\"",
    "template \"desk\"",
    "volume",
    "route to=\"all\"",
    "hosts",
    "\u{feff}",
    "é\t",
];

/// Documents, each with the text of a file that it includes. With it, a document is valid or has a single problem.
fn corpus() -> Vec<(String, &'static str)> {
    let base = include_str!("base.kdl");
    let (broken, questionable) = include_str!("collection.txt")
        .split_once("### WARNINGS")
        .unwrap();
    let texts = |part: &'static str| {
        part.split("### ")
            .filter_map(|c| Some(c.split_once('\n')?.1))
            .filter(|t| !t.contains("== "))
    };
    let mut all: Vec<(String, &str)> = texts(broken).map(|t| (t.to_string(), base)).collect();
    // Valid documents are repeated so that they are about as frequent as invalid ones.
    for _ in 0..3 {
        all.extend(texts(questionable).map(|t| (t.to_string(), base)));
        all.push((
            include_str!("../../../examples/studio/studio-3.kdl").into(),
            "",
        ));
        all.push((include_str!("../../scenario/days/fleet.kdl").into(), ""));
    }
    all
}

/// A random offset between two characters.
fn offset(text: &str, rng: &mut ChaCha8Rng) -> usize {
    let mut at = rng.random_range(0..=text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

/// Makes one to three random changes.
fn changed(text: &str, rng: &mut ChaCha8Rng) -> String {
    let mut text = text.to_string();
    for _ in 0..rng.random_range(1..4) {
        // Half of the changes swap two lines and change a digit, which mostly keeps the syntax valid.
        if rng.random_bool(0.5) {
            let mut lines: Vec<&str> = text.lines().collect();
            let (a, b) = (
                rng.random_range(0..=lines.len()),
                rng.random_range(0..=lines.len()),
            );
            if a < lines.len() && b < lines.len() {
                lines.swap(a, b);
            }
            let digit = char::from(b'0' + rng.random_range(0..10));
            text = (lines.join("\n") + "\n").replacen(digit, "7", 1);
            continue;
        }
        let (a, b) = (offset(&text, rng), offset(&text, rng));
        let (from, to) = (a.min(b), a.max(b).min(a.min(b) + 16));
        let to = (from..=to)
            .rev()
            .find(|at| text.is_char_boundary(*at))
            .unwrap_or(from);
        let piece = text[from..to].to_string();
        match rng.random_range(0..4) {
            0 => text.replace_range(from..to, ""),
            1 => text.insert_str(b, &piece),
            2 => text.replace_range(from..to, PIECES.choose(rng).unwrap()),
            _ => text.insert_str(from, PIECES.choose(rng).unwrap()),
        }
    }
    text
}

#[test]
fn changed_documents_are_read_and_formatted_consistently() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let (cases, seed) = (
        number("GULLSAIL_FUZZ_CASES").unwrap_or(1500),
        number("GULLSAIL_FUZZ_SEED").unwrap_or(7),
    );
    let corpus = corpus();
    let (mut valid, mut invalid) = (0, 0);
    for case in 0..cases {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(case));
        let (text, included) = corpus.choose(&mut rng).unwrap();
        let text = changed(text, &mut rng);
        let main = format!("{text}\ninclude \"a.kdl\"\n");
        let files = |main: String| {
            Memory(BTreeMap::from([
                ("main.kdl".into(), main),
                ("a.kdl".into(), included.to_string()),
            ]))
        };
        let problems = match load(&files(main.clone()), "main.kdl") {
            Ok((d, warnings)) => {
                valid += 1;
                if let Ok(formatted) = format::format(&main) {
                    assert_eq!(
                        format::format(&formatted).as_ref(),
                        Ok(&formatted),
                        "case {case}\n{main}"
                    );
                    let (again, _) = load(&files(formatted), "main.kdl")
                        .unwrap_or_else(|e| panic!("case {case}: {:?}\n{main}", e.problems));
                    assert_eq!(diff(&d, &again), vec![], "case {case}\n{main}");
                }
                warnings
            }
            Err(e) => {
                invalid += 1;
                assert!(!e.problems.is_empty());
                e.problems
            }
        };
        for p in problems {
            let file_text = if p.file == "a.kdl" {
                *included
            } else {
                main.as_str()
            };
            assert!(
                p.line <= file_text.matches('\n').count() + 1 && p.line >= 1 && p.column >= 1,
                "case {case}: {p:?}"
            );
            assert!(explain::explain(p.code).is_some(), "{}", p.code);
            assert!(
                p.file != "main.kdl"
                    || p.column
                        <= file_text
                            .lines()
                            .nth(p.line - 1)
                            .unwrap_or_default()
                            .chars()
                            .count()
                            + 1
            );
        }
    }
    // Enough cases are valid, and enough are invalid, to cover both results.
    assert!(
        valid * 20 > cases && invalid * 2 > cases,
        "{valid} valid, {invalid} invalid"
    );
}

//! Small documents with an error or a warning. Each states the code, line and column that must be reported and a part
//! of the message. It is read together with `base.kdl`, a valid document with some hosts and nodes.

use gullsail_configuration::*;
use std::collections::BTreeMap;

const BASE: &str = include_str!("base.kdl");

struct Case<'a> {
    code: &'a str,
    /// `line:column`.
    position: &'a str,
    /// A part of the message, the help, the related positions or the file name.
    text_part: &'a str,
    files: Memory,
    text: &'a str,
}

/// Parses cases. The head of each is `### CODE LINE:COLUMN PART`; further files begin with `== NAME`.
fn cases(text: &str) -> Vec<Case<'_>> {
    text.split("### ")
        .skip(1)
        .map(|c| {
            let (head, text) = c.split_once('\n').unwrap();
            let mut words = head.splitn(3, ' ');
            let (code, position) = (words.next().unwrap(), words.next().unwrap_or_default());
            let mut files = BTreeMap::from([("base.kdl".to_string(), BASE.to_string())]);
            for (number, part) in text.split("== ").enumerate() {
                if number == 0 {
                    files.insert("main.kdl".into(), format!("{part}include \"base.kdl\"\n"));
                } else {
                    let (name, body) = part.split_once('\n').unwrap();
                    files.insert(name.trim().into(), body.into());
                }
            }
            Case {
                code,
                position,
                text_part: words.next().unwrap_or_default(),
                files: Memory(files),
                text,
            }
        })
        .collect()
}

/// Checks that the expected problem is among those found, and that its code is explained.
fn check(case: &Case, found: &[Problem]) -> Result<(), String> {
    let texts = |p: &Problem| {
        let help = p.help.as_deref().unwrap_or_default();
        format!("{} {help} {} in {}", p.message, p.see.join(" "), p.file)
    };
    let matching = found.iter().find(|p| {
        p.code == case.code
            && format!("{}:{}", p.line, p.column) == case.position
            && texts(p).contains(case.text_part)
    });
    let all = || {
        found
            .iter()
            .map(|p| format!("  {} {}:{} {}", p.code, p.line, p.column, texts(p)))
    };
    match matching {
        Some(p) if explain::explain(p.code).is_some() => Ok(()),
        Some(p) => Err(format!("{} is not explained", p.code)),
        None => Err(format!(
            "{} {} {}\n{}{}",
            case.code,
            case.position,
            case.text_part,
            case.text,
            all().collect::<Vec<_>>().join("\n")
        )),
    }
}

#[test]
fn each_problem_has_its_code_position_and_text() {
    let (broken, questionable) = include_str!("collection.txt")
        .split_once("### WARNINGS\n")
        .unwrap();
    let (broken, questionable) = (cases(broken), cases(questionable));
    let mut failures = Vec::new();
    for c in &broken {
        let found = load(&c.files, "main.kdl")
            .err()
            .map(|e| e.problems)
            .unwrap_or_default();
        failures.extend(check(c, &found).err());
    }
    for c in &questionable {
        let found = load(&c.files, "main.kdl");
        let found = found.map_or_else(|e| e.problems, |(_, warnings)| warnings);
        failures.extend(check(c, &found).err());
        assert!(
            found.iter().all(|p| p.severity == ProblemSeverity::Warning) || !failures.is_empty(),
            "{}: {found:?}",
            c.text
        );
    }
    assert!(
        failures.is_empty(),
        "{} cases failed:\n{}",
        failures.len(),
        failures.join("\n\n")
    );
    assert!(
        load(&Memory([("b".into(), BASE.into())].into()), "b")
            .unwrap()
            .1
            .is_empty()
    );
    // Guards against an empty or repetitive collection, such as after a parsing error.
    for (cases, minimum) in [(&broken, 120), (&questionable, 40)] {
        let mut texts: Vec<_> = cases.iter().map(|c| c.text).collect();
        texts.sort_unstable();
        texts.dedup();
        assert!(texts.len() >= minimum, "{}", texts.len());
    }
}

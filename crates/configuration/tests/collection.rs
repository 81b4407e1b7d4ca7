//! Many small documents that are broken, or sound and doubtful, each with the code, line and column that must
//! be said, and a part of what is said. Each is read with a sound one of some hosts and nodes beside it.

use gullsail_configuration::*;
use std::collections::BTreeMap;

const BASE: &str = include_str!("base.kdl");

struct Case<'a> {
    code: &'a str,
    place: &'a str,
    part: &'a str,
    files: Memory,
    text: &'a str,
}

fn cases(text: &str) -> Vec<Case<'_>> {
    text.split("### ")
        .skip(1)
        .map(|c| {
            let (head, text) = c.split_once('\n').unwrap();
            let mut words = head.splitn(3, ' ');
            let (code, place) = (words.next().unwrap(), words.next().unwrap_or_default());
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
                place,
                part: words.next().unwrap_or_default(),
                files: Memory(files),
                text,
            }
        })
        .collect()
}

fn judge(case: &Case, found: &[Problem]) -> Result<(), String> {
    let said = |p: &Problem| {
        let help = p.help.as_deref().unwrap_or_default();
        format!("{} {help} {} in {}", p.message, p.see.join(" "), p.file)
    };
    let hit = found.iter().find(|p| {
        p.code == case.code
            && format!("{}:{}", p.line, p.column) == case.place
            && said(p).contains(case.part)
    });
    let all = || {
        found
            .iter()
            .map(|p| format!("  {} {}:{} {}", p.code, p.line, p.column, said(p)))
    };
    match hit {
        Some(p) if explain::explain(p.code).is_some() => Ok(()),
        Some(p) => Err(format!("{} is not explained", p.code)),
        None => Err(format!(
            "{} {} {}\n{}{}",
            case.code,
            case.place,
            case.part,
            case.text,
            all().collect::<Vec<_>>().join("\n")
        )),
    }
}

#[test]
fn each_is_named_with_its_place() {
    let (broken, doubtful) = include_str!("collection.txt")
        .split_once("### WARNINGS\n")
        .unwrap();
    let (broken, doubtful) = (cases(broken), cases(doubtful));
    let mut wrong = Vec::new();
    for c in &broken {
        let found = load(&c.files, "main.kdl")
            .err()
            .map(|e| e.problems)
            .unwrap_or_default();
        wrong.extend(judge(c, &found).err());
    }
    for c in &doubtful {
        let found = load(&c.files, "main.kdl");
        let found = found.map_or_else(|e| e.problems, |(_, warnings)| warnings);
        wrong.extend(judge(c, &found).err());
        assert!(
            found.iter().all(|p| p.severity == ProblemSeverity::Warning) || !wrong.is_empty(),
            "{}: {found:?}",
            c.text
        );
    }
    assert!(
        wrong.is_empty(),
        "{} of them:\n{}",
        wrong.len(),
        wrong.join("\n\n")
    );
    assert!(
        load(&Memory([("b".into(), BASE.into())].into()), "b")
            .unwrap()
            .1
            .is_empty()
    );
    // So many, and no two alike.
    for (cases, least) in [(&broken, 120), (&doubtful, 40)] {
        let mut texts: Vec<_> = cases.iter().map(|c| c.text).collect();
        texts.sort_unstable();
        texts.dedup();
        assert!(texts.len() >= least, "{}", texts.len());
    }
}

//! Includes and templates over several files, formatting, and the diff of two documents.

use gullsail_configuration::diff::{Class, diff};
use gullsail_configuration::format::format;
use gullsail_configuration::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// Splits a text into files. Each file follows a line `== name`.
fn files(text: &str) -> Memory {
    let mut all = BTreeMap::new();
    for part in text.split("== ").skip(1) {
        let (name, body) = part.split_once('\n').unwrap();
        all.insert(name.trim().to_string(), body.to_string());
    }
    Memory(all)
}

const COMMON: &str = r#"== rest.kdl
zone "a"
plan "p"
plan "q" limit="100units/s" burst=64
stream-type "read" effect="repeatable" slo="150ms" expiry="1s"
host "h1" zone="a" address="x:1"
host "h2" zone="a" address="x:2"
node "n1" cell=1 zone="a" address="y:1"
"#;

/// The problems of several files: code, file, line, column, and message with help and related positions.
fn found(text: &str) -> Vec<(&'static str, String, usize, usize, String)> {
    let problems = match load(&files(&format!("{text}{COMMON}")), "main.kdl") {
        Ok((_, warnings)) => warnings,
        Err(e) => e.problems,
    };
    let texts = |p: &Problem| {
        format!(
            "{} {} {}",
            p.message,
            p.help.clone().unwrap_or_default(),
            p.see.join(" ")
        )
    };
    problems
        .iter()
        .map(|p| (p.code, p.file.clone(), p.line, p.column, texts(p)))
        .collect()
}

#[test]
fn includes_and_templates_become_one_document() {
    let text = r#"== main.kdl
include "rest.kdl" "volumes/*.kdl"
include "rest.kdl"
template "pair" plan="p" {
    volume "$name-a" plan="$plan" { hosts "h1"; }
    volume "$name-b" plan="$plan" { hosts "h1" "h2"; }
}
template "two-pairs" {
    use "pair" name="$x"
    use "pair" name="other" plan="q"
}
use "two-pairs" x="desk"
== volumes/b.kdl
volume "second" plan="q"
== volumes/a.kdl
include "../shared/c.kdl"
volume "first" plan="p"
== shared/c.kdl
volume "zeroth" plan="p"
"#;
    let (d, warnings) = load(&files(&format!("{text}{COMMON}")), "main.kdl").unwrap();
    assert!(warnings.is_empty(), "{warnings:?}");
    let names: Vec<_> = d.volumes.iter().map(|v| v.name.as_str()).collect();
    assert_eq!(
        names,
        [
            "zeroth", "first", "second", "desk-a", "desk-b", "other-a", "other-b"
        ]
    );
    assert_eq!(
        (
            d.plans[d.volumes[5].plan.0].name.as_str(),
            d.volumes[5].hosts.len()
        ),
        ("q", 1)
    );
}

#[test]
fn problems_name_the_file_and_position() {
    const V: &str = "volume \"v\" plan=\"p\"\n";
    // files; code, file, line, column and part of the texts of the problem
    let cases: &[(&str, &str, &str, usize, usize, &str)] = &[
        (
            "== main.kdl\ninclude \"rest.kdl\" \"b.kdl\"\n== b.kdl\ninclude \"c.kdl\"\n== c.kdl\ninclude \"d.kdl\"\n\
          == d.kdl\n\n  include \"b.kdl\"\n",
            "loop",
            "d.kdl",
            2,
            11,
            "b.kdl -> c.kdl -> d.kdl -> b.kdl",
        ),
        (
            "== main.kdl\ninclude \"main.kdl\"\n",
            "loop",
            "main.kdl",
            1,
            9,
            "main.kdl -> main.kdl",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\" \"nowhere.kdl\"\n",
            "file",
            "main.kdl",
            1,
            20,
            "no such file",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\" \"none/*.kdl\"\n",
            "file",
            "main.kdl",
            1,
            20,
            "no file matches",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\" \"[.kdl\"\n",
            "file",
            "main.kdl",
            1,
            20,
            "[.kdl",
        ),
        (
            "== main.kdl\ninclude \"../x.kdl\"\n",
            "outside",
            "main.kdl",
            1,
            9,
            "leads out",
        ),
        (
            "== main.kdl\ninclude \"a/b.kdl\"\n== a/b.kdl\ninclude \"../../x.kdl\"\n",
            "outside",
            "a/b.kdl",
            1,
            9,
            "",
        ),
        (
            "== main.kdl\ninclude \"/etc/x.kdl\"\n",
            "outside",
            "main.kdl",
            1,
            9,
            "leads out",
        ),
        (
            "== main.kdl\ninclude 5\n",
            "wrong-kind",
            "main.kdl",
            1,
            9,
            "a text",
        ),
        (
            "== main.kdl\ninclude\n",
            "missing",
            "main.kdl",
            1,
            1,
            "needs a file",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\" x=1\n",
            "unknown-key",
            "main.kdl",
            1,
            20,
            "has no `x`",
        ),
        // A duplicate in another file: the problem names the position of the first.
        (
            "== main.kdl\ninclude \"rest.kdl\"\nhost \"h1\" zone=\"a\"\n",
            "twice",
            "main.kdl",
            2,
            1,
            "rest.kdl:5:1",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\" \"b.kdl\"\n== b.kdl\nplan \"p\"\n",
            "twice",
            "b.kdl",
            1,
            1,
            "rest.kdl:2:1",
        ),
        // Two files that are valid alone and invalid together.
        (
            "== main.kdl\nrules tick=\"9ms\"\ninclude \"rest.kdl\" \"b.kdl\"\n== b.kdl\nrules tick=\"9ms\"\n",
            "twice",
            "b.kdl",
            1,
            1,
            "second `rules`",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\" \"b.kdl\"\n== b.kdl\nvolume \"x\" plan=\"p\" {\n",
            "syntax",
            "b.kdl",
            1,
            21,
            "",
        ),
        // A wrong unit within three nested templates: the problem points into the innermost one and names each use.
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"one\" {\n    stream-type \"$n\" effect=\"repeatable\" slo=\"$s\" expiry=\"1s\"\n}\n\
          template \"two\" {\n  use \"one\" n=\"z\" s=\"$s\"\n}\ntemplate \"three\" {\n  use \"two\" s=\"$s\"\n}\nuse \"three\" s=\"5MiB\"\n",
            "wrong-kind",
            "main.kdl",
            3,
            42,
            "used at main.kdl:6:3 used at main.kdl:9:3 used at main.kdl:11:1",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\nuse \"nope\"\n",
            "unknown-name",
            "main.kdl",
            2,
            1,
            "no template is called",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\" {\n  volume \"$nam\" plan=\"p\"\n}\nuse \"t\" name=\"x\"\n",
            "unknown-name",
            "main.kdl",
            3,
            10,
            "did you mean `name`",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\" {\n  volume \"$name\" plan=\"p\"\n}\nuse \"t\" name=\"x\" nome=\"y\"\n",
            "unknown-name",
            "main.kdl",
            5,
            18,
            "no parameter of this template is called \"nome\" did you mean `name`",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\" {\n  use \"t\"\n}\nuse \"t\"\n",
            "too-deep",
            "main.kdl",
            3,
            3,
            "16 deep",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\" {\n  include \"x\"\n}\nuse \"t\"\n",
            "unknown-node",
            "main.kdl",
            3,
            3,
            "in a template",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\" {\n  plan \"z\"\n}\ntemplate \"t\" {\n  plan \"y\"\n}\n",
            "twice",
            "main.kdl",
            5,
            1,
            "main.kdl:2:1",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\"\n",
            "missing",
            "main.kdl",
            2,
            1,
            "holds nothing",
        ),
        // Warnings.
        (
            "== main.kdl\ninclude \"rest.kdl\"\ntemplate \"t\" {\n  plan \"z\"\n}\n",
            "unused",
            "main.kdl",
            2,
            1,
            "template \"t\"",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\nplan \"lonely\"\n",
            "unused",
            "main.kdl",
            2,
            1,
            "plan \"lonely\" is used nowhere",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\nmachine \"m\" unit=\"1ms\"\nmachine \"o\" unit=\"1ms\"\n",
            "unused",
            "main.kdl",
            3,
            1,
            "machine \"o\"",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\nzone \"empty\"\n",
            "zone-empty",
            "main.kdl",
            2,
            1,
            "\"empty\" has no node",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\ncold units=4 window=\"1s\" first-part=0.2 ramp=\"9s\"\n",
            "cold-too-small",
            "main.kdl",
            2,
            1,
            "8",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\nlegs most=1 free=3 window=\"5s\"\n",
            "no-effect",
            "main.kdl",
            2,
            1,
            "one leg",
        ),
        // Values that contradict each other.
        (
            "== main.kdl\ninclude \"rest.kdl\"\ncold units=40 window=\"9s\" first-part=0.2 ramp=\"1s\"\n",
            "contradiction",
            "main.kdl",
            2,
            1,
            "ramp",
        ),
        (
            "== main.kdl\ninclude \"rest.kdl\"\nmachine \"m\" cores=2 unit=\"10ms\"\nplan \"big\" reserve=\"181units/s\"\nvolume \"b\" plan=\"big\"\n",
            "reserves-too-large",
            "main.kdl",
            4,
            1,
            "181 units a second; the nodes can do 200 at most 180",
        ),
        // A tab counts as one column, CR LF as one line end.
        (
            "== main.kdl\r\ninclude \"rest.kdl\"\r\n\tvolume \"x\" plan=\"z\"\r\n",
            "unknown-name",
            "main.kdl",
            2,
            13,
            "\"z\"",
        ),
    ];
    for (text, code, file, line, column, part) in cases {
        let text = if text.contains("volume") {
            text.to_string()
        } else {
            text.replacen("\n== ", &format!("\n{V}== "), 1)
        };
        let text = if text.contains("volume") {
            text
        } else {
            text + V
        };
        let all = found(&text);
        let expected = (*code, file.to_string(), *line, *column);
        let matching = all
            .iter()
            .find(|f| (f.0, f.1.clone(), f.2, f.3) == expected);
        assert!(
            matching.is_some_and(|f| f.4.contains(part)),
            "{expected:?} {part}\n{all:#?}\n{text}"
        );
        assert!(explain::explain(code).is_some(), "{code}");
    }
}

/// No code has two explanations. Other tests check that the code of each problem has one.
#[test]
fn every_code_is_explained_once() {
    let mut codes: Vec<_> = explain::CODES.iter().map(|c| c.0).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), explain::CODES.len());
}

#[test]
fn unsafe_files_on_disk_are_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let root = dir.path().join("conf");
    std::fs::create_dir(&root).unwrap();
    let write = |name: &str, bytes: &[u8]| std::fs::write(root.join(name), bytes).unwrap();
    write("bytes.kdl", b"zone \"a\"\nzone \"\xff\"\n");
    std::fs::File::create(root.join("huge.kdl"))
        .unwrap()
        .set_len(100 << 20)
        .unwrap();
    std::fs::write(dir.path().join("secret.kdl"), "zone \"s\"").unwrap();
    std::os::unix::fs::symlink(dir.path().join("secret.kdl"), root.join("link.kdl")).unwrap();
    let files = Files::new(&root).unwrap();
    for (name, code, message) in [
        ("bytes.kdl", "file", "not UTF-8 at byte 15"),
        ("huge.kdl", "file", "the file holds 104857600 bytes"),
        ("link.kdl", "file", "the file lies outside"),
        ("none.kdl", "file", "no such file"),
    ] {
        write("main.kdl", format!("include \"{name}\"\n").as_bytes());
        let e = load(&files, "main.kdl").unwrap_err();
        let p = e
            .problems
            .iter()
            .find(|p| p.code == code && p.message.contains(message));
        assert!(
            p.is_some_and(|p| (p.line, p.column) == (1, 9)),
            "{name}: {:?}",
            e.problems
        );
    }
    // Nesting that would overflow the parser's stack.
    for opening in ["a {", "/* ", "a (b)(c) { "] {
        write("deep.kdl", opening.repeat(100_000).as_bytes());
        let e = load(&files, "deep.kdl").unwrap_err();
        assert!(
            e.problems.iter().any(|p| p.code == "too-deep"),
            "{:?}",
            e.problems
        );
        assert!(format(&opening.repeat(100_000)).is_err());
    }
    // Braces in texts and comments do not count as nesting.
    write(
        "flat.kdl",
        std::format!("zone \"{0}\" // {0}\n", "{".repeat(500)).as_bytes(),
    );
    assert!(
        load(&files, "flat.kdl")
            .unwrap_err()
            .problems
            .iter()
            .all(|p| p.code == "missing")
    );
}

#[test]
fn formatting_keeps_meaning_and_comments() {
    let cases = [
        (
            "plan   \"p\"   limit=\"5units/s\"  // why\n",
            "plan p limit=\"5units/s\" // why\n",
        ),
        ("// first\r\nzone \"a\"\r\n", "// first\nzone a\n"),
        (
            "volume \"v\" plan=\"p\" {hosts \"h1\";}\n",
            "volume v plan=p {\n    hosts h1\n}\n",
        ),
    ];
    for (text, expected) in cases {
        let out = format(text).unwrap();
        assert_eq!(out.replace('"', ""), expected.replace('"', ""), "{text}");
        assert_eq!(format(&out).unwrap(), out);
    }
    let lost = format("plan \"p\" /* here */ limit=\"5units/s\"\n").unwrap_err();
    assert!(
        lost.contains("line 1") && lost.contains("/* here */"),
        "{lost}"
    );
    let broken = format("zone \"a\"\nplan \"p\" {\n").unwrap_err();
    assert!(broken.starts_with("line "), "{broken}");
}

fn document(limit: u32, hosts: &str, shards: &str) -> String {
    format!(
        "plan \"p\" limit=\"{limit}units/s\" burst=200 usual=\"60units/s\"\nstream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\n\
         host \"h1\"\nhost \"h2\"\nhost \"h3\"\n{shards}volume \"v\" plan=\"p\" {{ hosts {hosts}; }}\n"
    )
}

#[test]
fn diff_classifies_changes() {
    let shards = "node \"n1\" cell=1\nnode \"n2\" cell=2\n";
    let base = document(100, "\"h1\" \"h2\"", shards);
    // the new document; entry, changed part and class of each change
    let cases = [
        (base.clone(), vec![]),
        (
            document(120, "\"h1\" \"h2\"", shards),
            vec![("plan \"p\"", "limit", Class::Safe)],
        ),
        (
            document(80, "\"h1\" \"h2\"", shards),
            vec![("plan \"p\"", "limit", Class::Safe)],
        ),
        (
            document(50, "\"h1\" \"h2\"", shards),
            vec![("plan \"p\"", "limit", Class::Dangerous)],
        ),
        (
            document(100, "\"h1\"", shards),
            vec![("volume \"v\"", "hosts", Class::Dangerous)],
        ),
        (
            document(100, "\"h1\" \"h2\" \"h3\"", shards),
            vec![("volume \"v\"", "hosts", Class::Safe)],
        ),
        (document(100, "\"h2\" \"h1\"", shards), vec![]),
        (
            document(100, "\"h1\" \"h2\"", "node \"n1\" cell=1\n"),
            vec![
                ("node \"n2\"", "place", Class::Safe),
                ("cell 2", "nodes", Class::Dangerous),
            ],
        ),
        (
            base.replace("slo=\"1s\"", "slo=\"900ms\""),
            vec![("stream-type \"r\"", "figures", Class::Restart)],
        ),
        (
            base.replace("repeatable", "unrepeatable"),
            vec![("stream-type \"r\"", "effect", Class::Dangerous)],
        ),
        (
            base.replace("host \"h3\"\n", ""),
            vec![("host \"h3\"", "place", Class::Dangerous)],
        ),
        (
            base.clone() + "rules tick=\"5ms\"\n",
            vec![("rules", "tick", Class::Restart)],
        ),
        (
            base.clone() + "volume \"w\" plan=\"p\"\n",
            vec![("volume \"w\"", "volume", Class::Safe)],
        ),
        (
            base.replace("volume \"v\"", "volume \"x\""),
            vec![
                ("volume \"v\"", "volume", Class::Dangerous),
                ("volume \"x\"", "volume", Class::Safe),
            ],
        ),
    ];
    let old = parse("old.kdl", &base).unwrap();
    for (text, expected) in cases {
        let new = parse("new.kdl", &text).unwrap_or_else(|e| panic!("{:?}", e.problems));
        let found = diff(&old, &new);
        let found: Vec<_> = found
            .iter()
            .map(|c| (c.of.as_str(), c.what.as_str(), c.class))
            .collect();
        assert_eq!(found, expected, "{text}");
    }
}

/// Random documents with some plans, hosts and volumes, and irregular spaces and line ends.
fn unformatted() -> impl Strategy<Value = String> {
    let gap = prop_oneof![Just(" "), Just("   "), Just("\t")];
    let end = prop_oneof![Just("\n"), Just(";"), Just(" // said\n"), Just("\n\n\n")];
    let volume = (0u32..50, 1u32..4, gap, end);
    proptest::collection::vec(volume, 1..12).prop_map(|volumes| {
        let mut text =
            String::from("host \"h1\"\nhost \"h2\" ; host \"h3\"\n/* a note */ plan \"p\"\n");
        for (place, (plan, hosts, gap, end)) in volumes.into_iter().enumerate() {
            let hosts: String = (1..=hosts).map(|h| format!(" \"h{h}\"")).collect();
            text += &format!("plan{gap}\"p{place}\"{gap}reserve=\"{plan}units/s\"{end}");
            text += &format!("volume \"v{place}\"{gap}plan=\"p{place}\" {{hosts{hosts}}}{end}");
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Formatting a second time changes nothing, and the formatted document has the same meaning.
    #[test]
    fn formatting_is_stable_and_keeps_the_meaning(text in unformatted()) {
        let once = format(&text).unwrap();
        prop_assert_eq!(&format(&once).unwrap(), &once);
        let (a, b) = (parse("a.kdl", &text).unwrap(), parse("b.kdl", &once).unwrap());
        prop_assert_eq!(diff(&a, &b), vec![]);
    }

    /// Any text is either valid or has problems with explained codes and positions.
    #[test]
    fn any_text_is_accepted_or_has_explained_problems(text in "[a-z0-9 \"={}$;/#\\n.-]{0,120}") {
        let with_template = format!("template \"t\" {{\n{text}\n}}\nuse \"t\" a=1\n{text}\n");
        for text in [text, with_template] {
            match parse("any.kdl", &text) {
                Ok(d) => prop_assert!(!d.hosts.is_empty()),
                Err(e) => prop_assert!(e.problems.iter().all(|p| explain::explain(p.code).is_some() && p.line > 0)),
            }
        }
    }
}

/// All documents of the project: the name of the first file, and all files of its folder.
fn shipped() -> Vec<(String, Memory)> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read = |path: &std::path::Path| std::fs::read_to_string(path).unwrap();
    let mut all = Vec::new();
    for (folder, firsts) in [
        ("examples/town", vec!["town.kdl"]),
        ("examples/studio", vec!["studio.kdl", "studio-3.kdl"]),
    ] {
        let folder = root.join(folder);
        let found = glob::glob(&folder.join("**/*.kdl").to_string_lossy())
            .unwrap()
            .flatten();
        let name = |p: &std::path::Path| {
            p.strip_prefix(&folder)
                .unwrap()
                .to_string_lossy()
                .into_owned()
        };
        let files: BTreeMap<_, _> = found.map(|p| (name(&p), read(&p))).collect();
        all.extend(
            firsts
                .into_iter()
                .map(|first| (first.to_string(), Memory(files.clone()))),
        );
    }
    let days = root.join("crates/scenario/days");
    let (fleet, many) = (read(&days.join("fleet.kdl")), read(&days.join("many.kdl")));
    let scripts = glob::glob(&days.join("*.kdl").to_string_lossy())
        .unwrap()
        .flatten();
    for script in scripts.filter(|p| !p.ends_with("fleet.kdl") && !p.ends_with("many.kdl")) {
        let has_many_hosts = ["budget-many", "budget-sixty"]
            .iter()
            .any(|n| script.to_string_lossy().contains(n));
        let hosts = if has_many_hosts { &many } else { &fleet };
        let text = format!("{hosts}\n{}", read(&script));
        all.push((
            "day.kdl".into(),
            Memory([("day.kdl".to_string(), text)].into()),
        ));
    }
    assert!(all.len() > 20);
    all
}

/// The project's own documents have no problems and are formatted, and formatting keeps their meaning.
#[test]
fn shipped_documents_are_valid_and_formatted() {
    for (first, files) in shipped() {
        let (a, warnings) = load(&files, &first).unwrap_or_else(|e| panic!("{:?}", e.problems));
        assert!(warnings.is_empty(), "{first}: {warnings:?}");
        let formatted = files
            .0
            .iter()
            .map(|(name, text)| (name.clone(), format(text).unwrap()));
        let formatted: BTreeMap<_, _> = formatted.collect();
        for (name, text) in &formatted {
            assert_eq!(&format(text).unwrap(), text, "{name}");
            // The text of a day is combined from two files and aligned in columns, so it need not be formatted.
            assert!(
                name == "day.kdl" || files.0[name] == *text,
                "{name} is not formatted"
            );
        }
        let (b, _) = load(&Memory(formatted), &first).unwrap();
        assert_eq!(diff(&a, &b), vec![], "{first}");
        assert!(
            first == "day.kdl"
                || (a.hosts.len() == 200 && a.nodes.iter().filter(|n| !n.spare).count() == 60)
        );
    }
}

/// Files on disk, one of which is overwritten when a certain file is loaded.
struct OverwritingLoader {
    files: Files,
    /// The path to overwrite, the file whose loading triggers it, and the new text.
    overwrite: (std::path::PathBuf, &'static str, &'static str),
}

impl Loader for OverwritingLoader {
    fn load(&self, name: &str) -> Result<String, LoadError> {
        if name == self.overwrite.1 {
            std::fs::write(&self.overwrite.0, self.overwrite.2).unwrap();
        }
        self.files.load(name)
    }
    fn matching(&self, pattern: &str) -> Result<Vec<String>, LoadError> {
        self.files.matching(pattern)
    }
    fn changed(&self) -> Vec<String> {
        self.files.changed()
    }
}

/// A file that changes after it was read is reported, since files that are read later may not match it.
#[test]
fn file_that_changes_after_it_was_read_is_reported() {
    // the file at whose loading `a.kdl` is overwritten, and whether `a.kdl` has been read by then
    for (trigger, already_read) in [("b.kdl", true), ("a.kdl", false), ("never.kdl", false)] {
        let dir = tempfile::tempdir().unwrap();
        let write = |name: &str, text: &str| std::fs::write(dir.path().join(name), text).unwrap();
        write(
            "main.kdl",
            "include \"a.kdl\" \"b.kdl\" \"rest.kdl\"\nvolume \"x\" plan=\"old\"\n",
        );
        write("a.kdl", "plan \"old\"\n");
        write("b.kdl", "plan \"r\"\n");
        write("rest.kdl", COMMON.split_once('\n').unwrap().1);
        let files = Files::new(dir.path()).unwrap();
        let overwrite = (
            dir.path().join("a.kdl"),
            trigger,
            "plan \"old\" // and longer\n",
        );
        let found = load(&OverwritingLoader { files, overwrite }, "main.kdl");
        assert_eq!(found.is_err(), already_read, "{trigger}");
        if let Err(e) = found {
            let p = &e.problems[0];
            assert_eq!(
                (p.code, p.file.as_str(), p.line),
                ("file", "a.kdl", 1),
                "{p}"
            );
        }
    }
}

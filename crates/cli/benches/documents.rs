//! What it costs to check the town's documents, as they are, ten times and a hundred times as large: the time
//! and the most memory of a `gullsail check` of its own each. Growth is relative to the smallest, within this
//! run.

use nix::sys::resource::{UsageWho, getrusage};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

fn files(folder: &Path, all: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder)
        .expect("the example is there")
        .flatten()
    {
        let path = entry.path();
        if path.is_dir() {
            files(&path, all);
        } else {
            all.push(path);
        }
    }
}

/// The text of one more town: its own names, addresses and shards, the same plans and request classes.
fn moved(text: &str, copy: usize) -> String {
    let mut text = text.to_string();
    for name in [
        "quay", "mill", "hill", "station", "harbour", "works-", "desk-",
    ] {
        text = text.replace(name, &format!("{}{copy}x-", name.trim_end_matches('-')));
    }
    text = text
        .replace("template desk", &format!("template desk{copy}"))
        .replace("use desk ", &format!("use desk{copy} "));
    text = text.replace("\"10.", &format!("\"n{copy}.10."));
    // Sixty shards further for each copy.
    let mut out = String::new();
    let mut rest = text.as_str();
    while let Some((before, after)) = rest.split_once("cell=") {
        out += before;
        let end = after.find(' ').unwrap_or(after.len());
        let digits: Vec<usize> = after[..end]
            .split(|c: char| !c.is_ascii_digit())
            .filter_map(|d| d.parse().ok())
            .collect();
        let shards: Vec<String> = digits.iter().map(|d| (d + 60 * copy).to_string()).collect();
        out += &if shards.len() == 2 {
            format!("cell=\"{{{}}}\"", shards.join(".."))
        } else {
            format!("cell={}", shards[0])
        };
        rest = &after[end..];
    }
    out + rest
}

fn write(from: &Path, to: &Path, copies: usize) -> usize {
    let mut all = Vec::new();
    files(from, &mut all);
    let mut bytes = 0;
    for file in all {
        let name = file.strip_prefix(from).expect("below it");
        let mut text = std::fs::read_to_string(&file).expect("it is read");
        if name.starts_with("zones") || name.starts_with("volumes") {
            text = (1..copies).fold(text.clone(), |all, copy| all + "\n" + &moved(&text, copy));
        }
        // One volume comes through all hosts, each with its part of the burst.
        text = text.replace("burst=3600", &format!("burst={}", 3600 * copies));
        // Revisions are for fewer hosts.
        text = text
            .lines()
            .filter(|l| !l.starts_with("revision"))
            .collect::<Vec<_>>()
            .join("\n")
            + "\n";
        bytes += text.len();
        let path = to.join(name);
        std::fs::create_dir_all(path.parent().expect("below it")).expect("made");
        std::fs::write(path, text).expect("written");
    }
    bytes
}

fn main() {
    let town = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/town");
    let mut first = None;
    println!(
        "{:>6} {:>9} {:>10} {:>9} {:>12} {:>12}  what it says",
        "copies", "bytes", "ms", "MiB", "ms / first", "MiB / first"
    );
    for copies in [1, 10, 100] {
        let dir = tempfile::tempdir().expect("a folder");
        let bytes = write(&town, dir.path(), copies);
        let mut times = Vec::new();
        let mut report = String::new();
        for _ in 0..5 {
            let began = Instant::now();
            let out = Command::new(env!("CARGO_BIN_EXE_gullsail"))
                .arg("check")
                .arg(dir.path().join("town.kdl"))
                .output()
                .expect("it runs");
            times.push(began.elapsed().as_secs_f64() * 1e3);
            report = String::from_utf8_lossy(&out.stdout).trim().to_string()
                + &String::from_utf8_lossy(&out.stderr);
        }
        times.sort_by(f64::total_cmp);
        // The largest so far, and sizes grow.
        let most = getrusage(UsageWho::RUSAGE_CHILDREN)
            .expect("usage")
            .max_rss() as f64
            / 1024.0;
        let (ms0, most0) = *first.get_or_insert((times[2], most));
        if !report.contains("no errors") {
            println!("{report}");
        }
        let report = report
            .rsplit_once(": ")
            .map_or(report.clone(), |s| s.1.to_string());
        println!(
            "{copies:>6} {bytes:>9} {:>10.1} {most:>9.1} {:>12.1} {:>12.1}  {report}",
            times[2],
            times[2] / ms0,
            most / most0
        );
    }
}

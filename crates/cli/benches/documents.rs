//! Measures `gullsail check` on the documents of `examples/town` at one, ten and a hundred times their size: the
//! median time and the peak memory of a separate process. Growth is relative to the smallest size in the same run.

use nix::sys::resource::{UsageWho, getrusage};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

fn collect_files(folder: &Path, all: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder)
        .expect("the example folder is readable")
        .flatten()
    {
        let path = entry.path();
        if path.is_dir() {
            collect_files(&path, all);
        } else {
            all.push(path);
        }
    }
}

/// Returns a copy of the text for one more town. Names, addresses and shards differ by copy; plans and request classes
/// stay the same.
fn text_of_copy(text: &str, copy: usize) -> String {
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
    // The shards of each copy start 60 above those of the previous one.
    let mut out = String::new();
    let mut remaining = text.as_str();
    while let Some((before, after)) = remaining.split_once("cell=") {
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
        remaining = &after[end..];
    }
    out + remaining
}

fn write_copies(from: &Path, to: &Path, copies: usize) -> usize {
    let mut all = Vec::new();
    collect_files(from, &mut all);
    let mut bytes = 0;
    for file in all {
        let name = file.strip_prefix(from).expect("the file is in its folder");
        let mut text = std::fs::read_to_string(&file).expect("the file is readable");
        if name.starts_with("zones") || name.starts_with("volumes") {
            text = (1..copies).fold(text.clone(), |all, copy| {
                all + "\n" + &text_of_copy(&text, copy)
            });
        }
        // A volume's burst is divided among all hosts, so it grows with their number.
        text = text.replace("burst=3600", &format!("burst={}", 3600 * copies));
        // `revision` entries are dropped: they are for the original number of hosts.
        text = text
            .lines()
            .filter(|l| !l.starts_with("revision"))
            .collect::<Vec<_>>()
            .join("\n")
            + "\n";
        bytes += text.len();
        let path = to.join(name);
        std::fs::create_dir_all(path.parent().expect("the file is in its folder"))
            .expect("the folder is created");
        std::fs::write(path, text).expect("the file is written");
    }
    bytes
}

fn main() {
    let town = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/town");
    let mut first = None;
    println!(
        "{:>6} {:>9} {:>10} {:>9} {:>12} {:>12}  result",
        "copies", "bytes", "ms", "MiB", "ms / first", "MiB / first"
    );
    for copies in [1, 10, 100] {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let bytes = write_copies(&town, dir.path(), copies);
        let mut times = Vec::new();
        let mut report = String::new();
        for _ in 0..5 {
            let started_at = Instant::now();
            let out = Command::new(env!("CARGO_BIN_EXE_gullsail"))
                .arg("check")
                .arg(dir.path().join("town.kdl"))
                .output()
                .expect("gullsail runs");
            times.push(started_at.elapsed().as_secs_f64() * 1e3);
            report = String::from_utf8_lossy(&out.stdout).trim().to_string()
                + &String::from_utf8_lossy(&out.stderr);
        }
        times.sort_by(f64::total_cmp);
        // The maximum over all children so far. Sizes grow, so it is the maximum at this size.
        let peak_mib = getrusage(UsageWho::RUSAGE_CHILDREN)
            .expect("usage")
            .max_rss() as f64
            / 1024.0;
        let (first_ms, first_peak_mib) = *first.get_or_insert((times[2], peak_mib));
        if !report.contains("no errors") {
            println!("{report}");
        }
        let report = report
            .rsplit_once(": ")
            .map_or(report.clone(), |s| s.1.to_string());
        println!(
            "{copies:>6} {bytes:>9} {:>10.1} {peak_mib:>9.1} {:>12.1} {:>12.1}  {report}",
            times[2],
            times[2] / first_ms,
            peak_mib / first_peak_mib
        );
    }
}

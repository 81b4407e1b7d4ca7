//! The stand-ins and the checks of the cases `review/6` and later. `review-rig-2 CASE ROOT FOLDER` plays one case: it
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod held_up;
mod http;
mod no_length;
mod rig;

use rig::{Place, Record};
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::process::ExitCode;

/// Whether the rule held.
type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-rig-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let played = catch_unwind(|| play(case, PathBuf::from(root), PathBuf::from(folder)));
    match played.unwrap_or_else(|_| Err("the rig itself failed".into())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, root: PathBuf, folder: PathBuf) -> Verdict {
    let record = Record::new(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    let temporary = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let place = Place {
        root,
        temporary,
        record,
        trouble,
    };
    let verdict = match case {
        "held-up" => held_up::play(&place),
        "no-length" => no_length::play(&place),
        other => Err(format!("no such case: {other}")),
    };
    let _ = std::fs::remove_dir_all(&place.temporary);
    if let Ok(held) = verdict {
        place.record.say(if held {
            "RESULT the rule held"
        } else {
            "RESULT the rule was broken"
        });
    }
    verdict
}

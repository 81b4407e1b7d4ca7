//! Plays scenarios and checks the rules on their recordings.

use crate::documents;
use gullsail_configuration::Memory;
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn read_text(file: &Path) -> Result<String> {
    std::fs::read_to_string(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read {}", file.display()))
}

/// Plays a scenario: a built-in one, a random one, or one from a document.
pub async fn play(
    day: &str,
    seed: u64,
    record: Option<PathBuf>,
    json: bool,
    baseline: bool,
) -> Result<ExitCode> {
    let built_in = if day == "random" {
        Some(gullsail_scenario::built_in::random(seed))
    } else {
        gullsail_scenario::built_in::find(day)
    };
    let (text, deployment, script) = match built_in {
        Some(text) => {
            let files = Memory([(day.to_string(), text)].into());
            gullsail_scenario::script::load(&files, day)?
        }
        None if Path::new(day).exists() => {
            let (files, name) = documents::files(Path::new(day))?;
            gullsail_scenario::script::load(&files, &name)?
        }
        None => {
            let names: Vec<_> = gullsail_scenario::built_in::all().map(|d| d.0).collect();
            let help = format!(
                "built-in scenarios: {}, random; or a file with a `day` entry",
                names.join(", ")
            );
            return Err(miette!(
                help = help,
                "no scenario and no file is called \"{day}\""
            ));
        }
    };
    // Without --record, the files go to a temporary folder, which is removed at the end.
    let temporary = tempfile::tempdir().into_diagnostic()?;
    let dir = record.unwrap_or_else(|| temporary.path().into());
    let program = std::env::current_exe().into_diagnostic()?;
    let stage = gullsail_scenario::Stage {
        program,
        dir,
        seed,
        baseline,
    };
    let report = gullsail_scenario::play(&text, deployment, &script, &stage).await?;
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).into_diagnostic()?
        );
    } else {
        print!("{}", report.text(&stage.dir));
    }
    Ok(if report.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// Checks the rules again on a recording. Exit code 1: a rule is broken.
pub fn audit(dir: &Path, json: bool) -> Result<ExitCode> {
    let (deployment, _) = documents::read(&dir.join("script.kdl"))?;
    let recording = read_text(&dir.join("frames.jsonl"))?;
    let verdicts = gullsail_audit::judge(&deployment, &recording).into_diagnostic()?;
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&verdicts).into_diagnostic()?
        );
    } else {
        print!("{}", gullsail_audit::table(&verdicts, &recording));
    }
    Ok(if verdicts.iter().all(|verdict| verdict.passed()) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

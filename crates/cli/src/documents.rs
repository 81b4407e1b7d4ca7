//! The commands on documents: check, explain, fmt, diff, show.

use gullsail_configuration::diff::{Class, diff as compare};
use gullsail_configuration::{Deployment, Files, Problem, Problems, Reader, Weight, explain as codes};
use miette::{GraphicalReportHandler, IntoDiagnostic, Result, WrapErr, miette};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A document's files lie below the folder of its first one.
fn files(file: &Path) -> Result<(Files, String)> {
    let folder = file.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = file.file_name().ok_or_else(|| miette!("{} is no file", file.display()))?;
    let files =
        Files::new(folder).into_diagnostic().wrap_err_with(|| format!("can't read {}", file.display()))?;
    Ok((files, name.to_string_lossy().into_owned()))
}

fn load(file: &Path) -> Result<std::result::Result<(Deployment, Vec<Problem>), Problems>> {
    let (files, name) = files(file)?;
    if !file.is_file() {
        return Err(miette!("can't read {}", file.display()));
    }
    Ok(gullsail_configuration::load(&files, &name))
}

/// A sound document and its warnings.
pub fn read(file: &Path) -> Result<(Deployment, Vec<Problem>)> {
    Ok(load(file)??)
}

fn as_json(p: &Problem) -> serde_json::Value {
    let weight = if p.weight == Weight::Error { "error" } else { "warning" };
    json!({ "code": p.code, "weight": weight, "file": p.file, "line": p.line, "column": p.column,
        "message": p.message, "help": p.help, "see": p.see })
}

pub fn check(file: &Path, json: bool) -> Result<ExitCode> {
    let (sound, problems) = match load(file)? {
        Ok((d, warnings)) => (Some(d), warnings),
        Err(e) => (None, e.problems),
    };
    for p in &problems {
        if json {
            println!("{}", as_json(p));
        } else {
            let mut text = String::new();
            GraphicalReportHandler::new().render_report(&mut text, p).into_diagnostic()?;
            eprintln!("{}:{}:{}\n{text}", p.file, p.line, p.column);
        }
    }
    let Some(d) = sound else {
        if !json {
            let errors = problems.iter().filter(|p| p.weight == Weight::Error).count();
            eprintln!("{}: {errors} error(s); `gullsail explain CODE` tells more", file.display());
        }
        return Ok(ExitCode::from(2));
    };
    if !json {
        let (hosts, nodes, volumes) = (d.hosts.len(), d.nodes.len(), d.volumes.len());
        println!("{}: sound; {hosts} hosts, {nodes} nodes, {volumes} volumes", file.display());
    }
    Ok(ExitCode::SUCCESS)
}

pub fn explain(code: &str) -> Result<ExitCode> {
    let Some(text) = codes::explain(code) else {
        let known: Vec<_> = codes::CODES.iter().map(|c| c.0).collect();
        return Err(miette!(help = known.join(", "), "no problem has the code {code}"));
    };
    println!("{code}\n\n{text}");
    Ok(ExitCode::SUCCESS)
}

pub fn format(files: &[PathBuf], check: bool) -> Result<ExitCode> {
    let mut differ = false;
    for file in files {
        let text =
            std::fs::read_to_string(file).into_diagnostic().wrap_err_with(|| file.display().to_string())?;
        let formatted = gullsail_configuration::format::format(&text);
        let formatted = formatted.map_err(|why| miette!("{} is left as it is: {why}", file.display()))?;
        if formatted == text {
            continue;
        }
        differ = true;
        if check {
            println!("{} would change", file.display());
        } else {
            std::fs::write(file, formatted).into_diagnostic().wrap_err_with(|| file.display().to_string())?;
        }
    }
    Ok(if check && differ { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

pub fn diff(old: &Path, new: &Path, json: bool) -> Result<ExitCode> {
    let changes = compare(&read(old)?.0, &read(new)?.0);
    for c in &changes {
        let class = match c.class {
            Class::Safe => "safe",
            Class::Restart => "restart",
            Class::Dangerous => "dangerous",
        };
        if json {
            println!(
                "{}",
                json!({ "of": c.of, "what": c.what, "from": c.from, "to": c.to, "class": class,
                "why": c.why, "hosts": c.hosts })
            );
        } else {
            let hosts = if c.hosts.is_empty() { String::new() } else { format!(" [{}]", c.hosts.join(" ")) };
            println!("{class:<9} {} {}: {} -> {}{hosts}\n          {}", c.of, c.what, c.from, c.to, c.why);
        }
    }
    Ok(match changes.iter().map(|c| c.class).max() {
        None | Some(Class::Safe) => ExitCode::SUCCESS,
        Some(Class::Restart) => ExitCode::from(1),
        Some(Class::Dangerous) => ExitCode::from(3),
    })
}

pub fn show(file: &Path, host: &str) -> Result<ExitCode> {
    let (d, _) = read(file)?;
    let me = d.host(host).ok_or_else(|| {
        let known: Vec<_> = d.hosts.iter().map(|h| h.name.as_str()).collect();
        miette!(
            help = format!("its hosts are {}", known.join(", ")),
            "{}: no host \"{host}\"",
            file.display()
        )
    })?;
    let (files, name) = files(file)?;
    let (document, reader) = Reader::open(&files, &name);
    for node in document.nodes() {
        let kind = node.name().value();
        let named = node.get(0).and_then(|v| v.as_string()).unwrap_or_default();
        let foreign = d.volume(named).is_some_and(|v| kind == "volume" && !v.through(me));
        // Machines are the stand-ins', a day the scripts'.
        if !foreign && !["machine", "day"].contains(&kind) {
            println!("// {}", reader.origin(node.span().offset()));
            println!("{}", node.to_string().trim());
        }
    }
    Ok(ExitCode::SUCCESS)
}

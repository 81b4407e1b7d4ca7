//! The commands on configuration documents (check, explain, fmt, diff, show) and the commands that a running
//! host answers (reload, status).

use crate::{atomic_file, logs};
use gullsail_configuration::diff::{Class, diff as compare};
use gullsail_configuration::{
    Deployment, DiagnosticRecord, Files, Problem, ProblemSeverity, Problems, Reader,
    explain as codes,
};
use gullsail_host::control::{ControlReply, ControlRequest, Load, State};
use kdl::KdlNode;
use miette::{GraphicalReportHandler, IntoDiagnostic, Result, WrapErr, miette};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Opens the folder of a document, below which all files that it includes are. Returns it with the document's name in
/// that folder.
pub fn files(file: &Path) -> Result<(Files, String)> {
    let folder = file
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let name = file
        .file_name()
        .ok_or_else(|| miette!("{} is not a file", file.display()))?;
    let files = Files::new(folder)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read {}", file.display()))?;
    Ok((files, name.to_string_lossy().into_owned()))
}

fn load(file: &Path) -> Result<std::result::Result<(Deployment, Vec<Problem>), Problems>> {
    let (files, name) = files(file)?;
    if !file.is_file() {
        return Err(miette!("can't read {}", file.display()));
    }
    Ok(gullsail_configuration::load(&files, &name))
}

/// Reads a document and returns it with its warnings.
///
/// # Errors
/// The document cannot be read or has errors.
pub fn read(file: &Path) -> Result<(Deployment, Vec<Problem>)> {
    Ok(load(file)??)
}

/// Reports all problems of a document. Exit code 2: it has errors.
pub fn check(file: &Path, json: bool) -> Result<ExitCode> {
    let (deployment, problems) = match load(file)? {
        Ok((deployment, warnings)) => (Some(deployment), warnings),
        Err(e) => (None, e.problems),
    };
    for problem in &problems {
        if json {
            println!(
                "{}",
                serde_json::to_string(&problem.diagnostic()).into_diagnostic()?
            );
        } else {
            let mut text = String::new();
            GraphicalReportHandler::new()
                .render_report(&mut text, problem)
                .into_diagnostic()?;
            logs::print_message(&format!(
                "{}:{}:{}\n{text}",
                problem.file, problem.line, problem.column
            ));
        }
    }
    let Some(deployment) = deployment else {
        if !json {
            let errors = problems
                .iter()
                .filter(|p| p.severity == ProblemSeverity::Error)
                .count();
            logs::print_message(&format!(
                "{}: {errors} error(s); `gullsail explain CODE` explains each",
                file.display()
            ));
        }
        return Ok(ExitCode::from(2));
    };
    if !json {
        let hosts = deployment.hosts.len();
        let nodes = deployment.nodes.len();
        let volumes = deployment.volumes.len();
        println!(
            "{}: no errors; {hosts} hosts, {nodes} nodes, {volumes} volumes",
            file.display()
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the explanation of a problem's code.
pub fn explain(code: &str) -> Result<ExitCode> {
    let Some(text) = codes::explain(code) else {
        let known: Vec<_> = codes::CODES.iter().map(|c| c.0).collect();
        return Err(miette!(
            help = known.join(", "),
            "no problem has the code \"{code}\""
        ));
    };
    println!("{code}\n\n{text}");
    Ok(ExitCode::SUCCESS)
}

/// Formats documents in place. With `check`, it only prints the names of those that would change.
pub fn format(files: &[PathBuf], check: bool) -> Result<ExitCode> {
    let mut differ = false;
    for file in files {
        let text = std::fs::read_to_string(file)
            .into_diagnostic()
            .wrap_err_with(|| file.display().to_string())?;
        let formatted = gullsail_configuration::format::format(&text);
        let formatted = formatted.map_err(|why| {
            miette!(
                "{}: not formatted, the file is unchanged: {why}",
                file.display()
            )
        })?;
        if formatted == text {
            continue;
        }
        differ = true;
        if check {
            println!("{} would change", file.display());
        } else {
            atomic_file::write(file, &formatted)
                .into_diagnostic()
                .wrap_err_with(|| file.display().to_string())?;
        }
    }
    Ok(if check && differ {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    })
}

/// Prints what changed between two documents and what each change needs.
pub fn diff(old: &Path, new: &Path, json: bool) -> Result<ExitCode> {
    let changes = compare(&read(old)?.0, &read(new)?.0);
    for change in &changes {
        let class = match change.class {
            Class::Safe => "safe",
            Class::Restart => "restart",
            Class::Dangerous => "dangerous",
        };
        if json {
            println!("{}", serde_json::to_string(change).into_diagnostic()?);
        } else {
            let hosts = if change.hosts.is_empty() {
                String::new()
            } else {
                format!(" [{}]", change.hosts.join(" "))
            };
            println!(
                "{class:<9} {} {}: {} -> {}{hosts}\n          {}",
                change.of, change.what, change.from, change.to, change.why
            );
        }
    }
    Ok(match changes.iter().map(|change| change.class).max() {
        None | Some(Class::Safe) => ExitCode::SUCCESS,
        Some(Class::Restart) => ExitCode::from(1),
        Some(Class::Dangerous) => ExitCode::from(3),
    })
}

/// Appends a comment line for each value of an entry, or of its children, that is given to a template elsewhere.
fn append_template_values(reader: &Reader, node: &KdlNode, out: &mut String) {
    for e in node.entries() {
        let from = reader.given_at(e.span().offset());
        if !from.is_empty() {
            let name = e
                .name()
                .map(|n| format!("{}=", n.value()))
                .unwrap_or_default();
            *out += &format!("//   {name}{} given at {}\n", e.value(), from.join(" and "));
        }
    }
    node.iter_children()
        .for_each(|child| append_template_values(reader, child, out));
}

/// Prints the configuration of one host, each entry with its source.
pub fn show(file: &Path, host: &str) -> Result<ExitCode> {
    let (deployment, _) = read(file)?;
    let host_id = deployment.host(host).ok_or_else(|| {
        let known: Vec<_> = deployment
            .hosts
            .iter()
            .map(|host| host.name.as_str())
            .collect();
        miette!(
            help = format!("its hosts are {}", known.join(", ")),
            "{}: no host \"{host}\"",
            file.display()
        )
    })?;
    let (files, name) = files(file)?;
    let (document, reader) = Reader::open(&files, &name);
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for node in document.nodes() {
        let kind = node.name().value();
        let first_argument = node.get(0).and_then(|v| v.as_string()).unwrap_or_default();
        let of_other_hosts = deployment
            .volume(first_argument)
            .is_some_and(|v| kind == "volume" && !v.is_served_by(host_id));
        // `machine` is for simulated nodes and `day` for scenarios: no host reads them.
        if !of_other_hosts && !["machine", "day"].contains(&kind) {
            let origin = reader.origin(node.span().offset());
            // If the reader has closed the pipe, the rest of the output is not needed.
            let mut values = String::new();
            append_template_values(&reader, node, &mut values);
            if writeln!(out, "// {origin}\n{values}{}", node.to_string().trim()).is_err() {
                break;
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the function with which a running host reloads its document.
pub fn document_loader(file: PathBuf) -> Arc<Load> {
    Arc::new(move || match load(&file) {
        Ok(Ok((deployment, _))) => Ok(deployment),
        Ok(Err(e)) => Err(e.problems.iter().map(Problem::diagnostic).collect()),
        Err(e) => Err(vec![DiagnosticRecord {
            code: "file".into(),
            severity: ProblemSeverity::Error,
            file: file.display().to_string(),
            line: 1,
            column: 1,
            message: e.to_string(),
            help: None,
            see: Vec::new(),
        }]),
    })
}

/// Makes a host reload its document. Exit code 0: the new document is in force; 1: the host refused it; 2: the new
/// document has errors.
pub async fn reload(control: &Path, insist: bool, json: bool) -> Result<ExitCode> {
    let reply = send_request(control, ControlRequest::Reload { insist }).await?;
    if json {
        println!("{}", serde_json::to_string(&reply).into_diagnostic()?);
    }
    Ok(match &reply {
        ControlReply::Taken { revision, changes } => {
            if !json {
                println!("reloaded: revision {revision}, {} change(s)", changes.len());
            }
            ExitCode::SUCCESS
        }
        ControlReply::TurnedDown { why } => {
            why.iter()
                .filter(|_| !json)
                .for_each(|w| println!("refused: {w}"));
            ExitCode::from(1)
        }
        ControlReply::Broken { problems } => {
            for problem in problems.iter().filter(|_| !json) {
                let help = problem
                    .help
                    .as_deref()
                    .map(|h| format!(" ({h})"))
                    .unwrap_or_default();
                println!(
                    "{}:{}:{}: {}: {}{help}",
                    problem.file, problem.line, problem.column, problem.code, problem.message
                );
            }
            ExitCode::from(2)
        }
        other => return Err(miette!("unexpected reply: {other:?}")),
    })
}

/// Prints a host's state as JSON.
pub async fn status(control: &Path) -> Result<ExitCode> {
    println!(
        "{}",
        serde_json::to_string_pretty(&state(control).await?).into_diagnostic()?
    );
    Ok(ExitCode::SUCCESS)
}

/// Reads a host's state over its control socket.
pub async fn state(control: &Path) -> Result<State> {
    match send_request(control, ControlRequest::Status).await? {
        ControlReply::Status(state) => Ok(*state),
        other => Err(miette!("unexpected reply: {other:?}")),
    }
}

async fn send_request(control: &Path, request: ControlRequest) -> Result<ControlReply> {
    let reply =
        gullsail_host::control::send_request(control, request, Duration::from_secs(60)).await;
    let unreadable = reply
        .as_ref()
        .is_err_and(|e| e.kind() == std::io::ErrorKind::InvalidData);
    let failure = if unreadable {
        "no gullsail host, or one of another version, answers"
    } else {
        "no host answers"
    };
    let reply = reply
        .into_diagnostic()
        .wrap_err_with(|| format!("{failure} at {}", control.display()))?;
    match reply {
        ControlReply::Error { why } => Err(miette!("{why}")),
        reply => Ok(reply),
    }
}

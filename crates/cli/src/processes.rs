//! The processes that the program can run as: a host, the baseline, a simulated node, a simulated endpoint list
//! service.

use crate::signals::StopSignals;
use crate::{documents, logs};
use gullsail_configuration::HostBounds;
use gullsail_host::control::Control;
use gullsail_host::runtime::{self, HostClock, HostProcess};
use gullsail_protocol::{ListedEndpoint, ListedState};
use gullsail_scenario::processes::Listening;
use gullsail_scheduler_api::Span;
use gullsail_simulator::idempotency_keys::{IdempotencyKeys, NodeLocation};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::TcpListener;
use tracing::info;

/// Binds the document's address. Prints the bound address and the incarnation on standard output, as one line of JSON
/// for the process that started this one.
async fn listen(address: &str, name: &str) -> Result<(TcpListener, u64)> {
    if address.is_empty() {
        return Err(miette!(
            help = "give it an `address`, and a `listen` if it binds another one",
            "the document gives no address for {name}"
        ));
    }
    let bound = TcpListener::bind(address).await.into_diagnostic();
    let listener = bound.wrap_err_with(|| format!("{name} cannot listen at {address}"))?;
    let address = listener.local_addr().into_diagnostic()?.to_string();
    // 53 bits: JSON readers that use floating-point numbers round larger ones.
    let incarnation = (rand::random::<u64>() >> 11).max(1);
    let listening = Listening {
        address,
        incarnation,
    };
    let line = serde_json::to_string(&listening).into_diagnostic()? + "\n";
    let written = std::io::stdout()
        .write_all(line.as_bytes())
        .and_then(|()| std::io::stdout().flush());
    written
        .into_diagnostic()
        .wrap_err("cannot print the listening address on standard output")?;
    Ok((listener, listening.incarnation))
}

fn parse_clock_offset(text: &str) -> Result<Span> {
    let (sign, span) = text
        .strip_prefix('-')
        .map_or((1.0, text), |span| (-1.0, span));
    let span: humantime::Duration = span.parse().into_diagnostic().wrap_err("--clock-ahead")?;
    Ok(Span::from_millis(span.as_secs_f64() * 1e3 * sign))
}

/// Runs one host until SIGTERM or SIGINT.
pub async fn host(
    file: &Path,
    name: &str,
    seed: u64,
    (clock_ahead, drift): (&str, f64),
    control: Option<PathBuf>,
    logs: &logs::Logs,
) -> Result<ExitCode> {
    let signals = StopSignals::register()?;
    let (deployment, _) = documents::read(file)?;
    let known: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| host.name.as_str())
        .collect();
    let host = deployment.host(name).ok_or_else(|| {
        miette!(
            help = format!("its hosts are {}", known.join(", ")),
            "{}: no host \"{name}\"",
            file.display()
        )
    })?;
    let control = control.map(|path| {
        let bound = Control::bind(&path, documents::document_loader(file.into())).into_diagnostic();
        bound.wrap_err_with(|| format!("cannot open a control socket at {}", path.display()))
    });
    let control = control.transpose()?;
    let (listener, incarnation) = listen(&deployment.hosts[host.0 as usize].listen, name).await?;
    let clock = HostClock::start(parse_clock_offset(clock_ahead)?).with_rate_offset(drift);
    info!(host = name, incarnation, "host started");
    let process = HostProcess {
        deployment: Arc::new(deployment),
        host,
        seed,
        incarnation,
        clock,
    };
    let counts = tokio::select! {
        counts = runtime::run(process, listener, control, signals.stop()) => counts,
        () = logs.watch() => return Ok(ExitCode::from(1)),
    };
    info!(
        host = name,
        log_lines_lost = logs.lost(),
        counts = serde_json::to_string(&counts).unwrap_or_default(),
        "host stopped"
    );
    Ok(ExitCode::SUCCESS)
}

/// Runs the baseline in place of a host.
pub async fn baseline(file: &Path, name: &str, seed: u64) -> Result<ExitCode> {
    let signals = StopSignals::register()?;
    let (deployment, _) = documents::read(file)?;
    let me = deployment
        .host(name)
        .ok_or_else(|| miette!("{}: no host \"{name}\"", file.display()))?;
    let (listener, _) = listen(&deployment.hosts[me.0 as usize].listen, name).await?;
    tokio::select! {
        () = gullsail_simulator::baseline::serve(Arc::new(deployment), me, seed, listener) => Ok(ExitCode::from(1)),
        () = signals.stop() => Ok(ExitCode::SUCCESS),
    }
}

/// Runs a simulated storage node.
pub async fn node(
    file: &Path,
    name: &str,
    age: humantime::Duration,
    keys: Option<&Path>,
) -> Result<ExitCode> {
    let signals = StopSignals::register()?;
    let (deployment, _) = documents::read(file)?;
    let node = deployment
        .node(name)
        .ok_or_else(|| miette!("{}: no node \"{name}\"", file.display()))?;
    let server = deployment.servers.get(node.server).ok_or_else(|| {
        miette!(
            help = "machine \"box\" cores=2 unit=\"5ms\"",
            "{}: node \"{name}\" has no machine",
            file.display()
        )
    })?;
    let (listener, incarnation) = listen(&node.place.listen, name).await?;
    let HostBounds { frame: bounds, .. } = deployment.bounds;
    let location = NodeLocation {
        zone: node.place.zone,
        shard: node.shard,
    };
    let keys = match keys {
        Some(directory) => IdempotencyKeys::shared(&deployment, &location, directory),
        None => IdempotencyKeys::of_one_node(&deployment, &location),
    };
    let process = gullsail_simulator::node::NodeProcess {
        name: name.into(),
        shard: node.shard.0,
        server: server.clone(),
        slow_start: deployment.figures().slow_start,
        incarnation,
        age: Span::from_millis(age.as_secs_f64() * 1e3),
        bounds,
        keys,
    };
    tokio::select! {
        () = gullsail_simulator::node::serve(process, listener) => Ok(ExitCode::from(1)),
        () = signals.stop() => Ok(ExitCode::SUCCESS),
    }
}

/// Runs a simulated endpoint list service.
pub async fn list(file: &Path) -> Result<ExitCode> {
    let signals = StopSignals::register()?;
    let (deployment, _) = documents::read(file)?;
    let (listener, _) = listen(&deployment.list.listen, "the list").await?;
    let entries = deployment
        .nodes
        .iter()
        .filter(|node| !node.spare)
        .map(|node| ListedEndpoint {
            name: node.place.name.clone(),
            address: node.place.address.clone(),
            shard: node.shard.0,
            zone: deployment
                .zones
                .get(node.place.zone.0)
                .cloned()
                .unwrap_or_default(),
            state: ListedState::Ready as i32,
            age_us: 0,
            incarnation: 0,
            kind: node.kind.clone(),
        });
    tokio::select! {
        () = gullsail_simulator::discovery::serve(entries.collect(), deployment.list_late, listener) => Ok(ExitCode::from(1)),
        () = signals.stop() => Ok(ExitCode::SUCCESS),
    }
}

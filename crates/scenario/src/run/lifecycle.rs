//! What is started and stopped: nodes, the list, hosts; and what is said to them on connections of their own.

use super::ScenarioRun;
use super::WARM_NODE_AGE_US;
use super::duration;
use crate::error::RunError;
use crate::processes::Process;
use crate::script::Fault;
use gullsail_configuration::NodePlace;
use gullsail_connections::{Link, LinkEvent};
use gullsail_host::control::State;
use gullsail_host::control::{ControlReply, ControlRequest, send_request};
use gullsail_protocol::ListedEndpoint;
use gullsail_protocol::ListedState;
use gullsail_protocol::Order;
use gullsail_protocol::record::ProcessEvent;
use gullsail_protocol::{Bounds, Frame, Hello, Role};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::warn;

impl ScenarioRun<'_> {
    pub(super) async fn start_all(
        &mut self,
        addresses: &BTreeMap<String, String>,
    ) -> Result<(), RunError> {
        let nodes: Vec<_> = self
            .deployment
            .nodes
            .iter()
            .filter(|node| !node.spare)
            .cloned()
            .collect();
        for node in &nodes {
            self.start_node(node, true).await?;
        }
        self.start("list", vec!["list".into()], Some(0)).await?;
        // What the list knows from the start: who runs, and where.
        let entries = nodes
            .iter()
            .map(|node| self.entry(node, ListedState::Ready, addresses))
            .collect();
        self.order(
            "list",
            Order {
                kind: "set".into(),
                entries,
                ..Order::default()
            },
        )
        .await;
        // Some come only later.
        let late = |name: &String| {
            let faults = &mut self.script.faults.iter();
            faults.any(|t| matches!(&t.1, Fault::StartHost { host } if host == name))
        };
        let hosts: Vec<_> = self
            .deployment
            .hosts
            .iter()
            .map(|h| h.name.clone())
            .filter(|h| !late(h))
            .collect();
        for host in hosts {
            self.start_host(&host).await?;
        }
        Ok(())
    }

    pub(super) async fn start(
        &mut self,
        name: &str,
        args: Vec<String>,
        at: Option<i64>,
    ) -> Result<(), RunError> {
        let mut args = args;
        let own = self.stage.dir.join(format!("{name}.kdl"));
        let file = if own.exists() {
            own
        } else {
            self.document.clone()
        };
        args.push(file.display().to_string());
        let process = Process::start(&self.stage.program, name, &args, &self.stage.dir).await?;
        let incarnation = process.listening.incarnation;
        self.wire.process(
            name,
            at.unwrap_or(self.wire.now()),
            ProcessEvent::Started { incarnation },
        );
        if let (Some(sampler), Some(id)) = (&self.sampler, process.id())
            && self.host_names().iter().any(|host| host == name)
        {
            sampler.host_started(name, id);
        }
        if let Some(place) = self.places.get_mut(name) {
            place
                .target
                .send_replace(Some(process.listening.address.clone()));
            (place.process, place.started, place.warm) =
                (Some(process), Instant::now(), at == Some(0));
        }
        Ok(())
    }

    pub(super) async fn start_node(
        &mut self,
        node: &NodePlace,
        warm: bool,
    ) -> Result<(), RunError> {
        let mut args = vec!["node".into(), "--name".into(), node.place.name.clone()];
        let keys = self.stage.dir.display().to_string();
        args.extend(["--keys".into(), keys]);
        if warm {
            args.extend(["--age".into(), "1h".into()]);
        }
        self.start(&node.place.name, args, warm.then_some(0)).await
    }

    pub(super) async fn start_host(&mut self, host: &str) -> Result<(), RunError> {
        let program = if self.stage.baseline {
            "baseline"
        } else {
            "host"
        };
        let mut args = vec![program.to_string(), "--name".into(), host.into()];
        if !self.stage.baseline && self.deployment.fleet.is_some() {
            // These log lines carry the host's shares, for the audit.
            args.extend(
                [
                    "--log",
                    "json",
                    "--log-level",
                    "info,gullsail_parts=debug,gullsail_works=debug",
                ]
                .map(String::from),
            );
        }
        let incarnation = self.happened.len() as u64;
        args.extend([
            "--seed".into(),
            (self.stage.seed.wrapping_mul(31).wrapping_add(incarnation)).to_string(),
        ]);
        if let (false, Some((_, ahead))) = (
            self.stage.baseline,
            self.script.clocks.iter().find(|c| c.0 == host),
        ) {
            args.extend(["--clock-ahead".into(), format!("{}us", ahead.micros())]);
        }
        if let (false, Some((_, drift))) = (
            self.stage.baseline,
            self.script.drifts.iter().find(|c| c.0 == host),
        ) {
            args.extend(["--clock-drift".into(), drift.to_string()]);
        }
        if !self.stage.baseline {
            args.extend(["--control".into(), self.socket(host).display().to_string()]);
        }
        self.start(host, args, None).await?;
        self.record_start(host);
        Ok(())
    }

    pub(super) fn entry(
        &self,
        node: &NodePlace,
        state: ListedState,
        addresses: &BTreeMap<String, String>,
    ) -> ListedEndpoint {
        let place = self.places.get(&node.place.name);
        let incarnation = place
            .and_then(|p| p.process.as_ref())
            .map_or(0, |p| p.listening.incarnation);
        let age = place.map_or(0, |p| {
            if p.warm {
                WARM_NODE_AGE_US
            } else {
                p.started.elapsed().as_micros() as i64
            }
        });
        ListedEndpoint {
            name: node.place.name.clone(),
            address: addresses.get(&node.place.name).cloned().unwrap_or_default(),
            shard: node.shard.0,
            zone: self
                .deployment
                .zones
                .get(node.place.zone.0)
                .cloned()
                .unwrap_or_default(),
            state: state as i32,
            age_us: age,
            incarnation,
            kind: node.kind.clone(),
        }
    }

    /// Sends an order to a simulated process, on a connection of its own.
    pub(super) async fn order(&self, name: &str, order: Order) {
        let address = self
            .places
            .get(name)
            .and_then(|p| p.target.borrow().clone());
        let Some(address) = address else { return };
        let Ok(stream) = TcpStream::connect(&address).await else {
            return warn!(
                process = name,
                "order to simulated process not sent: it accepts no connection"
            );
        };
        let (sink, mut inbox) = mpsc::channel(8);
        let mut tasks = JoinSet::new();
        let link = Link::open(stream, (), Bounds::DEFAULT, 8, &sink, &mut tasks);
        let hello = Hello {
            role: Role::Client as i32,
            name: "script".into(),
            ..Hello::default()
        };
        let bytes = Frame::from(hello.clone()).len() + Frame::from(order.clone()).len();
        let (_, _) = (link.send(Frame::from(hello)), link.send(Frame::from(order)));
        let written = async {
            let mut left = bytes;
            while let Some(((), happened)) = inbox.recv().await {
                match happened {
                    LinkEvent::Written(node) => left = left.saturating_sub(node),
                    LinkEvent::Closed(_) => break,
                    LinkEvent::Frame(_) => {}
                }
                if left == 0 {
                    break;
                }
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(2), written).await;
        drop(link);
        while tasks.join_next().await.is_some() {}
    }

    pub(super) fn socket(&self, host: &str) -> PathBuf {
        self.stage.dir.join(format!("{host}.sock"))
    }

    pub(super) async fn states(&self) -> Vec<State> {
        let mut all = Vec::new();
        for h in self.host_names().iter().filter(|_| !self.stage.baseline) {
            let reply = send_request(
                &self.socket(h),
                ControlRequest::Status,
                Duration::from_secs(5),
            )
            .await;
            if let Ok(ControlReply::Status(state)) = reply {
                all.push(*state);
            }
        }
        all
    }

    /// Stops a host as its operator would; it has to exit by itself.
    pub(super) async fn stop_host(&mut self, host: &str) {
        let longest = self
            .deployment
            .request_classes
            .iter()
            .map(|s| s.deadline)
            .max()
            .unwrap_or_default();
        let Some(process) = self.places.get_mut(host).and_then(|p| p.process.take()) else {
            return;
        };
        match process
            .stop(duration(longest) + Duration::from_secs(10))
            .await
        {
            Ok(status) if status.success() => {
                self.wire
                    .process(host, self.wire.now(), ProcessEvent::Ended)
            }
            Ok(status) => self.failures.push(format!("{host} ended with {status}")),
            Err(e) => self.failures.push(e.to_string()),
        }
    }

    /// Stops all processes: hosts have to exit by themselves, simulated processes are killed.
    pub(super) async fn stop_all(&mut self) -> Vec<String> {
        let longest = self
            .deployment
            .request_classes
            .iter()
            .map(|s| s.deadline)
            .max()
            .unwrap_or_default();
        let wait = duration(longest) + Duration::from_secs(10);
        let mut failures = Vec::new();
        let hosts = self.host_names();
        for (name, place) in &mut self.places {
            let Some(process) = place.process.take() else {
                continue;
            };
            if !hosts.contains(name) {
                process.kill().await;
                continue;
            }
            match process.stop(wait).await {
                Ok(status) if status.success() => {
                    self.wire
                        .process(name, self.wire.now(), ProcessEvent::Ended)
                }
                Ok(status) => failures.push(format!("{name} ended with {status}")),
                Err(e) => failures.push(e.to_string()),
            }
        }
        failures
    }
}

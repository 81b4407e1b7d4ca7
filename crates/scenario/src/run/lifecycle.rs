//! Starts and stops nodes, the list service and hosts, sends orders to simulated processes and reads the states of
//! hosts.

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
    /// Starts the processes that run from the start of the scenario, and gives the nodes to the list service.
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
        self.start_process("list", vec!["list".into()], Some(0))
            .await?;
        // The first entries of the list: the nodes that run, and their addresses.
        let entries = nodes
            .iter()
            .map(|node| self.list_entry(node, ListedState::Ready, addresses))
            .collect();
        self.send_order(
            "list",
            Order {
                kind: "set".into(),
                entries,
                ..Order::default()
            },
        )
        .await;
        // A host that the script starts later does not run yet.
        let starts_later = |name: &String| {
            let faults = &mut self.script.faults.iter();
            faults.any(|t| matches!(&t.1, Fault::StartHost { host } if host == name))
        };
        let hosts: Vec<_> = self
            .deployment
            .hosts
            .iter()
            .map(|h| h.name.clone())
            .filter(|h| !starts_later(h))
            .collect();
        for host in hosts {
            self.start_host(&host).await?;
        }
        Ok(())
    }

    /// Starts a process with its own document if it has one, and points its proxy to it. `at` is the recorded time of
    /// the start in microseconds; `None`: now; 0: the process runs from the start of the scenario.
    pub(super) async fn start_process(
        &mut self,
        name: &str,
        args: Vec<String>,
        at: Option<i64>,
    ) -> Result<(), RunError> {
        let mut args = args;
        let own_document = self.stage.dir.join(format!("{name}.kdl"));
        let file = if own_document.exists() {
            own_document
        } else {
            self.document.clone()
        };
        args.push(file.display().to_string());
        let process = Process::start(&self.stage.program, name, &args, &self.stage.dir).await?;
        let incarnation = process.listening.incarnation;
        self.wire.record_process_event(
            name,
            at.unwrap_or(self.wire.now()),
            ProcessEvent::Started { incarnation },
        );
        if let (Some(sampler), Some(id)) = (&self.sampler, process.id())
            && self.host_names().iter().any(|host| host == name)
        {
            sampler.host_started(name, id);
        }
        if let Some(proxied) = self.processes.get_mut(name) {
            proxied
                .target
                .send_replace(Some(process.listening.address.clone()));
            (proxied.process, proxied.started, proxied.warm) =
                (Some(process), Instant::now(), at == Some(0));
        }
        Ok(())
    }

    /// Starts a node. `warm`: it runs from the start of the scenario and counts as running for an hour.
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
        self.start_process(&node.place.name, args, warm.then_some(0))
            .await
    }

    /// Starts a host, or the baseline in its place, and records the revision of its document.
    pub(super) async fn start_host(&mut self, host: &str) -> Result<(), RunError> {
        let program = if self.stage.baseline {
            "baseline"
        } else {
            "host"
        };
        let mut args = vec![program.to_string(), "--name".into(), host.into()];
        if !self.stage.baseline && self.deployment.fleet.is_some() {
            // These log lines report the host's shares and maintenance stages, which the audit needs.
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
        let incarnation = self.events.len() as u64;
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
            args.extend([
                "--control".into(),
                self.control_socket(host).display().to_string(),
            ]);
        }
        self.start_process(host, args, None).await?;
        self.record_start(host);
        Ok(())
    }

    /// Returns the node's entry in the endpoint list, with this state.
    pub(super) fn list_entry(
        &self,
        node: &NodePlace,
        state: ListedState,
        addresses: &BTreeMap<String, String>,
    ) -> ListedEndpoint {
        let proxied = self.processes.get(&node.place.name);
        let incarnation = proxied
            .and_then(|p| p.process.as_ref())
            .map_or(0, |p| p.listening.incarnation);
        let age = proxied.map_or(0, |p| {
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

    /// Sends an order to a simulated process on a new connection, and waits until it is written.
    pub(super) async fn send_order(&self, name: &str, order: Order) {
        let address = self
            .processes
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
            let mut bytes_left = bytes;
            while let Some(((), event)) = inbox.recv().await {
                match event {
                    LinkEvent::Written(written) => bytes_left = bytes_left.saturating_sub(written),
                    LinkEvent::Closed(_) => break,
                    LinkEvent::Frame(_) => {}
                }
                if bytes_left == 0 {
                    break;
                }
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(2), written).await;
        drop(link);
        while tasks.join_next().await.is_some() {}
    }

    /// Returns the path of a host's control socket.
    pub(super) fn control_socket(&self, host: &str) -> PathBuf {
        self.stage.dir.join(format!("{host}.sock"))
    }

    /// Returns the states of the hosts that answer on their control sockets.
    pub(super) async fn host_states(&self) -> Vec<State> {
        let mut all = Vec::new();
        for h in self.host_names().iter().filter(|_| !self.stage.baseline) {
            let reply = send_request(
                &self.control_socket(h),
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

    /// Stops a host with SIGTERM, as an operator does. A host that does not exit with success in time is a failure.
    pub(super) async fn stop_host(&mut self, host: &str) {
        let longest_deadline = self
            .deployment
            .request_classes
            .iter()
            .map(|s| s.deadline)
            .max()
            .unwrap_or_default();
        let Some(process) = self.processes.get_mut(host).and_then(|p| p.process.take()) else {
            return;
        };
        match process
            .stop(duration(longest_deadline) + Duration::from_secs(10))
            .await
        {
            Ok(status) if status.success() => {
                self.wire
                    .record_process_event(host, self.wire.now(), ProcessEvent::Ended)
            }
            Ok(status) => self.failures.push(format!("{host} ended with {status}")),
            Err(e) => self.failures.push(e.to_string()),
        }
    }

    /// Stops all processes: hosts with SIGTERM, after which they must exit with success; simulated processes are
    /// killed. Returns the failures.
    pub(super) async fn stop_all(&mut self) -> Vec<String> {
        let longest_deadline = self
            .deployment
            .request_classes
            .iter()
            .map(|s| s.deadline)
            .max()
            .unwrap_or_default();
        let wait = duration(longest_deadline) + Duration::from_secs(10);
        let mut failures = Vec::new();
        let hosts = self.host_names();
        for (name, proxied) in &mut self.processes {
            let Some(process) = proxied.process.take() else {
                continue;
            };
            if !hosts.contains(name) {
                process.kill().await;
                continue;
            }
            match process.stop(wait).await {
                Ok(status) if status.success() => {
                    self.wire
                        .record_process_event(name, self.wire.now(), ProcessEvent::Ended)
                }
                Ok(status) => failures.push(format!("{name} ended with {status}")),
                Err(e) => failures.push(e.to_string()),
            }
        }
        failures
    }
}

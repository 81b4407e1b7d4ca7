//! Several requests sent at once on one connection: each gets its response, whatever closes the connection.
//!
//! The tests guard against requests that are lost at a shutdown: the host announces the close with the first response
//! and discards the requests that it has read behind it. In each of six runs of a stop soak with pipelining this lost
//! the requests of 2 to 85 connections, sent 30 to 360 ms before the response that announced the close. The platform
//! counts a request as lost if it was read and its connection is closed without an answer.

use crate::kernel::HostSocket;
use crate::rig::{Host, discovery, read_message, read_status, request_text, send_request};
use crate::{HELD_TRACE_ID, node_with_held_response};
use nix::sys::signal::Signal;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::Sender;

/// A host and a client that has sent several requests at once. The node holds the response to the first one.
struct HeldPipeline {
    host: Host,
    client: BufReader<TcpStream>,
    release: Sender<()>,
}

impl HeldPipeline {
    /// Starts the host and sends this many requests.
    fn start(requests: u64) -> HeldPipeline {
        let (node, release) = node_with_held_response();
        let (discovery, _polls) = discovery(node);
        let host = Host::start(discovery);
        host.ready();
        let mut client = host.client();
        let behind = (1..requests).map(|n| request_text(HELD_TRACE_ID + n));
        let text = request_text(HELD_TRACE_ID) + &behind.collect::<String>();
        client.get_mut().write_all(text.as_bytes()).unwrap();
        HeldPipeline {
            host,
            client,
            release,
        }
    }

    /// All responses until the connection ends.
    fn responses(&mut self) -> Vec<String> {
        std::iter::from_fn(|| read_message(&mut self.client)).collect()
    }

    /// Closes the client's connection and waits for the host to exit with code 0.
    fn end(mut self) {
        drop(self.client);
        assert_eq!(self.host.child.wait().unwrap().code(), Some(0));
    }
}

fn statuses(responses: &[String]) -> Vec<&str> {
    responses.iter().map(|text| &text[9..12]).collect()
}

/// Checks that the last response, and no earlier one, announces the close.
fn assert_last_announces_close(responses: &[String]) {
    let announces = responses
        .iter()
        .map(|text| text.contains("Connection: close"));
    let first = announces.clone().position(|announces| announces);
    assert_eq!(first, Some(responses.len() - 1));
}

#[test]
fn requests_pipelined_behind_an_open_one_are_served_at_shutdown() {
    let mut held = HeldPipeline::start(4);
    held.host.signal(Signal::SIGTERM);
    held.host.line("listener closed");
    held.release.send(()).unwrap();
    let responses = held.responses();
    assert_eq!(statuses(&responses), ["200"; 4]);
    assert_last_announces_close(&responses);
    held.end();
}

#[test]
fn requests_pipelined_behind_an_open_one_are_refused_after_a_second_signal() {
    let mut held = HeldPipeline::start(4);
    held.host.signal(Signal::SIGTERM);
    held.host.line("listener closed");
    held.host.signal(Signal::SIGTERM);
    let responses = held.responses();
    assert_eq!(statuses(&responses), ["500", "503", "503", "503"]);
    assert_last_announces_close(&responses);
    let never_ran = responses
        .iter()
        .filter(|text| text.contains("X-Never-Ran: 1"));
    assert_eq!(never_ran.count(), 3);
    held.end();
}

/// Guards against pipelined requests that are dropped because they exceed the host's buffer: each gets a refusal.
#[test]
fn pipelined_requests_beyond_the_buffer_are_refused() {
    let mut held = HeldPipeline::start(101);
    HostSocket::when_read(&held.host, [&held.client]);
    held.release.send(()).unwrap();
    let responses: Vec<_> = (0..101)
        .map(|_| read_message(&mut held.client).expect("each has its response"))
        .collect();
    let mut expected = vec!["503"; 101];
    expected[0] = "200";
    assert_eq!(statuses(&responses), expected);
    let never_ran = responses
        .iter()
        .filter(|text| text.contains("X-Never-Ran: 1"));
    assert_eq!(never_ran.count(), 100);
    // The connection still serves requests.
    send_request(&mut held.client, 1);
    assert_eq!(read_status(&mut held.client).as_deref(), Some("200"));
    held.host.signal(Signal::SIGTERM);
    held.end();
}

//! A host that shuts down answers every request that reaches it, until the connection ends.
//!
//! These tests guard against requests that get no answer: a host that has answered all open requests stops reading at
//! once, but keeps its connections (and its listener, if an operator took it offline) open for up to a second. A
//! request sent in that second is never answered, and the client waits for its own timeout. In recordings of
//! `out-takeover` such a request follows the host's `shutdown complete` and is reported as "1-13135 at h3 got no
//! answer".

use crate::rig::{Host, LONG, Raw, document, free, greet, host, run, submit};
use gullsail_protocol::{Message, NotTaken};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The next refusal that the client receives; `None`: the connection ended.
async fn refusal(client: &mut Raw) -> Option<NotTaken> {
    client
        .until(|frame| match frame.message {
            Message::NotTaken(refused) => Some(refused),
            _ => None,
        })
        .await
}

/// Waits until the host refuses connections. Without open requests, its shutdown is complete by then or completes in
/// the same iteration of its event loop.
async fn listener_closed(address: &str) {
    let refused = async {
        while TcpStream::connect(address).await.is_ok() {
            sleep(std::time::Duration::from_millis(1)).await;
        }
    };
    timeout(LONG, refused).await.expect("it still listens");
}

/// A host without open requests, and a client. The host has read all that the client sent.
async fn idle_host() -> (Host, Raw) {
    let ((host_listener, host_address), (node_listener, node_address)) =
        (free().await, free().await);
    let deployment = document(&host_address, &node_address);
    let host = host(&deployment, host_listener).await;
    let _node = greet(&node_listener, 1).await;
    let mut client = Raw::client(&host.address).await;
    client.send(submit(1, "nothing")).await;
    assert!(!refusal(&mut client).await.unwrap().leaving);
    (host, client)
}

#[test]
fn a_request_on_an_open_connection_is_refused_after_the_shutdown_is_complete() {
    run(async {
        let (mut host, mut client) = idle_host().await;
        host.stop.take().unwrap().send(()).unwrap();
        listener_closed(&host.address).await;
        for id in 2..=20 {
            client.send(submit(id, "read")).await;
            let refused = refusal(&mut client).await.expect("it is answered");
            assert_eq!((refused.id, refused.leaving), (id, true));
        }
        drop(client);
        let counts = timeout(LONG, host.task).await.unwrap().unwrap();
        assert_eq!(counts.not_taken, 20);
    });
}

/// The operating system establishes the connection and receives the request before the host accepts the connection.
#[test]
fn a_request_on_a_connection_in_the_backlog_is_refused_when_the_host_stops() {
    run(async {
        let (mut host, first) = idle_host().await;
        // The host runs in this thread: it accepts nothing before the next `await`, and then finds the stop and the
        // connection at once.
        host.stop.take().unwrap().send(()).unwrap();
        let waiting = std::net::TcpStream::connect(&host.address).unwrap();
        waiting.set_nonblocking(true).unwrap();
        let mut client = Raw::over(TcpStream::from_std(waiting).unwrap()).await;
        client.send(submit(2, "read")).await;
        let refused = refusal(&mut client).await.expect("it is answered");
        assert_eq!((refused.id, refused.leaving), (2, true));
        drop((first, client));
        timeout(LONG, host.task).await.unwrap().unwrap();
    });
}

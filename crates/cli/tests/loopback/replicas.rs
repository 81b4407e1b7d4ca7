//! A host with two simulated nodes that hold the same shard.

use crate::rig::{Raw, free, host, location, replicated_document, run, simulated_node, submit};
use bytes::{Bytes, BytesMut};
use gullsail_protocol::*;
use gullsail_simulator::idempotency_keys::IdempotencyKeys;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// State that the relays in front of the nodes share.
#[derive(Clone)]
struct Answers {
    /// Receives each answer that a node sends, also the one that is dropped.
    seen: mpsc::Sender<AttemptAnswer>,
    /// Whether a relay has already dropped an answer.
    first_dropped: Arc<AtomicBool>,
}

/// Passes frames between the host and a node. The first answer of any node is dropped together with the connection; its
/// relay then accepts one more connection and sends nothing on it.
async fn relay(listener: TcpListener, node: String, answers: Answers) {
    loop {
        let mut host = accept(&listener).await;
        let mut node = over(TcpStream::connect(&node).await.unwrap());
        if drops_the_first_answer(&mut host, &mut node, &answers).await {
            break;
        }
    }
    let _unanswered = accept(&listener).await;
    std::future::pending().await
}

/// Passes frames on until the host closes the connection (`false`) or this relay has dropped the first answer (`true`).
async fn drops_the_first_answer(host: &mut Raw, node: &mut Raw, answers: &Answers) -> bool {
    loop {
        tokio::select! {
            from_host = host.next() => match from_host {
                Some(frame) => node.send(frame).await,
                None => return false,
            },
            from_node = node.next() => {
                let frame = from_node.expect("the node runs");
                if let Message::AttemptAnswer(answer) = &frame.message {
                    answers.seen.send(answer.clone()).await.unwrap();
                    if !answers.first_dropped.swap(true, Ordering::Relaxed) {
                        return true;
                    }
                }
                host.send(frame).await;
            }
        }
    }
}

async fn accept(listener: &TcpListener) -> Raw {
    let (stream, _) = listener.accept().await.unwrap();
    over(stream)
}

fn over(stream: TcpStream) -> Raw {
    Raw {
        stream,
        buf: BytesMut::new(),
    }
}

/// Guards against a write that takes effect twice: the first node of the shard runs it, its answer is lost with the
/// connection, and the host retries at the other node.
#[test]
fn a_retry_at_the_other_node_of_the_shard_takes_effect_once() {
    run(async {
        let (host_listener, host_address) = free().await;
        let (first_relay, first_address) = free().await;
        let (second_relay, second_address) = free().await;
        let (first_node, first_inner) = free().await;
        let (second_node, second_inner) = free().await;
        let document = replicated_document(&host_address, &[&first_address, &second_address]);
        let directory = tempfile::tempdir().unwrap();
        let keys = || IdempotencyKeys::shared(&document, &location(), directory.path());
        let nodes = [
            simulated_node(&document, "n1", first_node, keys()),
            simulated_node(&document, "n2", second_node, keys()),
        ];
        let (seen, mut answers_seen) = mpsc::channel(8);
        let answers = Answers {
            seen,
            first_dropped: Arc::default(),
        };
        let relays = [
            tokio::spawn(relay(first_relay, first_inner, answers.clone())),
            tokio::spawn(relay(second_relay, second_inner, answers)),
        ];
        let host = host(&document, host_listener).await;
        let mut client = Raw::client(&host.address).await;
        // The host treats a node whose connection broke as one that has just started, and sends such a node fewer units
        // than this. So the retry goes to the other node.
        let write = Frame::from(Submit {
            units: 30.0,
            ..submit(1, "write")
        });
        client
            .send(write.with_body(Bytes::from_static(b"trip record")))
            .await;

        let first = answers_seen.recv().await.unwrap();
        let second = answers_seen.recv().await.unwrap();
        let (answer, _) = client.answer().await.unwrap();

        assert!(first.ran, "the first attempt took effect");
        assert!(!second.ran, "its repeat took effect again");
        assert_eq!(second.handle, first.handle);
        assert_eq!(answer.outcome, Outcome::Succeeded as i32);
        assert_eq!(answer.handle, first.handle);
        host.stop().await;
        relays.iter().for_each(tokio::task::JoinHandle::abort);
        nodes.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

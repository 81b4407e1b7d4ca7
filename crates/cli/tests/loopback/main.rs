//! The host on real sockets, with simulated nodes and with peers that misbehave. Everything runs in one thread of this
//! process; to kill a host, a test aborts its task.

mod replicas;
mod rig;
mod shutdown;

use bytes::{Bytes, BytesMut};
use gullsail_protocol::*;
use rig::{Raw, document, free, greet, host, run, stand_in, submit, wire};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[test]
fn a_malformed_oversized_or_partial_frame_ends_only_its_own_connection() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        let (node, host) = (
            stand_in(&deployment, node_listener),
            host(&deployment, host_listener).await,
        );
        let mut valid_client = Raw::client(&host.address).await;
        let huge = [&[0x9d, 1, 10, 0][..], &[0, 0, 0, 0x40], &[0, 0, 0, 0]].concat();
        let long_body = [&[0x9d, 1, 10, 0][..], &[0, 0, 0, 0], &[0, 0, 0, 0x40]].concat();
        let malformed = [
            &[0x9d, 1, 10, 0][..],
            &[3, 0, 0, 0],
            &[0, 0, 0, 0],
            &[255, 255, 255],
        ]
        .concat();
        for bytes in [
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            huge,
            long_body,
            malformed,
            vec![0; 4096],
        ] {
            let mut bad = Raw::client(&host.address).await;
            bad.bytes(&bytes).await;
            assert!(bad.until(|_| None::<()>).await.is_none(), "it is closed");
            valid_client
                .send(submit(
                    u64::from(bytes[0]) << 32 | bytes.len() as u64,
                    "read",
                ))
                .await;
            assert_eq!(
                valid_client.answer().await.unwrap().0.outcome,
                Outcome::Succeeded as i32
            );
        }
        // Part of a frame, and then the end of the connection: the host accepts no request.
        let mut partial = Raw::client(&host.address).await;
        partial.bytes(&wire(submit(9, "read"))[..20]).await;
        drop(partial);
        let counts = host.stop().await;
        assert_eq!((counts.taken, counts.done), (5, 5));
        node.abort();
    });
}

#[test]
fn frames_received_byte_by_byte_are_decoded() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        let host = host(&deployment, host_listener).await;
        let mut n = greet(&node_listener, 1).await;
        let mut client = Raw::client(&host.address).await;
        // The request, too, is sent byte by byte.
        for b in wire(Frame::from(submit(4, "write")).with_body(Bytes::from_static(b"photo"))) {
            client.bytes(&[b]).await;
            tokio::task::yield_now().await;
        }
        let attempt = n.attempt().await.unwrap();
        let a = AttemptAnswer {
            attempt: attempt.attempt,
            result: AttemptResult::Succeeded as i32,
            ran: true,
            ..AttemptAnswer::default()
        };
        for b in wire(Frame::from(a).with_body(Bytes::from_static(b"the bytes"))) {
            n.bytes(&[b]).await;
            n.stream.flush().await.unwrap();
            tokio::task::yield_now().await;
        }
        let (answer, body) = client.answer().await.unwrap();
        assert_eq!(
            (answer.id, answer.outcome, &body[..]),
            (4, Outcome::Succeeded as i32, &b"the bytes"[..])
        );
        let counts = host.stop().await;
        assert_eq!((counts.taken, counts.done), (1, 1));
    });
}

#[test]
fn a_non_idempotent_write_fails_when_its_connection_breaks() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        let host = host(&deployment, host_listener).await;
        let mut client = Raw::client(&host.address).await;
        // A request whose connection breaks before the node's first frame has not run, and is sent on the next
        // connection.
        client.send(submit(1, "trip")).await;
        let (early, _) = node_listener.accept().await.unwrap();
        drop(early);
        let mut n = greet(&node_listener, 1).await;
        let attempt = n.attempt().await.unwrap();
        assert_eq!(attempt.idempotency_key, "mark-1");
        drop(n);
        let (answer, _) = client.answer().await.unwrap();
        assert_eq!(
            answer.outcome,
            Outcome::Failed as i32,
            "the write may have run"
        );
        let mut again = greet(&node_listener, 1).await;
        client.send(submit(2, "trip")).await;
        assert_eq!(
            again.attempt().await.unwrap().idempotency_key,
            "mark-2",
            "the first is not sent again"
        );
        host.task.abort();
    });
}

/// Guards against a write that takes effect twice: the host is killed between an attempt and its answer, and the client
/// repeats the request to the next host. The idempotency key prevents a second effect.
#[test]
fn a_write_with_an_idempotency_key_repeated_after_a_kill_takes_effect_once() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        // The test stands between the host and the node: it passes the attempt on and withholds the answer.
        let (inner, inner_address) = free().await;
        let node = stand_in(&deployment, inner);
        let first = host(&deployment, host_listener).await;
        let mut client = Raw::client(&first.address).await;
        client
            .send(Frame::from(submit(1, "write")).with_body(Bytes::from_static(b"trip record")))
            .await;
        let mut n = greet(&node_listener, 77).await;
        let attempt = n.attempt().await.unwrap();
        let mut direct = Raw {
            stream: TcpStream::connect(&inner_address).await.unwrap(),
            buf: BytesMut::new(),
        };
        direct
            .send(Hello {
                role: Role::Host as i32,
                name: "h1".into(),
                ..Hello::default()
            })
            .await;
        direct
            .send(Frame::from(attempt.clone()).with_body(Bytes::from_static(b"trip record")))
            .await;
        let ran = direct.until(|f| {
            if let Message::AttemptAnswer(a) = f.message {
                Some(a)
            } else {
                None
            }
        });
        let ran = ran.await.unwrap();
        assert!(ran.ran);
        first.task.abort();
        assert!(
            client.until(|_| None::<()>).await.is_none(),
            "the host closes the connection when it is killed"
        );
        drop((n, node_listener));
        // The next host has no state but the document, which names the node's real address.
        let (host_listener, host_address) = free().await;
        let second = host(&document(&host_address, &inner_address), host_listener).await;
        let mut client = Raw::client(&second.address).await;
        client
            .send(
                Frame::from(Submit {
                    repeat: 1,
                    ..submit(1, "write")
                })
                .with_body(Bytes::from_static(b"trip record")),
            )
            .await;
        let (answer, _) = client.answer().await.unwrap();
        assert_eq!(
            (answer.outcome, answer.handle),
            (Outcome::Succeeded as i32, ran.handle),
            "the first one's answer"
        );
        // Checked at the node itself: a third attempt with the same key does not run either.
        direct
            .send(Frame::from(Attempt {
                attempt: 99,
                repeat: 2,
                ..attempt
            }))
            .await;
        let third = direct.until(|f| {
            if let Message::AttemptAnswer(a) = f.message {
                Some(a)
            } else {
                None
            }
        });
        assert!(!third.await.unwrap().ran);
        assert_eq!(second.stop().await.done, 1);
        node.abort();
    });
}

#[test]
fn a_client_that_never_reads_is_disconnected_and_others_are_served() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        let host = host(&deployment, host_listener).await;
        let mut n = greet(&node_listener, 1).await;
        let nodes = tokio::spawn(async move {
            while let Some(attempt) = n.attempt().await {
                let a = AttemptAnswer {
                    attempt: attempt.attempt,
                    result: AttemptResult::Succeeded as i32,
                    ..AttemptAnswer::default()
                };
                n.send(Frame::from(a).with_body(Bytes::from(vec![7; 500_000])))
                    .await;
            }
        });
        let mut stalled_client = Raw::client(&host.address).await;
        let mut valid_client = Raw::client(&host.address).await;
        for id in 0..40 {
            // After some requests the host stops reading from this client.
            if timeout(
                Duration::from_millis(200),
                stalled_client.stream.write_all(&wire(submit(id, "read"))),
            )
            .await
            .is_err()
            {
                break;
            }
        }
        for id in 0..5 {
            valid_client.send(submit(id, "read")).await;
            assert_eq!(valid_client.answer().await.unwrap().1.len(), 500_000);
        }
        // The host has closed the connection by then: bytes in flight may still be read before its end.
        tokio::time::sleep(Duration::from_secs(3)).await;
        while stalled_client.next().await.is_some() {}
        let counts = host.stop().await;
        assert!(
            counts.most_held < 40 * 500_000,
            "{} bytes held at most",
            counts.most_held
        );
        nodes.abort();
    });
}

#[test]
fn a_stop_with_a_thousand_open_requests_answers_each_once() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        let host = host(&deployment, host_listener).await;
        let _node = greet(&node_listener, 1).await;
        let mut client = Raw::client(&host.address).await;
        for id in 0..1000 {
            client
                .send(Submit {
                    timeout_us: 1_500_000,
                    ..submit(id, ["read", "write", "trip"][id as usize % 3])
                })
                .await;
        }
        // Frames of one connection are read in order: when this one is refused, all requests before it are accepted.
        client.send(submit(7777, "nothing")).await;
        let first = client
            .until(|f| {
                if let Message::NotTaken(n) = f.message {
                    Some(n)
                } else {
                    None
                }
            })
            .await
            .unwrap();
        assert_eq!((first.id, first.leaving), (7777, false));
        let stopping = tokio::spawn(host.stop());
        let mut answered = std::collections::BTreeMap::new();
        while let Some(frame) = client.next().await {
            if let Message::Answer(a) = frame.message {
                *answered.entry(a.id).or_insert(0) += 1;
            }
        }
        assert_eq!((answered.len(), answered.values().max()), (1000, Some(&1)));
        let counts = stopping.await.unwrap();
        assert_eq!(counts.taken, counts.done + counts.rejected + counts.failed);
    });
}

/// Guards against a node that counts as restarted, and as cold, because its connections break: each connection breaks
/// after nine answers, the node itself never restarts, and each request is served.
#[test]
fn a_broken_connection_does_not_count_as_a_node_restart() {
    run(async {
        let ((host_listener, host_address), (node_listener, node_address)) =
            (free().await, free().await);
        let deployment = document(&host_address, &node_address);
        let host = host(&deployment, host_listener).await;
        let nodes = tokio::spawn(async move {
            let mut served = 0u32;
            loop {
                let mut n = greet(&node_listener, 1).await;
                while let Some(attempt) = n.attempt().await {
                    served += 1;
                    if served.is_multiple_of(10) {
                        break;
                    }
                    let a = AttemptAnswer {
                        attempt: attempt.attempt,
                        result: AttemptResult::Succeeded as i32,
                        ..AttemptAnswer::default()
                    };
                    n.send(a).await;
                }
            }
        });
        let mut client = Raw::client(&host.address).await;
        let mut done = 0;
        for id in 0..200 {
            client.send(submit(id, "read")).await;
            done +=
                u32::from(client.answer().await.unwrap().0.outcome == Outcome::Succeeded as i32);
        }
        assert_eq!(done, 200, "each is sent again on the next connection");
        let counts = host.stop().await;
        assert!(
            counts.nodes_met_again >= 20 && counts.nodes_restarted == 0,
            "{counts:?}"
        );
        nodes.abort();
    });
}

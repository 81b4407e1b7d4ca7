//! Frames that wait to be handled are bounded in bytes over all links; who sends more waits, and goes on when
//! there is room.

use bytes::{Bytes, BytesMut};
use gullsail_connections::{Link, LinkEvent, ReadLimits, Room};
use gullsail_protocol::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

const BODY: usize = 300_000;
const LONG: Duration = Duration::from_secs(30);

#[test]
fn frames_that_wait_are_bounded_in_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        // room in bytes, how many frames of each of two links may wait together
        for (all, most) in [(1_000_000, 3), (BODY + 1000, 1), (1000, 1)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (sink, mut inbox) = mpsc::channel(64);
            let (mut tasks, mut links, room) = (JoinSet::new(), Vec::new(), Room::new(all));
            for key in 0..2 {
                let mut stream = TcpStream::connect(listener.local_addr().unwrap())
                    .await
                    .unwrap();
                let (other, _) = listener.accept().await.unwrap();
                let within = ReadLimits {
                    bounds: Bounds::DEFAULT,
                    room: Some(room.clone()),
                };
                links.push(Link::open_within(other, key, within, 8, &sink, &mut tasks));
                tokio::spawn(async move {
                    let frame =
                        Frame::from(Withdraw { id: 1 }).with_body(Bytes::from(vec![7; BODY]));
                    let mut wire = BytesMut::new();
                    frame.head(&mut wire);
                    wire.extend_from_slice(&frame.body);
                    for _ in 0..10 {
                        stream.write_all(&wire).await.unwrap();
                    }
                    stream
                });
            }
            let (mut waiting, mut came) = (Vec::new(), 0);
            while came < 20 {
                // All that comes without room being given back, then one of them is handled.
                while let Ok(Some((_, happened))) =
                    timeout(Duration::from_millis(40), inbox.recv()).await
                {
                    if let LinkEvent::Frame(frame) = happened {
                        waiting.push(frame.len());
                        came += 1;
                    }
                }
                assert!(
                    waiting.len() <= most,
                    "{} wait in room of {all}",
                    waiting.len()
                );
                let Some(bytes) = waiting.pop() else { continue };
                room.give_back(bytes);
            }
            waiting.into_iter().for_each(|bytes| room.give_back(bytes));
            assert_eq!(
                timeout(LONG, async { room.free() }).await,
                Ok(all),
                "all of it is given back"
            );
        }
    });
}

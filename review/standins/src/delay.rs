//! A proxy that delays all bytes of a connection by the same time in each direction, in order.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Starts a proxy in front of `to` and returns its address.
pub fn start(to: SocketAddr, one_way: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("proxy address");
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            near.set_nodelay(true).unwrap();
            far.set_nodelay(true).unwrap();
            copy(near.try_clone().unwrap(), far.try_clone().unwrap(), one_way);
            copy(far, near, one_way);
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let n = from.read(&mut buffer).unwrap_or(0);
            let due = Instant::now() + one_way;
            if sender.send((due, buffer[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        for (due, bytes) in receiver {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}

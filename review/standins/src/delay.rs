//! A proxy that delays all bytes of a connection by the same time in each direction, in order. It counts what has set
//! out towards the node, so that a node can be told whether a request is on its way to it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// For each connection from a proxy to a node, by the proxy's address on it: the bytes that the host has written.
static WRITTEN_BY_HOST: Mutex<BTreeMap<SocketAddr, Arc<AtomicU64>>> = Mutex::new(BTreeMap::new());

/// How many bytes the host has written so far on the connection that reaches the node from this address.
pub fn written_by_host(proxy: SocketAddr) -> Option<u64> {
    let connections = WRITTEN_BY_HOST.lock().unwrap();
    Some(connections.get(&proxy)?.load(Ordering::SeqCst))
}

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
            let written = Arc::new(AtomicU64::new(0));
            let proxy = far.local_addr().unwrap();
            WRITTEN_BY_HOST.lock().unwrap().insert(proxy, written.clone());
            copy(near.try_clone().unwrap(), far.try_clone().unwrap(), one_way, written);
            copy(far, near, one_way, Arc::default());
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, one_way: Duration, taken: Arc<AtomicU64>) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let n = from.read(&mut buffer).unwrap_or(0);
            taken.fetch_add(n as u64, Ordering::SeqCst);
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

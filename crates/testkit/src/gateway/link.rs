//! Loopback links between nodes with a limited bandwidth.
//!
//! A link stands in front of one node, on TCP and UDP. It forwards heartbeats with the address of
//! the sender's own link in place of the sender's, so that all nodes reach each other by links
//! only.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_dispatch::gossip::Datagram;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Runtime;
use tokio::time::Instant;

use crate::trial::lock;

/// Largest number of bytes sent at a time.
const CHUNK_BYTES: usize = 4 * 1024;

/// Number of attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 64;

/// Links of a site; dropping it stops them.
#[derive(Debug)]
pub struct Links {
    runtime: Runtime,
    /// Address of the link of each node, by the node's own address.
    addresses: Addresses,
}

type Addresses = Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>;

impl Links {
    /// Creates an empty set of links.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn open() -> io::Result<Links> {
        Ok(Links { runtime: jacinthfall_net::runtime(1)?, addresses: Addresses::default() })
    }

    /// Starts the link of the node at `target`, and returns its address. All that the node sends
    /// in answer to others shares `bytes_per_second`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn add(&self, target: SocketAddr, bytes_per_second: u32) -> io::Result<SocketAddr> {
        let (listener, socket) = self.runtime.block_on(bind())?;
        let address = listener.local_addr()?;
        lock(&self.addresses).insert(target, address);
        self.runtime.spawn(forward_datagrams(socket, target, Arc::clone(&self.addresses)));
        let pace = Arc::new(Pace { bytes_per_second, free_at: Mutex::new(Instant::now()) });
        self.runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward_connection(stream, target, Arc::clone(&pace)));
            }
        });
        Ok(address)
    }
}

/// Spreads bytes over time.
#[derive(Debug)]
struct Pace {
    bytes_per_second: u32,
    /// When the bytes so far have been sent.
    free_at: Mutex<Instant>,
}

impl Pace {
    /// Waits until `bytes` have been sent after all earlier ones.
    async fn wait(&self, bytes: usize) {
        let duration = Duration::from_secs_f64(bytes as f64 / f64::from(self.bytes_per_second));
        let end = {
            let mut free_at = lock(&self.free_at);
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        tokio::time::sleep_until(end).await;
    }
}

async fn bind() -> io::Result<(TcpListener, UdpSocket)> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut attempts = PORT_ATTEMPTS;
    loop {
        attempts -= 1;
        let listener = TcpListener::bind(any).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}

/// Forwards datagrams: heartbeats of nodes that have a link, and all others.
async fn forward_datagrams(socket: UdpSocket, target: SocketAddr, addresses: Addresses) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        let decoded =
            bincode::serde::decode_from_slice::<Datagram, _>(&buffer[..length], standard());
        let Ok((mut datagram, _)) = decoded else { continue };
        if let Datagram::Heartbeat(beat) = &mut datagram {
            let Some(link) = lock(&addresses).get(&beat.node.peers).copied() else { continue };
            beat.node.peers = link;
        }
        let Ok(datagram) = bincode::serde::encode_to_vec(&datagram, standard()) else { continue };
        // A node that is down gets no heartbeats.
        let _ = socket.send_to(&datagram, target).await;
    }
}

async fn forward_connection(mut caller: TcpStream, target: SocketAddr, pace: Arc<Pace>) {
    let Ok(mut node) = TcpStream::connect(target).await else { return };
    let (mut from_caller, mut to_caller) = caller.split();
    let (mut from_node, mut to_node) = node.split();
    let responses = async {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from_node.read(&mut chunk).await {
            pace.wait(count).await;
            if to_caller.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = tokio::io::copy(&mut from_caller, &mut to_node) => {}
        () = responses => {}
    }
}

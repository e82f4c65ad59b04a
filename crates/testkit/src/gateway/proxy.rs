//! A loopback TCP proxy whose connections can be delayed, reset or blackholed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Largest number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Fault that the proxy injects into connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Each chunk is forwarded after a delay.
    Delay(Duration),
    /// New connections are closed at once and open ones are reset.
    Reset,
    /// New connections are refused; open ones live on.
    Refuse,
    /// Bytes are discarded in both directions while connections stay open; a connection that
    /// this once affected never forwards again.
    Blackhole,
    /// Requests are forwarded and responses discarded; a connection that this once affected
    /// never forwards responses again.
    OneWay,
}

/// A running proxy; dropping it stops the proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    fault: watch::Sender<Fault>,
    _runtime: Arc<Runtime>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn spawn(target: SocketAddr) -> io::Result<Proxy> {
        let runtime = Arc::new(jacinthfall_net::runtime(1)?);
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(Fault::None);
        runtime.spawn(accept(listener, address, target, faults));
        Ok(Proxy { address, fault, _runtime: runtime })
    }

    /// Sets the fault of new and open connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

/// Accepts connections; while new ones are refused, nothing listens at `address`.
async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut faults: watch::Receiver<Fault>,
) {
    let mut listener = Some(listener);
    loop {
        if *faults.borrow_and_update() == Fault::Refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accepted => {
                let Ok((stream, _)) = accepted else { return };
                tokio::spawn(connection(stream, target, faults.clone()));
            }
            changed = faults.changed() => if changed.is_err() { return },
        }
    }
}

async fn connection(stream: TcpStream, target: SocketAddr, mut faults: watch::Receiver<Fault>) {
    if *faults.borrow() == Fault::Reset {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = upstream.into_split();
    let requests = forward(from_caller, to_target, faults.clone(), false);
    let responses = forward(from_target, to_caller, faults.clone(), true);
    let reset = async { faults.wait_for(|fault| *fault == Fault::Reset).await.is_ok() };
    tokio::select! {
        () = requests => {}
        () = responses => {}
        _ = reset => {}
    }
}

/// Forwards bytes until either side ends; a connection that was blackholed stays so.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: watch::Receiver<Fault>,
    is_response: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut blackholed = false;
    loop {
        let Ok(count @ 1..) = from.read(&mut chunk).await else { return };
        let fault = *faults.borrow();
        blackholed |= fault == Fault::Blackhole || (fault == Fault::OneWay && is_response);
        if blackholed {
            continue;
        }
        if let Fault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

//! Accepts connections and survives a lack of file descriptors.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};

/// Pause after `accept` has failed, for instance because no file descriptor is free.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Minimum time between two lines about failures.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts the connections of a listener.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    /// When the latest line about failures was logged.
    logged: Option<Instant>,
    /// Number of failures since.
    failures: u64,
}

impl Acceptor {
    /// Accepts the connections of `listener`.
    #[must_use]
    pub fn open(listener: TcpListener) -> Acceptor {
        Acceptor { listener, logged: None, failures: 0 }
    }

    /// Accepts the next connection. Retries after errors, with a pause, and logs one line a
    /// second about them at most.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(error) => {
                    self.record_failure(&error);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn record_failure(&mut self, error: &std::io::Error) {
        self.failures += 1;
        if self.logged.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        log::warn!("event=accept_failed failures={} reason=\"{error}\"", self.failures);
        self.logged = Some(Instant::now());
        self.failures = 0;
    }
}

//! Planned stop: drains the requests in flight, and serves new ones for as long as possible.
//!
//! The node first announces that it is leaving, so that callers move to other nodes. Later
//! it stops accepting connections and closes the open ones, and it ends when no request is in
//! flight or the grace period is nearly over.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jacinthfall_dispatch::roster::Phase;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;

use super::hub::Hub;

/// Share of the grace period after which no new connection is accepted.
const ACCEPT_SHARE: f64 = 0.5;

/// Share of the grace period after which the process ends even with requests in flight.
const END_SHARE: f64 = 0.95;

/// Interval between two checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last answers to be written to their sockets.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Signals that the node handles: SIGTERM and SIGINT request a planned stop, SIGHUP is only
/// logged.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn open() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until a stop is requested. SIGHUP reloads nothing: everything that may change
    /// while the process runs comes from the store.
    async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => log::info!("event=reload changed=nothing"),
            }
        }
    }
}

/// Waits for a stop signal, then carries out the planned stop.
pub async fn run(hub: &Hub, mut signals: Signals, serving: JoinHandle<()>) {
    signals.wait_for_stop().await;
    let started = tokio::time::Instant::now();
    let grace = hub.settings.stop.grace;
    log::info!("event=stop in_hand={}", hub.in_flight.load(Ordering::Relaxed));
    hub.tables().phase = Phase::Leaving;
    hub.heartbeat_due.notify_one();
    tokio::time::sleep_until(started + grace.mul_f64(ACCEPT_SHARE)).await;
    serving.abort();
    hub.closing.send_replace(true);
    let end = started + grace.mul_f64(END_SHARE);
    while hub.in_flight.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
    hub.audit.flush(hub.now(), &hub.tables);
    log::info!("event=stopped in_hand={}", hub.in_flight.load(Ordering::Relaxed));
}

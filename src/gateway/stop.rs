//! Planned stops: finish what callers have sent, refuse no one who could be served.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jacinthfall_dispatch::roster::Phase;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;

use super::hub::Hub;

/// Share of the grace after which no new connection is accepted.
const ACCEPT_SHARE: f64 = 0.5;

/// Share of the grace after which the process ends whatever is in hand.
const END_SHARE: f64 = 0.95;

/// Time between two looks at what is in hand.
const LOOK: Duration = Duration::from_millis(20);

/// Time for the last answers to reach their sockets.
const FLUSH: Duration = Duration::from_millis(50);

/// Signals that ask for a planned stop.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens for the signals.
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

    /// Waits until a stop is asked for. A hangup changes nothing: what may change
    /// while the process runs comes from the store.
    async fn stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => log::info!("event=reload changed=nothing"),
            }
        }
    }
}

/// Waits for a signal, then stops in order.
pub async fn run(hub: &Hub, mut signals: Signals, serving: JoinHandle<()>) {
    signals.stop().await;
    let begun = tokio::time::Instant::now();
    let grace = hub.settings.stop.grace;
    log::info!("event=stop in_hand={}", hub.in_hand.load(Ordering::Relaxed));
    hub.tables().phase = Phase::Leaving;
    hub.news.notify_one();
    tokio::time::sleep_until(begun + grace.mul_f64(ACCEPT_SHARE)).await;
    serving.abort();
    hub.closing.send_replace(true);
    let end = begun + grace.mul_f64(END_SHARE);
    while hub.in_hand.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(FLUSH).await;
    hub.audit.flush(hub);
    log::info!("event=stopped in_hand={}", hub.in_hand.load(Ordering::Relaxed));
}

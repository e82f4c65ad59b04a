//! Non-blocking log output to standard output.
//!
//! Lines pass through a bounded queue to a writer thread. If the reader of standard output
//! stops reading, the queue fills up; further lines are then dropped and counted, and the
//! count is logged once the writer can continue.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use env_logger::{Builder, Env, Target};
use jacinthfall_core::time::Time;

/// Maximum number of lines in the queue.
const QUEUE_CAPACITY: usize = 1_024;

/// Interval at which [`drain`] checks whether all lines are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of lines of the program's log that are not written yet.
static PENDING_LINES: OnceLock<Arc<AtomicU64>> = OnceLock::new();

/// Bounded queue of lines for a writer thread. Writing to it never blocks.
#[derive(Debug)]
pub struct Queue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    pending: Arc<AtomicU64>,
}

impl Queue {
    /// Starts a thread that writes lines to `writer`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system while starting the thread.
    ///
    /// ```
    /// use std::io::Write;
    /// use jacinthfall::util::output::Queue;
    /// let mut queue = Queue::spawn(std::io::sink()).unwrap();
    /// queue.write_all(b"event=start\n").unwrap();
    /// ```
    pub fn spawn(writer: impl Write + Send + 'static) -> io::Result<Queue> {
        let (lines, queued) = bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicU64::new(0));
        let (thread_dropped, thread_pending) = (Arc::clone(&dropped), Arc::clone(&pending));
        thread::Builder::new().name("log".into()).spawn(move || {
            // An error of the log itself can't be logged.
            let _ = write_lines(writer, &queued, &thread_dropped, &thread_pending);
        })?;
        Ok(Queue { lines, dropped, pending })
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.pending.fetch_sub(1, Ordering::Relaxed);
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(
    mut writer: impl Write,
    queued: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    pending: &AtomicU64,
) -> io::Result<()> {
    while let Ok(line) = queued.recv() {
        let mut written = 1;
        writer.write_all(&line)?;
        for line in queued.try_iter() {
            writer.write_all(&line)?;
            written += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            writeln!(writer, "level=WARN event=log_lines_dropped count={lost}")?;
        }
        writer.flush()?;
        pending.fetch_sub(written, Ordering::Relaxed);
    }
    Ok(())
}

/// Waits until the program's log is written, for at most `limit`. A process calls this before
/// it ends, because it would otherwise lose its last lines.
pub fn drain(limit: Duration) {
    let end = Instant::now() + limit;
    let Some(pending) = PENDING_LINES.get() else { return };
    while pending.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// Limits the number of log lines of one kind per second.
#[derive(Debug)]
pub struct Sampler {
    /// Maximum number of lines per second.
    limit: u32,
    second: u64,
    written: u32,
    /// Lines rejected since the last admitted one.
    skipped: u64,
}

impl Sampler {
    /// Creates a sampler that admits `limit` lines per second.
    #[must_use]
    pub fn open(limit: u32) -> Sampler {
        Sampler { limit, second: 0, written: 0, skipped: 0 }
    }

    /// Checks whether a line may be written at `now`. If so, returns the number of lines that
    /// were rejected since the last admitted one.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall::util::output::Sampler;
    /// let mut sampler = Sampler::open(20);
    /// let written = (0..100).filter(|_| sampler.admit(Time(0)).is_some()).count();
    /// assert_eq!(written, 20);
    /// assert_eq!(sampler.admit(Time(1_000_000)), Some(80));
    /// ```
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        let second = now.0 / 1_000_000;
        if self.second != second {
            (self.second, self.written) = (second, 0);
        }
        if self.written >= self.limit {
            self.skipped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.skipped))
    }

    /// Counts further lines that were written together with an admitted one.
    pub fn charge(&mut self, lines: u32) {
        self.written = self.written.saturating_add(lines);
    }
}

/// Sets up the program's log: lines of `key=value` fields on standard output.
///
/// # Errors
///
/// Any error of the operating system while starting the writer thread.
pub fn init() -> io::Result<()> {
    let queue = Queue::spawn(io::stdout())?;
    let _ = PENDING_LINES.set(Arc::clone(&queue.pending));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue)))
        .format(|line, record| {
            let time = line.timestamp_millis();
            writeln!(line, "time={time} level={} {}", record.level(), record.args())
        })
        .init();
    Ok(())
}

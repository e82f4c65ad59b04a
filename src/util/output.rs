//! Log lines on standard output, which never make the writer wait.
//!
//! Lines go through a bounded queue to a thread of their own. A reader of standard
//! output that stops reading fills the queue; further lines are then dropped and
//! counted, and the count is told once there is room.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use env_logger::{Builder, Env, Target};
use jacinthfall_core::time::Time;

/// Lines that wait for the reader of standard output.
const QUEUE: usize = 1_024;

/// Time between two looks whether the lines are written.
const DRAIN_LOOK: Duration = Duration::from_millis(2);

/// Lines of the program's log that are not written yet.
static WAITING: OnceLock<Arc<AtomicU64>> = OnceLock::new();

/// Queue of lines on their way to a writer.
#[derive(Debug)]
pub struct Queue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
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
        let (lines, queued) = bounded(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let waiting = Arc::new(AtomicU64::new(0));
        let (counted, left) = (Arc::clone(&dropped), Arc::clone(&waiting));
        thread::Builder::new().name("log".into()).spawn(move || {
            // Nobody can be told that the log itself can't be written.
            let _ = carry(writer, &queued, &counted, &left);
        })?;
        Ok(Queue { lines, dropped, waiting })
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn carry(
    mut writer: impl Write,
    queued: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    waiting: &AtomicU64,
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
        waiting.fetch_sub(written, Ordering::Relaxed);
    }
    Ok(())
}

/// Waits until the program's log is written, for `limit` at most: a process that ends
/// would otherwise lose its last lines.
pub fn drain(limit: Duration) {
    let end = Instant::now() + limit;
    let Some(waiting) = WAITING.get() else { return };
    while waiting.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(DRAIN_LOOK);
    }
}

/// Bounds the lines of one kind in each second.
#[derive(Debug)]
pub struct Sampler {
    /// Lines in a second.
    limit: u32,
    second: u64,
    written: u32,
    passed_over: u64,
}

impl Sampler {
    /// Opens a sampler for a number of lines in each second.
    #[must_use]
    pub fn open(limit: u32) -> Sampler {
        Sampler { limit, second: 0, written: 0, passed_over: 0 }
    }

    /// Whether a line may be written at a time. Returns how many were passed over
    /// since the last one that was.
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
            self.passed_over += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.passed_over))
    }

    /// Counts further lines that were written with an admitted one.
    pub fn charge(&mut self, lines: u32) {
        self.written = self.written.saturating_add(lines);
    }
}

/// Sends the program's log to standard output, one line of `key=value` fields each.
///
/// # Errors
///
/// Any error of the operating system while starting the writer.
pub fn open() -> io::Result<()> {
    let queue = Queue::spawn(io::stdout())?;
    let _ = WAITING.set(Arc::clone(&queue.waiting));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(queue)))
        .format(|line, record| {
            let time = line.timestamp_millis();
            writeln!(line, "time={time} level={} {}", record.level(), record.args())
        })
        .init();
    Ok(())
}

//! A child process and the lines that it prints.

use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Longest wait for a process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Lines printed up to and including the one that [`Process::spawn`] waited for.
    pub lines: Vec<String>,
    /// Thread that reads the later lines.
    remaining: Option<JoinHandle<Vec<String>>>,
}

impl Process {
    /// Starts a program and waits until it prints a line that contains `marker`.
    ///
    /// # Panics
    ///
    /// If the program can't be started or exits before that line.
    pub fn spawn<A: AsRef<OsStr>>(program: &Path, arguments: &[A], marker: &str) -> Process {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|e| {
                panic!("{}: {e}; run `cargo build --workspace`", program.display())
            });
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut reader = BufReader::new(stdout);
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            let count = reader.read_line(&mut line).expect("output is readable");
            assert!(count > 0, "{} exited before it printed `{marker}`", program.display());
            lines.push(line.trim_end().to_owned());
            if line.contains(marker) {
                break;
            }
        }
        // The later lines are read at once, so that the process never blocks on a full pipe.
        let remaining = thread::spawn(move || reader.lines().map_while(Result::ok).collect());
        Process { child, lines, remaining: Some(remaining) }
    }

    /// Lines printed after the one that [`Process::spawn`] waited for; waits until the process
    /// closes its standard output.
    ///
    /// # Panics
    ///
    /// If this was called before.
    pub fn remaining_lines(&mut self) -> Vec<String> {
        let remaining = self.remaining.take().expect("the lines were not taken before");
        remaining.join().expect("its output is readable")
    }

    /// Addresses printed as `name=address` or `listening name address`.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let mut addresses = BTreeMap::new();
        for line in &self.lines {
            let words: Vec<&str> = line.split_whitespace().collect();
            for word in &words {
                if let Some((name, Ok(address))) =
                    word.split_once('=').map(|(name, address)| (name, address.parse()))
                {
                    addresses.insert(name.to_owned(), address);
                }
            }
            if let [.., name, address] = words.as_slice()
                && let Ok(address) = address.parse()
            {
                addresses.insert((*name).to_owned(), address);
            }
        }
        addresses
    }

    /// Processor time that the process has used, from the kernel's accounting.
    ///
    /// # Panics
    ///
    /// If the process is gone or the kernel does not account for it.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.child.id());
        let tasks = format!("/proc/{}/task", self.child.id());
        let nanos = |path: &Path| -> u64 {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            text.split_whitespace().next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
        };
        assert!(Path::new(&path).exists(), "the kernel accounts for processor time");
        let tasks = std::fs::read_dir(tasks).expect("the process runs");
        let tasks = tasks.filter_map(Result::ok).map(|task| task.path().join("schedstat"));
        Duration::from_nanos(tasks.map(|path| nanos(&path)).sum())
    }

    /// Resident memory of the process, in bytes.
    ///
    /// # Panics
    ///
    /// If the process is gone.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("the kernel reports resident memory") * 1_024
    }

    /// Kills the process at once, as when its VM fails.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process for a planned stop, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP to the process.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends the process until [`Process::resume`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a process that [`Process::freeze`] suspended.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to exit.
    ///
    /// # Panics
    ///
    /// If it has not exited after a minute.
    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                return status;
            }
            assert!(Instant::now() < end, "the process has not exited after {EXIT_TIMEOUT:?}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("a child can be signalled");
    }
}

impl Process {
    /// Returns the largest amount of memory that the process has used so far, in bytes.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
        kilobytes << 10
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

//! Reads the logs of any number of nodes.

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use super::line::Line;

/// Maximum length of a line, in bytes. Longer lines are counted as unreadable.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Lines by node, in the order of each log.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    nodes: BTreeMap<String, Vec<Line>>,
    /// Number of lines that could not be parsed.
    pub unreadable: u64,
}

impl Logs {
    /// Adds a log. Lines without a prefix are attributed to the node that the preceding
    /// `event=start` line names, or to `source` if there is none.
    ///
    /// # Errors
    ///
    /// Any I/O error.
    ///
    /// ```
    /// use jacinthfall::ops::explain::Logs;
    /// let mut logs = Logs::default();
    /// let text = "time=2026-12-03T10:00:00.000Z level=INFO event=start node=n-1\nnoise\n";
    /// logs.read("a.log", text.as_bytes()).unwrap();
    /// assert_eq!((logs.nodes().next().unwrap().0, logs.unreadable), ("n-1", 1));
    /// ```
    pub fn read(&mut self, source: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut node = source.to_owned();
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            if log.read_until(b'\n', &mut bytes)? == 0 {
                return Ok(());
            }
            let text = str::from_utf8(&bytes).ok().filter(|_| bytes.len() <= MAX_LINE_BYTES);
            let Some(line) = text.and_then(Line::parse) else {
                self.unreadable += 1;
                continue;
            };
            if line.event == "start"
                && let Some(name) = line.get("node")
            {
                node = name.to_owned();
            }
            let owner = if line.prefix.is_empty() { &node } else { &line.prefix };
            if !self.nodes.contains_key(owner) {
                self.nodes.insert(owner.clone(), Vec::new());
            }
            self.nodes.get_mut(owner).expect("inserted above").push(line);
        }
    }

    /// Returns the nodes with their lines.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, &[Line])> {
        self.nodes.iter().map(|(name, lines)| (name.as_str(), lines.as_slice()))
    }
}

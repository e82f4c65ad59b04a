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
    pub fn read(&mut self, source: &str, log: impl BufRead) -> io::Result<()> {
        let Logs { nodes, unreadable } = self;
        *unreadable += for_each_line(source, log, |node, line| {
            if !nodes.contains_key(node) {
                nodes.insert(node.to_owned(), Vec::new());
            }
            nodes.get_mut(node).expect("inserted above").push(line);
        })?;
        Ok(())
    }

    /// Returns the nodes with their lines.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, &[Line])> {
        self.nodes.iter().map(|(name, lines)| (name.as_str(), lines.as_slice()))
    }
}

/// Calls `visit` with each line of a log and the node that wrote it, and returns the number of
/// lines that could not be parsed. Only one line is kept in memory. `source` names the node
/// of lines without a prefix until an `event=start` line does.
///
/// # Errors
///
/// Any I/O error.
pub fn for_each_line(
    source: &str,
    mut log: impl BufRead,
    mut visit: impl FnMut(&str, Line),
) -> io::Result<u64> {
    let mut node = source.to_owned();
    let mut bytes = Vec::new();
    let mut unreadable = 0;
    loop {
        bytes.clear();
        if log.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(unreadable);
        }
        let text = str::from_utf8(&bytes).ok().filter(|_| bytes.len() <= MAX_LINE_BYTES);
        let Some(line) = text.and_then(Line::parse) else {
            unreadable += 1;
            continue;
        };
        if line.event == "start"
            && let Some(name) = line.get("node")
        {
            name.clone_into(&mut node);
        }
        let owner = if line.prefix.is_empty() { node.clone() } else { line.prefix.clone() };
        visit(&owner, line);
    }
}

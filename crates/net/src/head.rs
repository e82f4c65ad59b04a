//! Line ends in the heads of HTTP/1.1 responses.
//!
//! RFC 9112 lets a recipient take a lone line feed for the end of a line. A field whose name begins
//! with one then ends the head, so that the rest of the head passes for the body. What is parsed no
//! longer shows that, so the bytes are checked as they arrive.

/// A line of a head ends without a carriage return, or a field holds a line feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the head of the response holds a line feed without a carriage return; check the sender")]
pub struct LoneLineFeed;

/// Position of the status code's first digit in a status line, as in `HTTP/1.1 200 OK`.
const STATUS_COLUMN: usize = 9;

/// Checks the line ends of one response's head, which arrives in pieces. The heads of interim
/// responses before it are checked too, and the body isn't.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Check {
    /// Number of lines so far; empty ones before the status line don't count.
    lines: usize,
    /// Number of bytes of the current line so far.
    column: usize,
    /// Whether the latest byte is a carriage return.
    after_return: bool,
    is_interim: bool,
    is_complete: bool,
}

impl Check {
    /// Checks the next bytes.
    ///
    /// # Errors
    ///
    /// [`LoneLineFeed`] if the head holds one. The connection must not be used any more.
    ///
    /// ```
    /// use jacinthfall_net::head::{Check, LoneLineFeed};
    /// let mut check = Check::default();
    /// assert_eq!(check.push(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r"), Ok(()));
    /// assert_eq!(check.push(b"\n\r\na\n"), Ok(()));
    /// assert_eq!(Check::default().push(b"HTTP/1.1 200 OK\r\n\nx: y"), Err(LoneLineFeed));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), LoneLineFeed> {
        for byte in bytes {
            if self.is_complete {
                break;
            }
            self.push_byte(*byte)?;
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), LoneLineFeed> {
        if byte == b'\n' {
            if !self.after_return {
                return Err(LoneLineFeed);
            }
            self.end_line();
        } else {
            if self.lines == 0 && self.column == STATUS_COLUMN {
                self.is_interim = byte == b'1';
            }
            self.column += 1;
        }
        self.after_return = byte == b'\r';
        Ok(())
    }

    fn end_line(&mut self) {
        // The carriage return is the only byte of an empty line.
        let is_empty = self.column == 1;
        self.column = 0;
        match (is_empty, self.lines, self.is_interim) {
            (false, ..) => self.lines += 1,
            (true, 0, _) => {}
            // The head of another response follows.
            (true, _, true) => *self = Check::default(),
            (true, _, false) => self.is_complete = true,
        }
    }
}

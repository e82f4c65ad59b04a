//! Responses that a leaf sends over a connection, and second copies of them.

use std::io::Write;
use std::net::TcpStream;

/// Second copies of responses that a leaf sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Copies {
    /// None.
    #[default]
    None,
    /// A copy of each response, at the point where the next response is expected.
    Exact,
    /// The same without the request id.
    WithoutId,
}

impl Copies {
    /// Returns the copy of a response that is sent later.
    fn of(self, response: &[u8]) -> Vec<u8> {
        match self {
            Copies::None => Vec::new(),
            Copies::Exact => response.to_vec(),
            Copies::WithoutId => without_id(response),
        }
    }
}

/// Returns a response without its request id.
fn without_id(response: &[u8]) -> Vec<u8> {
    let lines = response.split_inclusive(|byte| *byte == b'\n');
    lines.filter(|line| !line.starts_with(b"x-request-id:")).flatten().copied().collect()
}

/// Sends responses over a connection.
pub(super) struct Writer {
    pub(super) stream: TcpStream,
    pub(super) copies: Copies,
    /// Copy of the latest response that is still to be sent.
    copy: Vec<u8>,
}

impl Writer {
    pub(super) fn open(stream: TcpStream) -> Writer {
        Writer { stream, copies: Copies::None, copy: Vec::new() }
    }

    /// Sends a complete response; `None` if the connection ended.
    pub(super) fn send(&mut self, head: &str, body: &[u8]) -> Option<()> {
        let head = format!("{head}content-length: {}\r\n\r\n", body.len());
        let bytes = [head.as_bytes(), body].concat();
        self.stream.write_all(&bytes).ok()?;
        self.copy = self.copies.of(&bytes);
        Some(())
    }

    /// Sends the latest response once more, if there is one to send.
    pub(super) fn send_copy(&mut self) -> Option<()> {
        let copy = std::mem::take(&mut self.copy);
        self.stream.write_all(&copy).ok()
    }
}

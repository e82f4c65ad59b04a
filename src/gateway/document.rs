//! Configuration documents, compressed for the way to other nodes.

use std::io::{self, Read};

use bytes::Bytes;
use jacinthfall_dispatch::transfer::{Edition, Rank};

/// Level of compression: a fraction of a core compresses a megabyte in tens of milliseconds.
const LEVEL: i32 = 3;

/// Maximum size of a document, in bytes. The store takes values up to a megabyte.
const MAX_BYTES: u64 = 8 * 1024 * 1024;

/// A configuration document. It holds keys of organisations.
#[derive(Clone)]
pub struct Document {
    /// Rank and form of `packed`.
    pub edition: Edition,
    /// The compressed text.
    pub packed: Bytes,
    /// The text as stored.
    pub text: Bytes,
}

/// Keys are secret, so only the size of the text is shown.
impl std::fmt::Debug for Document {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let bytes = self.text.len();
        formatter
            .debug_struct("Document")
            .field("edition", &self.edition)
            .field("bytes", &bytes)
            .finish()
    }
}

impl Document {
    /// Compresses a document that was read from the store.
    ///
    /// # Errors
    ///
    /// Any error of the compression.
    ///
    /// ```
    /// use jacinthfall::gateway::document::Document;
    /// use jacinthfall_dispatch::transfer::Rank;
    /// let stored = Document::pack(Rank::default(), b"{}".as_slice().into()).unwrap();
    /// let received = Document::unpack(stored.edition, stored.packed.clone()).unwrap();
    /// assert_eq!(received.text, stored.text);
    /// ```
    pub fn pack(rank: Rank, text: Bytes) -> io::Result<Document> {
        let packed: Bytes = zstd::bulk::compress(&text, LEVEL)?.into();
        Ok(Document { edition: Edition::of(rank, &packed), packed, text })
    }

    /// Decompresses a document that another node sent.
    ///
    /// # Errors
    ///
    /// An error if the bytes are not compressed data or the document is too large.
    pub fn unpack(edition: Edition, packed: Bytes) -> io::Result<Document> {
        let mut text = Vec::new();
        let decoder = zstd::stream::read::Decoder::with_buffer(&*packed)?;
        let length = decoder.take(MAX_BYTES + 1).read_to_end(&mut text)?;
        if length as u64 > MAX_BYTES {
            let reason = format!("the document exceeds {MAX_BYTES} bytes; make it smaller");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(Document { edition, packed, text: text.into() })
    }
}

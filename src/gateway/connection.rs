//! One connection to a leaf, and limits on what the leaf may send over it.
//!
//! A faulty leaf may send a head, interim responses or a body without end. The head has a limit of
//! its own, since hyper skips any number of interim responses, and all bodies that are being
//! received share one, since each of them alone may be large. `stream` applies those on the bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::attribution::{Carried, Id};
use tokio::net::TcpStream;

mod stream;

use stream::{Allowance, Stream};

/// Maximum size of the read buffer of a connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of bytes until a response's head is complete. What hyper reads ahead counts.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Maximum size of a response body of a leaf, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of all response bodies that are being received, in bytes.
const MAX_TOTAL_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Why an exchange produced no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing of the request was sent.
    #[error("the connection was closed before the request was sent; use another one")]
    Unsent,
    /// The request was sent, at least in part.
    #[error("the exchange failed: {0}; check the leaf")]
    Broken(#[from] hyper::Error),
    /// The response isn't final: nothing asked the leaf to switch protocols.
    #[error("the leaf switched protocols without being asked to; check the leaf")]
    Switched,
    /// HTTP defines no such status. hyper fails for numbers below 100, and takes those up to 999.
    #[error("the leaf sent status {0}, which HTTP doesn't define; check the leaf")]
    Undefined(StatusCode),
    /// The body exceeds its limit.
    #[error("the leaf sent a body of more than {MAX_BODY_BYTES} bytes; check the leaf")]
    TooLarge,
    /// All bodies that are being received exceed their common limit.
    #[error("all leafs together send more than {MAX_TOTAL_BODY_BYTES} bytes; check the leafs")]
    OutOfMemory,
}

/// Bytes of the response bodies that are being received, over all connections.
#[derive(Debug, Default)]
pub struct Received(AtomicUsize);

impl Received {
    /// Returns the number of bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Body that is being received. Its bytes count until it is dropped.
struct Body<'a> {
    total: &'a Received,
    bytes: BytesMut,
}

impl Body<'_> {
    fn append(&mut self, data: &Bytes) -> Result<(), Error> {
        self.total.0.fetch_add(data.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(data);
        if self.bytes.len() > MAX_BODY_BYTES {
            return Err(Error::TooLarge);
        }
        if self.total.0.load(Ordering::Relaxed) > MAX_TOTAL_BODY_BYTES {
            return Err(Error::OutOfMemory);
        }
        Ok(())
    }
}

impl Drop for Body<'_> {
    fn drop(&mut self) {
        self.total.0.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// Checks that a status is one of a final response.
fn check_status(status: StatusCode) -> Result<(), Error> {
    match status.as_u16() {
        200..=599 => Ok(()),
        // hyper skips the other interim responses.
        ..200 => Err(Error::Switched),
        600.. => Err(Error::Undefined(status)),
    }
}

/// An open connection that can take one request at a time.
#[derive(Debug)]
pub struct Sender {
    requests: http1::SendRequest<Full<Bytes>>,
    allowance: Arc<Allowance>,
    carried: Carried,
}

impl Sender {
    /// Starts to speak HTTP over a stream. `closed` is dropped when the connection is closed.
    ///
    /// # Errors
    ///
    /// Any error of the connection.
    pub async fn open(
        stream: TcpStream,
        closed: impl Send + 'static,
    ) -> Result<Sender, hyper::Error> {
        let allowance = Arc::new(Allowance::default());
        allowance.expect_head(MAX_HEAD_BYTES);
        let stream = Stream::open(stream, Arc::clone(&allowance));
        let builder = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).to_owned();
        let (mut requests, connection) = builder.handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a leaf failed: {error}");
            }
            drop(closed);
        });
        requests.ready().await?;
        Ok(Sender { requests, allowance, carried: Carried::default() })
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Whether the connection can take a request.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Whether the connection may carry a request. It carries none twice, since a late copy of the
    /// first response couldn't be told from the second one.
    #[must_use]
    pub fn may_carry(&self, now: Time, id: Id) -> bool {
        self.carried.allows(now, id)
    }

    /// Records that the connection carries a request, which may be sent again until `deadline`.
    ///
    /// # Panics
    ///
    /// If it must not carry it; see [`Sender::may_carry`].
    pub fn record_carried(&mut self, now: Time, id: Id, deadline: Time) {
        self.carried.record(now, id, deadline);
    }

    /// Sends a request and receives the whole response.
    ///
    /// # Errors
    ///
    /// See [`Error`]. The connection must not be used again after one.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        received: &Received,
    ) -> Result<Response<Bytes>, Error> {
        self.allowance.expect_head(MAX_HEAD_BYTES);
        let response: Response<Incoming> = match self.requests.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(_) => return Err(Error::Unsent),
                None => return Err(error.into_error().into()),
            },
        };
        check_status(response.status())?;
        // The body has limits of its own; this leaves room for its framing.
        self.allowance.expect(2 * MAX_BODY_BYTES);
        let (head, mut incoming) = response.into_parts();
        let mut body = Body { total: received, bytes: BytesMut::new() };
        while let Some(frame) = incoming.frame().await {
            if let Some(data) = frame?.data_ref() {
                body.append(data)?;
            }
        }
        let bytes = std::mem::take(&mut body.bytes).freeze();
        received.0.fetch_sub(bytes.len(), Ordering::Relaxed);
        Ok(Response::from_parts(head, bytes))
    }
}

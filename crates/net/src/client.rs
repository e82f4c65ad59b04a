//! HTTP/2 client connection that multiplexes requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::{Bytes, BytesMut};
use h2::client::{Builder, SendRequest};
use h2::{Ping, RecvStream};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::progress::{Limits, Progress};
use crate::{Error, MAX_BODY_BYTES};

/// Flow control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Flow control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// A client connection. Clones share it, and it is closed when the last clone is
/// dropped.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    sender: SendRequest<Bytes>,
    /// Set when the connection is closed.
    closed: Arc<AtomicBool>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Client {
    /// Connects to `address` and waits for a ping round trip.
    ///
    /// A peer at its connection limit accepts a connection and closes it immediately.
    /// The round trip detects this before any request is sent. Otherwise it would be
    /// unknown whether a request on such a connection was processed.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the peer can't be reached or speaks another protocol.
    pub async fn open(address: SocketAddr) -> Result<Client, Error> {
        let stream = TcpStream::connect(address).await.map_err(to_unsent)?;
        stream.set_nodelay(true).map_err(to_unsent)?;
        let mut builder = Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let (sender, mut connection) = builder.handshake(stream).await.map_err(to_unsent)?;
        let mut pings = connection.ping_pong().expect("ping_pong is called once per connection");
        let closed = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&closed);
        tokio::spawn(async move {
            // Every open stream gets the error too, so it can be ignored here.
            let _ = connection.await;
            flag.store(true, Ordering::Release);
        });
        pings.ping(Ping::opaque()).await.map_err(to_unsent)?;
        Ok(Client { address, sender, closed })
    }

    /// Returns the address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection is known to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Sends a POST request and waits for the complete response.
    ///
    /// Dropping the future resets the stream, which tells the peer to cancel.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. Only [`Error::Unsent`] guarantees that the peer did not process
    /// the request.
    pub async fn post(
        &self,
        path: &str,
        headers: &[(&'static str, HeaderValue)],
        body: Bytes,
    ) -> Result<Response, Error> {
        let (head, mut incoming) = self.send(path, headers, body).await?;
        let body = read_body(&mut incoming).await?;
        Ok(Response { status: head.status, headers: head.headers, body })
    }

    /// Sends a POST request and waits for the complete response, within limits.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Timeout`] if a limit is exceeded.
    pub async fn post_within(
        &self,
        path: &str,
        headers: &[(&'static str, HeaderValue)],
        body: Bytes,
        limits: Limits,
    ) -> Result<Response, Error> {
        let mut progress = Progress::open(limits);
        let (head, mut incoming) = progress.wait(self.send(path, headers, body)).await??;
        let mut body = BytesMut::new();
        while progress.wait(read_chunk(&mut incoming, &mut body)).await?? {
            progress.received = body.len();
        }
        Ok(Response { status: head.status, headers: head.headers, body: body.freeze() })
    }

    /// Sends a POST request and waits for the head of the response.
    async fn send(
        &self,
        path: &str,
        headers: &[(&'static str, HeaderValue)],
        body: Bytes,
    ) -> Result<(http::response::Parts, RecvStream), Error> {
        let request = self.request(path, headers)?;
        let mut sender = self.sender.clone().ready().await.map_err(to_unsent)?;
        let (response, mut stream) = sender.send_request(request, false).map_err(to_unsent)?;
        stream.send_data(body, true).map_err(to_error)?;
        Ok(response.await.map_err(to_error)?.into_parts())
    }

    /// Opens a stream and sends `chunks` to the peer until the channel is closed.
    ///
    /// # Errors
    ///
    /// Any [`Error`]. Chunks that were already received from the channel may be lost.
    pub async fn stream(
        &self,
        path: &str,
        headers: &[(&'static str, HeaderValue)],
        chunks: &mut mpsc::Receiver<Bytes>,
    ) -> Result<(), Error> {
        let request = self.request(path, headers)?;
        let mut sender = self.sender.clone().ready().await.map_err(to_unsent)?;
        let (mut response, mut stream) = sender.send_request(request, false).map_err(to_unsent)?;
        loop {
            tokio::select! {
                result = &mut response => {
                    let status = result.map_err(to_error)?.status();
                    return Err(Error::Broken(format!("peer ended the stream with {status}")));
                }
                chunk = chunks.recv() => match chunk {
                    Some(chunk) => send_chunk(&mut stream, chunk).await?,
                    None => return stream.send_data(Bytes::new(), true).map_err(to_error),
                }
            }
        }
    }

    fn request(
        &self,
        path: &str,
        headers: &[(&'static str, HeaderValue)],
    ) -> Result<Request<()>, Error> {
        let uri = format!("http://{}{path}", self.address);
        let mut request =
            Request::builder().method(Method::POST).uri(uri).body(()).map_err(to_unsent)?;
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.clone());
        }
        Ok(request)
    }
}

/// Sends a chunk as flow control allows.
async fn send_chunk(stream: &mut h2::SendStream<Bytes>, mut chunk: Bytes) -> Result<(), Error> {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or_else(|| Error::Broken("stream closed".into()))?;
        let granted = granted.map_err(to_error)?;
        let part = chunk.split_to(granted.min(chunk.len()));
        stream.send_data(part, false).map_err(to_error)?;
    }
    Ok(())
}

/// Reads a body to its end, releasing flow control capacity as it goes.
pub(crate) async fn read_body(stream: &mut RecvStream) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    while read_chunk(stream, &mut body).await? {}
    Ok(body.freeze())
}

/// Reads the next chunk of a body and releases its flow control capacity. Returns `false` at
/// the end of the body.
async fn read_chunk(stream: &mut RecvStream, body: &mut BytesMut) -> Result<bool, Error> {
    let Some(chunk) = stream.data().await else { return Ok(false) };
    let chunk = chunk.map_err(to_error)?;
    if body.len() + chunk.len() > MAX_BODY_BYTES {
        return Err(Error::TooLarge);
    }
    body.extend_from_slice(&chunk);
    stream.flow_control().release_capacity(chunk.len()).map_err(to_error)?;
    Ok(true)
}

fn to_unsent(error: impl std::fmt::Display) -> Error {
    Error::Unsent(error.to_string())
}

/// Converts an error on a stream whose request was sent.
///
/// A stream that the peer refused is guaranteed to be unprocessed (RFC 9113, section 8.7).
fn to_error(error: h2::Error) -> Error {
    if error.is_remote() && error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return Error::Unsent(error.to_string());
    }
    Error::Broken(error.to_string())
}

//! HTTP/2 server that passes requests to a handler.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream};
use http::{HeaderMap, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::acceptor::Acceptor;
use crate::client::read_body;

/// Maximum number of concurrent streams on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 10_000;

/// Flow control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Maximum number of received chunks that wait for [`Handler::stream`] to read them.
const MAX_QUEUED_CHUNKS: usize = 64;

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// Path, without the query string.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Body.
    pub body: Bytes,
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without headers.
    ///
    /// ```
    /// use jacinthfall_net::server::Response;
    /// let response = Response::new(http::StatusCode::OK, "hi");
    /// assert_eq!(&response.body[..], b"hi");
    /// ```
    #[must_use]
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Response {
        Response { status, body: body.into() }
    }
}

/// Handles the requests and connections of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the peer resets the stream.
    ///
    /// Returning `None` resets the stream without a response.
    fn handle(&self, request: Request) -> impl Future<Output = Option<Response>> + Send;

    /// Called for each new connection. The HTTP/2 handshake starts after it completes.
    fn on_connect(&self, _peer: SocketAddr) -> impl Future<Output = ()> + Send {
        async {}
    }

    /// Called when a connection was closed because of the connection limit.
    fn on_limit_exceeded(&self, _peer: SocketAddr) {}

    /// Returns whether requests to `path` are passed to [`Handler::stream`], instead of
    /// [`Handler::handle`].
    fn is_stream(&self, _path: &str) -> bool {
        false
    }

    /// Handles a request whose body is read as a stream of chunks. The stream ends when
    /// the future completes.
    fn stream(
        &self,
        _request: Request,
        _chunks: mpsc::Receiver<Bytes>,
    ) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Binds `address` and serves until the server is stopped or dropped.
    ///
    /// At most `connections` connections are open at a time. Further ones are closed
    /// immediately.
    ///
    /// # Errors
    ///
    /// Any error of the operating system while binding.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        connections: usize,
        handler: H,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(accept(listener, Arc::new(Semaphore::new(connections)), handler, stopped));
        Ok(Server { address, stop })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: stops accepting connections, and closes each open one after
    /// its requests in flight have completed.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    permits: Arc<Semaphore>,
    handler: H,
    mut stopped: watch::Receiver<bool>,
) {
    let handler = Arc::new(handler);
    let mut acceptor = Acceptor::open(listener);
    loop {
        let (stream, peer) = tokio::select! {
            accepted = acceptor.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            handler.on_limit_exceeded(peer);
            continue;
        };
        let handler = Arc::clone(&handler);
        let stopped = stopped.clone();
        tokio::spawn(async move {
            serve_connection(stream, peer, handler, stopped).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    mut stopped: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    handler.on_connect(peer).await;
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    let Ok(mut connection) = builder.handshake(stream).await else { return };
    let mut stopping = false;
    loop {
        let next = tokio::select! {
            next = connection.accept() => next,
            _ = stopped.changed(), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(Ok((request, respond))) = next else { return };
        tokio::spawn(serve_request(request, peer, Arc::clone(&handler), respond));
    }
}

async fn serve_request<H: Handler>(
    request: http::Request<RecvStream>,
    peer: SocketAddr,
    handler: Arc<H>,
    mut respond: SendResponse<Bytes>,
) {
    let (head, mut incoming) = request.into_parts();
    let mut request =
        Request { path: head.uri.path().into(), headers: head.headers, peer, body: Bytes::new() };
    if handler.is_stream(&request.path) {
        serve_stream(request, incoming, &*handler, respond).await;
        return;
    }
    let Ok(body) = read_body(&mut incoming).await else { return };
    request.body = body;
    let response = tokio::select! {
        response = handler.handle(request) => response,
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return,
    };
    match response {
        Some(response) => send_response(&mut respond, response),
        None => respond.send_reset(Reason::INTERNAL_ERROR),
    }
}

async fn serve_stream<H: Handler>(
    request: Request,
    mut incoming: RecvStream,
    handler: &H,
    mut respond: SendResponse<Bytes>,
) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let read = async move {
        while let Some(Ok(chunk)) = incoming.data().await {
            let length = chunk.len();
            if sender.send(chunk).await.is_err() {
                return;
            }
            if incoming.flow_control().release_capacity(length).is_err() {
                return;
            }
        }
    };
    tokio::join!(read, handler.stream(request, receiver));
    send_response(&mut respond, Response::new(StatusCode::OK, Bytes::new()));
}

fn send_response(respond: &mut SendResponse<Bytes>, response: Response) {
    let mut head = http::Response::new(());
    *head.status_mut() = response.status;
    // An error means that the peer is gone, so there is nobody to report it to.
    if let Ok(mut stream) = respond.send_response(head, response.body.is_empty())
        && !response.body.is_empty()
    {
        let _ = stream.send_data(response.body, true);
    }
}

//! HTTP server for callers.

use crate::CallerApi;
use crate::route::{self, Context};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 64;
/// Maximum size of a request's head in bytes.
const HEAD_MAX: usize = 32 << 10;

/// Builder of a [`Server`].
#[derive(Clone, Debug)]
pub struct ServerBuilder {
    listen: SocketAddr,
    max_connections: usize,
    max_body: usize,
    head_timeout: Duration,
}

impl ServerBuilder {
    /// Sets the maximum number of open connections; further ones wait to be
    /// accepted.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.max_connections = count;
        self
    }

    /// Sets the maximum size of a request's body in bytes.
    #[must_use]
    pub fn max_body(mut self, bytes: usize) -> Self {
        self.max_body = bytes;
        self
    }

    /// Sets the timeout for reading a request's head, which also limits the idle
    /// time of a connection.
    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Binds the address and starts to serve callers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(self, api: Arc<dyn CallerApi>) -> std::io::Result<Server> {
        let listener = TcpListener::bind(self.listen).await?;
        let local_addr = listener.local_addr()?;
        let open = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(accept(self, listener, api, open.clone()));
        Ok(Server {
            local_addr,
            open,
            task,
        })
    }
}

/// Running HTTP server for callers.
#[derive(Debug)]
pub struct Server {
    local_addr: SocketAddr,
    open: Arc<AtomicUsize>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Returns a builder with default limits.
    pub fn builder(listen: SocketAddr) -> ServerBuilder {
        ServerBuilder {
            listen,
            max_connections: 1_024,
            max_body: 1 << 20,
            head_timeout: Duration::from_secs(10),
        }
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Stops accepting connections; open ones are still served.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }
}

async fn accept(
    builder: ServerBuilder,
    listener: TcpListener,
    api: Arc<dyn CallerApi>,
    open: Arc<AtomicUsize>,
) {
    let permits = Arc::new(Semaphore::new(builder.max_connections));
    let context = Arc::new(Context {
        api,
        max_body: builder.max_body,
    });
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((tcp, _)) = listener.accept().await else {
            // The usual cause is a lack of file descriptors, so wait for some to be
            // freed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let context = context.clone();
        let open = open.clone();
        let head_timeout = builder.head_timeout;
        tokio::spawn(async move {
            open.fetch_add(1, Ordering::Relaxed);
            serve(context, tcp, head_timeout).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
}

async fn serve(context: Arc<Context>, tcp: TcpStream, head_timeout: Duration) {
    // Without this, Nagle's algorithm would delay small events.
    let _ = tcp.set_nodelay(true);
    let stalled = Arc::new(Notify::new());
    let on_stall = stalled.clone();
    let service = service_fn(move |request| {
        let context = context.clone();
        let stalled = stalled.clone();
        async move { Ok::<_, Infallible>(route::serve(&context, request, stalled).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_MAX)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::select! {
        _ = connection => {}
        () = on_stall.notified() => {}
    }
}

//! The listening socket for callers.

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

/// Most headers of one request.
const HEADERS_MAX: usize = 64;
/// Most bytes of a request's head.
const HEAD_MAX: usize = 32 << 10;

/// Builder of a [`Server`].
#[derive(Clone, Debug)]
pub struct ServerBuilder {
    listen: SocketAddr,
    connections: usize,
    body_max: usize,
    head_timeout: Duration,
}

impl ServerBuilder {
    /// Most connections at once; further ones wait to be accepted.
    #[must_use]
    pub fn max_connections(mut self, most: usize) -> Self {
        self.connections = most;
        self
    }

    /// Most bytes of a request's body.
    #[must_use]
    pub fn max_body(mut self, bytes: usize) -> Self {
        self.body_max = bytes;
        self
    }

    /// Time for a request's head, and for which a connection may be idle.
    #[must_use]
    pub fn head_timeout(mut self, time: Duration) -> Self {
        self.head_timeout = time;
        self
    }

    /// Opens the socket and serves callers.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn start(self, api: Arc<dyn CallerApi>) -> std::io::Result<Server> {
        let listener = TcpListener::bind(self.listen).await?;
        let local = listener.local_addr()?;
        let open = Arc::new(AtomicUsize::new(0));
        let task = tokio::spawn(accept(self, listener, api, open.clone()));
        Ok(Server { local, open, task })
    }
}

/// The caller interface of one instance.
#[derive(Debug)]
pub struct Server {
    local: SocketAddr,
    open: Arc<AtomicUsize>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts a builder.
    pub fn builder(listen: SocketAddr) -> ServerBuilder {
        ServerBuilder {
            listen,
            connections: 1_024,
            body_max: 1 << 20,
            head_timeout: Duration::from_secs(10),
        }
    }

    /// Address on which callers are served.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Accepts no further connection; open ones go on.
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
    let permits = Arc::new(Semaphore::new(builder.connections));
    let context = Arc::new(Context {
        api,
        body_max: builder.body_max,
    });
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((tcp, _)) = listener.accept().await else {
            // Most likely out of file descriptors: wait for some to be freed.
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
    // Tokens are small and must not wait for each other.
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

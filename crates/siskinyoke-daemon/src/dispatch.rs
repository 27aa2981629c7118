//! Dispatches to endpoints, each on a connection of its own.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::Event as StreamEvent;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use siskinyoke_base::Route;
use siskinyoke_control::DispatchSpec;
use siskinyoke_control::core::DispatchNews;

/// The data of the event that ends a whole stream.
const TERMINATOR: &str = "[DONE]";

/// How much longer than a connection's limit may pass before sending; more means that the
/// process stood still.
const SLACK: Duration = Duration::from_secs(1);

/// Makes dispatches on the tokio runtime.
///
/// Each takes a fresh connection. A pooled one may turn out closed when the request is already
/// on its way, and then nobody can tell whether the endpoint ran it; with a fresh one a refused
/// connection proves that nothing was sent, and closing it cancels just this request.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    handle: Handle,
    limits: Arc<DispatchLimits>,
}

/// Bounds on each dispatch.
#[derive(Debug, Clone)]
pub struct DispatchLimits {
    /// The most time to wait for a connection.
    pub connect: Duration,
    /// The most bytes of an answer that is not streamed.
    pub answer: usize,
}

impl Dispatcher {
    /// Makes a dispatcher on a runtime.
    pub fn new(handle: Handle, limits: DispatchLimits) -> Self {
        Self {
            handle,
            limits: Arc::new(limits),
        }
    }

    /// Starts a dispatch; aborting the handle cancels it by closing its connection.
    pub fn start(
        &self,
        spec: DispatchSpec,
        news: impl Fn(DispatchNews) + Send + Sync + 'static,
    ) -> AbortHandle {
        let limits = self.limits.clone();
        let task = self.handle.spawn(async move {
            let limit = spec.limit.into();
            let last = match timeout(limit, run(&spec, &limits, &news)).await {
                Ok(last) => last,
                Err(_) => DispatchNews::TimedOut,
            };
            news(last);
        });
        task.abort_handle()
    }
}

impl Dispatcher {
    /// Tries to connect to an endpoint, and tells whether it accepted.
    pub fn probe(&self, address: String, tell: impl FnOnce(bool) + Send + 'static) {
        let limit = self.limits.connect;
        self.handle.spawn(async move {
            let reached = timeout(limit, TcpStream::connect(&address)).await;
            match reached {
                Ok(Ok(_)) => tell(true),
                Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => tell(false),
                // A host that does not answer proves nothing about its process.
                _ => {}
            }
        });
    }
}

/// Runs a dispatch and returns its last news.
async fn run(
    spec: &DispatchSpec,
    limits: &DispatchLimits,
    news: &(impl Fn(DispatchNews) + Sync),
) -> DispatchNews {
    let begun = Instant::now();
    let stream = match timeout(limits.connect, TcpStream::connect(&spec.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => {
            return unreachable(&err.to_string(), err.kind() == ErrorKind::ConnectionRefused);
        }
        Err(_) => {
            return unreachable("no connection in time", false);
        }
    };
    // Pieces are small and each one counts, so none waits for the next.
    let _ = stream.set_nodelay(true);
    let request = match request(spec) {
        Ok(request) => request,
        Err(err) => {
            return unreachable(&err.to_string(), false);
        }
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(pair) => pair,
        Err(err) => {
            return unreachable(&err.to_string(), false);
        }
    };
    // A process that was frozen since the core decided wakes up here: its caller may long have
    // been answered elsewhere, so the core decides again with the present time.
    if begun.elapsed() > limits.connect + SLACK {
        return unreachable("held up before sending", false);
    }
    // It ends when the request and its answer are dropped.
    let connection = AbortOnDrop(tokio::spawn(connection).abort_handle());
    // From here on a first byte may have left.
    let last = match sender.send_request(request).await {
        Ok(response) => answer(response, limits, news).await,
        Err(err) => DispatchNews::Broken {
            detail: err.to_string(),
        },
    };
    drop(connection);
    last
}

fn unreachable(detail: &str, refused: bool) -> DispatchNews {
    DispatchNews::Unreachable {
        detail: detail.to_owned(),
        refused,
    }
}

fn request(spec: &DispatchSpec) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let (method, path) = match &spec.head.route {
        Route::Chat { .. } => ("POST", "/v1/chat/completions"),
        Route::Service { method, path, .. } => (method.as_str(), path.as_str()),
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, &spec.address)
        .header("X-Request-Id", &spec.name);
    if !spec.head.content.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, &spec.head.content);
    }
    if spec.resume > 0 {
        builder = builder.header("X-Resume-From", spec.resume);
    }
    builder.body(Full::new(spec.head.body.clone()))
}

async fn answer(
    response: Response<Incoming>,
    limits: &DispatchLimits,
    news: &(impl Fn(DispatchNews) + Sync),
) -> DispatchNews {
    let status = response.status().as_u16();
    let content = response.headers().get(header::CONTENT_TYPE);
    let content = content
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let stream = content.starts_with("text/event-stream");
    news(DispatchNews::Head {
        status,
        content,
        stream,
    });
    if stream {
        return stream_events(response, news).await;
    }
    match Limited::new(response.into_body(), limits.answer)
        .collect()
        .await
    {
        Ok(body) => {
            news(DispatchNews::Piece(body.to_bytes()));
            DispatchNews::Whole
        }
        Err(err) => DispatchNews::Broken {
            detail: err.to_string(),
        },
    }
}

async fn stream_events(
    response: Response<Incoming>,
    news: &(impl Fn(DispatchNews) + Sync),
) -> DispatchNews {
    let mut events = response.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        match event {
            Ok(event) if event.data == TERMINATOR => return DispatchNews::Whole,
            Ok(event) => news(DispatchNews::Piece(write_event(&event))),
            Err(err) => {
                return DispatchNews::Broken {
                    detail: err.to_string(),
                };
            }
        }
    }
    // A connection that closes before the terminator would look like a short, whole answer.
    DispatchNews::Broken {
        detail: "the stream ended without its terminator".into(),
    }
}

/// Writes an event as it goes to the caller.
fn write_event(event: &StreamEvent) -> Bytes {
    let mut text = String::with_capacity(event.data.len() + 16);
    if event.event != "message" {
        text.push_str("event: ");
        text.push_str(&event.event);
        text.push('\n');
    }
    for line in event.data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}

/// Ends a connection's task with the dispatch that it serves, also when that is aborted.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

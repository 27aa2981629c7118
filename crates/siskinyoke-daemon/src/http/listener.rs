//! Listens for callers, within limits that keep one from harming another.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::channel;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::answer;
use super::answer::AnswerBody;
use super::read;
use super::read::Target;
use crate::metrics::Metrics;
use crate::runtime::Input;
use crate::runtime::PARTS_WAITING;
use crate::settings::CallerSettings;
use siskinyoke_base::CallHead;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_control::CallId;
use siskinyoke_control::core::Core;
use siskinyoke_control::core::Event;
use siskinyoke_control::core::honest;

/// Connections above the limit that are still told why they are refused.
const REFUSING: usize = 64;

/// Bytes of a header section that are read before it is refused with a code of ours; past it
/// the library closes the connection with a bare 431.
const HARD_HEAD: usize = 64 << 10;

/// The listener for callers.
#[derive(Clone)]
pub struct Listener {
    inner: Arc<Inner>,
}

struct Inner {
    inputs: mpsc::Sender<Input>,
    metrics: Metrics,
    settings: CallerSettings,
    calls: AtomicU64,
    open: Arc<Semaphore>,
    refusing: Arc<Semaphore>,
}

/// What a listener is made with.
pub struct ListenerParts {
    /// The way to the core.
    pub inputs: mpsc::Sender<Input>,
    /// Metrics.
    pub metrics: Metrics,
    /// Limits.
    pub settings: CallerSettings,
}

/// One caller's exchange; tells the core if it is dropped before its end.
pub struct Exchange {
    call: CallId,
    begun: Instant,
    begun_answer: bool,
    done: bool,
    inner: Arc<Inner>,
}

impl Exchange {
    /// Notes a piece of the answer.
    pub fn piece(&mut self) {
        if !self.begun_answer {
            self.begun_answer = true;
            self.inner
                .metrics
                .first_piece(self.begun.elapsed().as_secs_f64());
        }
    }

    /// Notes the end of the answer.
    pub fn ended(&mut self, code: Code) {
        self.done = true;
        self.inner.metrics.answered(code);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.done {
            // A closed channel means that the daemon has stopped.
            let _ = self
                .inner
                .inputs
                .send(Input::Event(Event::Gone { call: self.call }));
        }
    }
}

impl Listener {
    /// Makes a listener.
    pub fn new(parts: ListenerParts) -> Self {
        let open = Arc::new(Semaphore::new(parts.settings.connections));
        Self {
            inner: Arc::new(Inner {
                inputs: parts.inputs,
                metrics: parts.metrics,
                settings: parts.settings,
                calls: AtomicU64::new(1),
                open,
                refusing: Arc::new(Semaphore::new(REFUSING)),
            }),
        }
    }

    /// Accepts connections until the runtime stops.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.connected(stream),
                Err(err) => {
                    // Mostly too many open files; others end in the meantime.
                    log::warn!("a connection cannot be accepted: {err}");
                    tokio::time::sleep(Millis(50).into()).await;
                }
            }
        }
    }

    /// Serves a connection, or tells it that there are too many.
    ///
    /// Guards against a caller that opens connections without end: each takes memory, and
    /// past the limit for open files nobody could connect.
    fn connected(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let inner = self.inner.clone();
        let open = self.inner.open.clone().try_acquire_owned();
        let refused = open.is_err();
        let Ok(permit) = open.or_else(|_| self.inner.refusing.clone().try_acquire_owned()) else {
            return;
        };
        tokio::spawn(async move {
            let patience = inner.settings.patience;
            let service = service_fn(|request| {
                let inner = inner.clone();
                async move { Ok::<_, Infallible>(serve(inner, request, refused).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Some(patience.into()))
                .max_buf_size(HARD_HEAD)
                .keep_alive(!refused)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(err) = connection.await {
                log::debug!("a connection ended: {err}");
            }
            drop(permit);
        });
    }
}

async fn serve(
    inner: Arc<Inner>,
    request: Request<Incoming>,
    refused: bool,
) -> Response<AnswerBody> {
    let past = read::past(request.headers());
    let answer = if refused {
        Err(End::new(Code::TooManyConnections).after(Millis::from_secs(1)))
    } else {
        route(&inner, request).await
    };
    answer.unwrap_or_else(|end| {
        let end = honest(end, past);
        inner.metrics.answered(end.code);
        answer::refused(&end)
    })
}

async fn route(
    inner: &Arc<Inner>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, End> {
    check_head(inner, &request)?;
    let target = read::target(request.method(), request.uri())?;
    match target {
        Target::Health => Ok(answer::plain(
            StatusCode::OK,
            "text/plain",
            b"ok\n".to_vec(),
        )),
        Target::Metrics => {
            let page = inner.metrics.page();
            Ok(answer::plain(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                page,
            ))
        }
        Target::Models => models(inner, read::bearer(request.headers())?).await,
        Target::Locate => {
            let bearer = read::bearer(request.headers())?;
            exchange(inner, |call| Event::Locate { call, bearer }).await
        }
        Target::Admin => {
            let (parts, body) = request.into_parts();
            let body = read_body(inner, body).await?;
            let head = Box::new(read::admin(&parts, body)?);
            exchange(inner, |call| Event::Admin { call, head }).await
        }
        Target::Chat => {
            let (parts, body) = request.into_parts();
            let body = read_body(inner, body).await?;
            submit(inner, read::chat(&parts.headers, body)?).await
        }
        Target::Service { name, path } => {
            let (parts, body) = request.into_parts();
            let body = read_body(inner, body).await?;
            let head = read::service_call(&parts.method, &name, path, &parts.headers, body)?;
            submit(inner, head).await
        }
    }
}

async fn submit(inner: &Arc<Inner>, head: CallHead) -> Result<Response<AnswerBody>, End> {
    let head = Box::new(head);
    exchange(inner, |call| Event::Arrive { call, head }).await
}

/// Opens an exchange with the core and writes its answer.
async fn exchange(
    inner: &Arc<Inner>,
    event: impl FnOnce(CallId) -> Event,
) -> Result<Response<AnswerBody>, End> {
    let call = CallId(inner.calls.fetch_add(1, Ordering::Relaxed));
    let (sender, parts) = channel(PARTS_WAITING);
    let exchange = Exchange {
        call,
        begun: Instant::now(),
        begun_answer: false,
        done: false,
        inner: inner.clone(),
    };
    let input = Input::Open {
        call,
        parts: sender,
        event: event(call),
    };
    if inner.inputs.send(input).is_err() {
        return Err(End::new(Code::Leaving).after(Millis::from_secs(1)));
    }
    Ok(answer::write(exchange, parts).await)
}

/// Lists the models and services that the caller's organisation may call.
async fn models(inner: &Arc<Inner>, bearer: [u8; 32]) -> Result<Response<AnswerBody>, End> {
    let names = look(inner, move |core| {
        let view = core.view();
        let organisation = view.caller(&bearer)?;
        let routes = &view.doc.organisations.get(organisation)?.routes;
        let mut names: Vec<_> = routes.iter().map(|route| route.target.clone()).collect();
        names.sort();
        names.dedup();
        Some(names)
    })
    .await
    .flatten()
    .ok_or_else(|| End::new(Code::WrongKey))?;
    let model = |name| serde_json::json!({"id": name, "object": "model", "owned_by": "siskinyoke"});
    let data: Vec<_> = names.iter().map(model).collect();
    let body = serde_json::json!({"object": "list", "data": data}).to_string();
    Ok(answer::plain(
        StatusCode::OK,
        "application/json",
        body.into_bytes(),
    ))
}

/// Looks at the core; returns nothing if the daemon has stopped.
async fn look<T: Send + 'static>(
    inner: &Inner,
    look: impl FnOnce(&Core) -> T + Send + 'static,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    let input = Input::Look(Box::new(move |core| drop(sender.send(look(core)))));
    inner.inputs.send(input).ok()?;
    receiver.await.ok()
}

fn check_head(inner: &Inner, request: &Request<Incoming>) -> Result<(), End> {
    let fields = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let size = fields.sum::<usize>() + request.uri().to_string().len();
    let limit = inner.settings.head;
    if size > limit {
        let detail = format!("{size} bytes were sent, {limit} are allowed");
        return Err(End::new(Code::HeadTooLarge).detail(detail));
    }
    Ok(())
}

/// Reads a body within its limits of size and time.
async fn read_body(inner: &Inner, body: Incoming) -> Result<Bytes, End> {
    let limit = inner.settings.body;
    let whole = Limited::new(body, limit).collect();
    let Ok(read) = timeout(inner.settings.patience.into(), whole).await else {
        return Err(End::new(Code::SlowSender).after(Millis::ZERO));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("{limit} bytes are allowed");
            Err(End::new(Code::BodyTooLarge).detail(detail))
        }
        Err(_) => Err(End::new(Code::Malformed).detail("the body broke off")),
    }
}

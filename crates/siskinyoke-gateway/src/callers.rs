//! Handles requests of callers: checks, routes and admits them, and returns the responses.

mod hold;

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::yield_now;

use crate::attempt::EndpointRequest;
use crate::chunk_channel;
use crate::events::EventBuffer;
use crate::job::CallerChannel;
use crate::job::Job;
use crate::job::REQUEST_BYTES;
use crate::job::ResponseStart;
use crate::job::progress::Progress;
use crate::lending;
use crate::permit::Permit;
use crate::request_body;
use crate::request_body::BodyError;
use crate::response;
use crate::response::ChunkStream;
use crate::response::ResponseBody;
use crate::shell::RefusalInfo;
use crate::shell::Shell;
use crate::unread_body;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::CallerLimits;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::StreamEvidence;
use siskinyoke_dispatch::StreamKey;
use siskinyoke_dispatch::StreamQuestion;
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_dispatch::core::RoutedRequest;
use siskinyoke_dispatch::stable_hash;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Resumption;

/// Retry delay sent when the memory for clients is used up.
const MEMORY_RETRY_AFTER: Millis = Millis(500);

/// A request that was routed, and the IDs that its caller gave.
struct AcceptedRequest {
    id: Option<String>,
    // Of the request that began the stream with which this one goes on.
    resumed_id: Option<String>,
    // Whether it goes on with a stream.
    resumed: bool,
    routed: RoutedRequest,
}

impl AcceptedRequest {
    // Returns whether its caller takes a stream up.
    fn takes_up(&self) -> bool {
        self.resumed && self.routed.is_stream()
    }

    // Returns the key of the stream that it begins or goes on with, if its caller may take that up.
    fn stream_key(&self) -> Option<StreamKey> {
        if !self.routed.is_stream() || !self.routed.route.resumable {
            return None;
        }
        let id = if self.resumed {
            self.resumed_id.as_deref()
        } else {
            self.id.as_deref()
        };
        let organisation = self.routed.organisation.as_ref().map(|it| &*it.name);
        Some(StreamKey::new(organisation, id?))
    }
}

/// When a request arrived, and whether it was held.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Millis,
    // Whether the request was held until a configuration was known.
    held: bool,
}

/// Serves a request of a caller.
pub async fn serve(shell: Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    shell.last_arrival.set(shell.now());
    let response = handle(&shell, request).await;
    if shell.core.borrow().is_shutting_down() {
        return unread_body::closing(response);
    }
    response
}

async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let arrival = Arrival {
        at: shell.now(),
        held: false,
    };
    let limits = shell.core.borrow().configuration().map(|it| it.limits);
    let Some(limits) = limits else {
        return handle_unconfigured(shell, parts, body, arrival).await;
    };
    if let Some(refused) = check_head_size(shell, &parts, limits) {
        return unread_body::respond_before(refused, body).await;
    }
    if shell.interface.exchange.needs_body(&parts) {
        handle_by_body(shell, parts, body, limits, arrival).await
    } else {
        handle_by_head(shell, parts, body, limits, arrival).await
    }
}

// Nothing about the request can be checked before a configuration is known, so it is read and held
// first.
async fn handle_unconfigured(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Incoming,
    arrival: Arrival,
) -> Response<ResponseBody> {
    let (limits, body) = match hold::until_configured(shell, &parts, body).await {
        Ok(received) => received,
        Err(refusal) => {
            let id = shell.interface.exchange.request_id(&parts);
            let response = refuse(shell, RefusalInfo::unrouted(id), refusal);
            return unread_body::closing(response);
        }
    };
    if let Some(refused) = check_head_size(shell, &parts, limits) {
        return refused;
    }
    if body.len() > limits.max_body {
        return reject_body(shell, None, BodyError::TooLarge);
    }
    let arrival = Arrival {
        held: true,
        ..arrival
    };
    handle_buffered(shell, parts, body, arrival).await
}

fn check_head_size(
    shell: &Shell,
    parts: &Parts,
    limits: CallerLimits,
) -> Option<Response<ResponseBody>> {
    let size = head_size(parts);
    if size <= limits.max_head {
        return None;
    }
    shell.log("head_refused", json!({ "bytes": size }));
    let response = shell.interface.exchange.error_response(Code::HeadTooLarge);
    Some(response::from_buffered(response))
}

// Routes by the head alone, so that the body of a rejected request is never read.
async fn handle_by_head(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Incoming,
    limits: CallerLimits,
    arrival: Arrival,
) -> Response<ResponseBody> {
    let accepted = match decode_and_route(shell, &parts, &[], arrival).await {
        Ok(accepted) => accepted,
        Err(refused) => return unread_body::respond_before(*refused, body).await,
    };
    let remaining = accepted.routed.deadline.since(shell.now());
    match request_body::read(&shell.clients.bodies, limits.max_body, remaining, body).await {
        Ok(body) => {
            let outgoing = endpoint_request(shell, parts, &accepted.routed, body);
            admit(shell, accepted, outgoing, arrival).await
        }
        Err(error) => {
            shell.core.borrow_mut().refund(&accepted.routed);
            let response = reject_body(shell, accepted.id.as_deref(), error);
            unread_body::closing(response)
        }
    }
}

// Reads the body first, because the head alone does not determine the route. The route's timeout is
// unknown until then, so the time limit for heads applies.
async fn handle_by_body(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Incoming,
    limits: CallerLimits,
    arrival: Arrival,
) -> Response<ResponseBody> {
    let time_limit = limits.head_timeout;
    let body =
        match request_body::read(&shell.clients.bodies, limits.max_body, time_limit, body).await {
            Ok(body) => body,
            Err(error) => return unread_body::closing(reject_body(shell, None, error)),
        };
    handle_buffered(shell, parts, body, arrival).await
}

// Routes and admits a request whose body has been read.
async fn handle_buffered(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Bytes,
    arrival: Arrival,
) -> Response<ResponseBody> {
    match decode_and_route(shell, &parts, &body, arrival).await {
        Ok(accepted) => {
            let outgoing = endpoint_request(shell, parts, &accepted.routed, body);
            admit(shell, accepted, outgoing, arrival).await
        }
        Err(refused) => *refused,
    }
}

// Returns the size of a request head on the wire, separators included.
fn head_size(parts: &Parts) -> usize {
    const LINE_OVERHEAD_BYTES: usize = "  HTTP/1.1\r\n".len();
    const FIELD_OVERHEAD_BYTES: usize = ": \r\n".len();
    let target = parts.uri.path_and_query();
    let target = target.map_or(0, |it| it.as_str().len());
    let request_line = parts.method.as_str().len() + target + LINE_OVERHEAD_BYTES;
    let fields = parts.headers.iter();
    fields.fold(request_line, |sum, field| {
        sum + field.0.as_str().len() + field.1.len() + FIELD_OVERHEAD_BYTES
    })
}

// Decodes a request and checks its key, route and quota. Returns the response for the caller if it
// is not accepted.
async fn decode_and_route(
    shell: &Shell,
    parts: &Parts,
    body: &[u8],
    arrival: Arrival,
) -> Result<AcceptedRequest, Box<Response<ResponseBody>>> {
    let head = match shell.interface.exchange.decode_request(parts, body) {
        Ok(head) => head,
        Err(err) => return Err(Box::new(reject_malformed(shell, &err))),
    };
    let incoming = IncomingRequest {
        host: head.host,
        path: &head.path,
        hold_time: shell.now().since(arrival.at),
        key: head.api_key.as_deref(),
        timeout: head.timeout,
        tokens: head.token_counts,
        output_estimate: head.output_estimate,
        // A stream goes on at the service that began it, also where the route has several.
        id_hash: stable_hash(&head.resumption.named_id().or(head.id)),
    };
    let refusal = match route(shell, incoming).await {
        Ok(mut routed) => {
            routed.prompt_parts = head.prompt_parts;
            return Ok(AcceptedRequest {
                id: head.id.map(ToOwned::to_owned),
                resumed_id: head.resumption.named_id().map(ToOwned::to_owned),
                resumed: head.resumption != Resumption::None,
                routed,
            });
        }
        Err(refusal) => refusal,
    };
    let organisation = head
        .api_key
        .and_then(|api_key| organisation_by_key(shell, &api_key));
    let request = RefusalInfo {
        id: head.id,
        organisation: organisation.as_ref().map(|it| &*it.name),
        ..RefusalInfo::default()
    };
    Err(Box::new(refuse(shell, request, refusal)))
}

// If this shard's part of the quota is used up, quota is borrowed from other shards before the
// request is refused.
async fn route(shell: &Shell, incoming: IncomingRequest<'_>) -> Result<RoutedRequest, Refusal> {
    let result = shell.core.borrow_mut().route(shell.now(), incoming);
    let refusal = match result {
        Err(refusal) if refusal.reason == RefusalReason::QuotaExceeded => refusal,
        other => return other,
    };
    let missing = shell.core.borrow().missing_quota(shell.now(), incoming);
    let Some(missing) = missing else {
        return Err(refusal);
    };
    match lending::borrow_quota(shell, missing).await {
        0 => Err(refusal),
        borrowed => {
            let now = shell.now();
            shell
                .core
                .borrow_mut()
                .route_with_borrowed_quota(now, incoming, borrowed)
        }
    }
}

fn organisation_by_key(shell: &Shell, key: &str) -> Option<Arc<Organisation>> {
    let core = shell.core.borrow();
    core.configuration()?.organisation_by_key(key).cloned()
}

fn endpoint_request(
    shell: &Shell,
    parts: Parts,
    routed: &RoutedRequest,
    body: Bytes,
) -> EndpointRequest {
    let exchange = &shell.interface.exchange;
    let organisation = routed.organisation.as_ref().map(|it| &*it.name);
    EndpointRequest {
        fingerprint: stable_hash(&(parts.uri.path(), organisation, &body[..])),
        method: parts.method,
        target: exchange.endpoint_uri(&parts.uri),
        headers: exchange.request_headers(&parts.headers, organisation),
        body,
    }
}

// Admits a request, starts its job and waits for the start of its response.
async fn admit(
    shell: &Rc<Shell>,
    accepted: AcceptedRequest,
    outgoing: EndpointRequest,
    arrival: Arrival,
) -> Response<ResponseBody> {
    let Ok(memory) = shell.clients.memory.reserve(REQUEST_BYTES) else {
        shell.core.borrow_mut().refund(&accepted.routed);
        return reject_body(shell, accepted.id.as_deref(), BodyError::OutOfMemory);
    };
    let stream_key = accepted.stream_key();
    let fingerprint = outgoing.fingerprint;
    let takes_up = accepted.takes_up();
    let admitted = if takes_up {
        let evidence = find_origin(shell, &accepted, stream_key).await;
        let mut core = shell.core.borrow_mut();
        core.admit_resumed(shell.now(), &accepted.routed, fingerprint, evidence)
    } else {
        let mut core = shell.core.borrow_mut();
        core.admit(shell.now(), &accepted.routed, fingerprint)
    };
    let AcceptedRequest {
        id,
        resumed_id,
        routed,
        ..
    } = accepted;
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refusal) => return refuse(shell, RefusalInfo::routed(id.as_deref(), &routed), refusal),
    };
    let permit = Permit::new(shell, ticket);
    let decision = shell.add_waiter(ticket);
    if arrival.held {
        // Lets the other held requests be admitted first, so that the scheduler starts the most
        // urgent one.
        yield_now().await;
    }
    shell.decide();
    let (start_sender, start) = oneshot::channel();
    let (chunk_sender, chunks) =
        chunk_channel::channel(&shell.clients.memory, &shell.clients.responses);
    let job = Job {
        shell: shell.clone(),
        routed,
        outgoing,
        id,
        resumed_id,
        takes_up,
        stream_key,
        caller: CallerChannel {
            start: Some(start_sender),
            chunks: chunk_sender,
        },
        events: EventBuffer::with_last_event(shell.interface.exchange.last_event_data()),
        maybe_executed: false,
        last_endpoint: None,
        progress: Progress::default(),
        response: None,
        memory,
    };
    tokio::task::spawn_local(job.run(permit, decision));
    match start.await {
        Ok(ResponseStart::Complete(response)) => response,
        Ok(ResponseStart::Stream(status, headers, framing)) => {
            let body = ResponseBody::Stream(ChunkStream::new(chunks));
            response::forwarded(status, headers, body, framing)
        }
        // The job ended without a response because of an internal error.
        Err(_) => response::from_buffered(shell.interface.exchange.error_response(Code::Broken)),
    }
}

// Searches for the version at which a stream began that its caller takes up.
async fn find_origin(
    shell: &Shell,
    request: &AcceptedRequest,
    stream_key: Option<StreamKey>,
) -> StreamEvidence {
    let start = shell.now();
    let routed = &request.routed;
    let key = stream_key.unwrap_or(StreamKey::UNNAMED_STREAM);
    let question = StreamQuestion::new(key, &routed.service, routed.route.timeout);
    let lookup = shell.stream_lookup.find(question, &routed.service).await;
    let fields = json!({
        "id": request.id,
        "resumes": request.resumed_id,
        "origin": lookup.origin.as_str(),
        "version": lookup.origin.version(),
        "asked": lookup.asked,
        "replies": lookup.replies,
        "view_current": lookup.view_current,
        "view_age_ms": start.since(shell.store_contact.get()).0,
        "took_ms": shell.now().since(start).0,
    });
    shell.log("stream_origin", fields);
    StreamEvidence {
        named: stream_key.is_some(),
        origin: lookup.origin,
        view_current: lookup.view_current.unwrap_or(false),
    }
}

fn refuse(shell: &Shell, request: RefusalInfo<'_>, refusal: Refusal) -> Response<ResponseBody> {
    shell.log_refusal(request, refusal);
    shell
        .metrics
        .record_response(u8::MAX, refusal.reason.as_str(), Millis::ZERO);
    response::from_buffered(shell.interface.exchange.refusal_response(refusal))
}

fn reject_malformed(shell: &Shell, err: &FormatError) -> Response<ResponseBody> {
    shell.log("request_unreadable", json!({ "error": err.to_string() }));
    response::from_buffered(shell.interface.exchange.error_response(Code::Malformed))
}

fn reject_body(shell: &Shell, id: Option<&str>, error: BodyError) -> Response<ResponseBody> {
    let code = match error {
        BodyError::TooLarge => Code::BodyTooLarge,
        BodyError::TimedOut => Code::SlowSender,
        BodyError::Interrupted => Code::Malformed,
        BodyError::OutOfMemory => {
            let refusal = Refusal {
                reason: RefusalReason::Overload,
                retry_after: MEMORY_RETRY_AFTER,
            };
            return refuse(shell, RefusalInfo::unrouted(id), refusal);
        }
    };
    shell.log("body_refused", json!({ "id": id, "why": code.text() }));
    response::from_buffered(shell.interface.exchange.error_response(code))
}

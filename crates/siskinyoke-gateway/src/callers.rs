//! Takes a caller's request in, and brings its answer back.

mod early;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::answer;
use crate::answer::AnswerBody;
use crate::attempt::Parcel;
use crate::events::Events;
use crate::held::Held;
use crate::job::Caller;
use crate::job::Head;
use crate::job::Job;
use crate::job::progress::Progress;
use crate::lending;
use crate::permit::Permit;
use crate::shell::RefusedRequest;
use crate::shell::Shell;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Limits;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::core::IncomingRequest as Wanted;
use siskinyoke_dispatch::core::RoutedRequest;
use siskinyoke_dispatch::stable_hash;
use siskinyoke_interface::FormatError;

/// Pieces of a stream that wait for a slow caller before its endpoint is read no further.
const PIECES: usize = 8;

/// When to come back if bodies fill the memory.
const CROWDED: Millis = Millis(500);

/// Why a body was not taken.
enum BodyFault {
    Large,
    Slow,
    Broken,
    Crowded,
}

/// When a request arrived.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Millis,
    // Whether it was held until a configuration was known.
    early: bool,
}

/// Serves one request of a caller.
pub async fn serve(shell: Rc<Shell>, request: Request<Incoming>) -> Response<AnswerBody> {
    shell.last_arrival.set(shell.now());
    let mut response = answer(&shell, request).await;
    if shell.core.borrow().leaving() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn answer(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let arrival = Arrival {
        at: shell.now(),
        early: false,
    };
    let limits = shell.core.borrow().configuration().map(|it| it.limits);
    let Some(limits) = limits else {
        return answer_early(shell, parts, body, arrival).await;
    };
    if let Some(refused) = refuse_head(shell, &parts, limits) {
        return refused;
    }
    if shell.interface.exchange.needs_body(&parts) {
        answer_by_body(shell, parts, body, limits, arrival).await
    } else {
        answer_by_head(shell, parts, body, limits, arrival).await
    }
}

// Nothing can be checked of a request that arrives before the configuration, so it is held whole first.
async fn answer_early(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Incoming,
    arrival: Arrival,
) -> Response<AnswerBody> {
    let (limits, body, held) = match early::hold(shell, &parts, body).await {
        Ok(taken) => taken,
        Err(refusal) => {
            let id = shell.interface.exchange.request_id(&parts);
            return refuse(shell, RefusedRequest::unrouted(id), refusal);
        }
    };
    if let Some(refused) = refuse_head(shell, &parts, limits) {
        return refused;
    }
    if body.len() > limits.max_body {
        return refuse_body(shell, None, &BodyFault::Large);
    }
    let arrival = Arrival {
        early: true,
        ..arrival
    };
    answer_whole(shell, parts, body, held, arrival).await
}

fn refuse_head(shell: &Shell, parts: &Parts, limits: Limits) -> Option<Response<AnswerBody>> {
    let size = head_size(parts);
    if size <= limits.max_head {
        return None;
    }
    shell.log("head_refused", json!({ "bytes": size }));
    let answer = shell.interface.exchange.error_response(Code::HeadTooLarge);
    Some(answer::own(answer))
}

// Decides by the head alone, so that no body is read for a request that is turned away.
async fn answer_by_head(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Incoming,
    limits: Limits,
    arrival: Arrival,
) -> Response<AnswerBody> {
    let (id, pass) = match filter(shell, &parts, &[], arrival).await {
        Ok(passed) => passed,
        Err(refused) => return *refused,
    };
    let left = pass.deadline.since(shell.now());
    match collect(shell, limits.max_body, left, body).await {
        Ok((body, held)) => {
            let parcel = parcel(shell, parts, &pass, body, held);
            admit(shell, id, pass, parcel, arrival).await
        }
        Err(fault) => {
            shell.core.borrow_mut().refund(&pass);
            refuse_body(shell, id.as_deref(), &fault)
        }
    }
}

// Reads the whole request first, as its head does not say what it wants.
async fn answer_by_body(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Incoming,
    limits: Limits,
    arrival: Arrival,
) -> Response<AnswerBody> {
    let (body, held) = match collect(shell, limits.max_body, limits.head_timeout, body).await {
        Ok(taken) => taken,
        Err(fault) => return refuse_body(shell, None, &fault),
    };
    answer_whole(shell, parts, body, held, arrival).await
}

async fn answer_whole(
    shell: &Rc<Shell>,
    parts: Parts,
    body: Bytes,
    held: Held,
    arrival: Arrival,
) -> Response<AnswerBody> {
    match filter(shell, &parts, &body, arrival).await {
        Ok((id, pass)) => {
            let parcel = parcel(shell, parts, &pass, body, held);
            admit(shell, id, pass, parcel, arrival).await
        }
        Err(refused) => *refused,
    }
}

// The bytes of a head, with those between its parts.
fn head_size(parts: &Parts) -> usize {
    const LINE: usize = "  HTTP/1.1\r\n".len();
    const ROW: usize = ": \r\n".len();
    let target = parts.uri.path_and_query();
    let target = target.map_or(0, |it| it.as_str().len());
    let line = parts.method.as_str().len() + target + LINE;
    let rows = parts.headers.iter();
    rows.fold(line, |sum, row| {
        sum + row.0.as_str().len() + row.1.len() + ROW
    })
}

// Understands a request and lets it through the filters that need no more than its head; else returns
// what its caller is told.
async fn filter(
    shell: &Shell,
    parts: &Parts,
    body: &[u8],
    arrival: Arrival,
) -> Result<(Option<String>, RoutedRequest), Box<Response<AnswerBody>>> {
    let head = match shell.interface.exchange.decode_request(parts, body) {
        Ok(head) => head,
        Err(err) => return Err(Box::new(unreadable(shell, &err))),
    };
    let wanted = Wanted {
        host: head.host,
        path: &head.path,
        hold_time: shell.now().since(arrival.at),
        key: head.key.as_deref(),
        timeout: head.deadline,
        tokens: head.tokens,
        output_estimate: head.estimate,
        draw: stable_hash(&head.id),
    };
    let refusal = match pass(shell, wanted).await {
        Ok(pass) => return Ok((head.id.map(ToOwned::to_owned), pass)),
        Err(refusal) => refusal,
    };
    let holder = head.key.and_then(|key| holder(shell, &key));
    let request = RefusedRequest {
        id: head.id,
        organisation: holder.as_ref().map(|it| &*it.name),
        ..RefusedRequest::default()
    };
    Err(Box::new(refuse(shell, request, refusal)))
}

// Where the own shard's part of a quota is used up, others are asked before the request is refused.
async fn pass(shell: &Shell, wanted: Wanted<'_>) -> Result<RoutedRequest, Refusal> {
    let passed = shell.core.borrow_mut().route(shell.now(), wanted);
    let refusal = match passed {
        Err(refusal) if refusal.reason == RefusalReason::QuotaExceeded => refusal,
        other => return other,
    };
    let need = shell.core.borrow().missing_quota(shell.now(), wanted);
    let Some(need) = need else {
        return Err(refusal);
    };
    match lending::borrow_quota(shell, need).await {
        0 => Err(refusal),
        given => {
            let now = shell.now();
            shell
                .core
                .borrow_mut()
                .route_with_borrowed_quota(now, wanted, given)
        }
    }
}

fn holder(shell: &Shell, key: &str) -> Option<Arc<Organisation>> {
    let core = shell.core.borrow();
    core.configuration()?.organisation_by_key(key).cloned()
}

fn parcel(shell: &Shell, parts: Parts, pass: &RoutedRequest, body: Bytes, held: Held) -> Parcel {
    let exchange = &shell.interface.exchange;
    let organisation = pass.organisation.as_ref().map(|it| &*it.name);
    Parcel {
        fingerprint: stable_hash(&(parts.uri.path(), organisation, &body[..])),
        method: parts.method,
        target: exchange.endpoint_uri(&parts.uri),
        headers: exchange.request_headers(&parts.headers, organisation),
        body,
        held: Rc::new(held),
    }
}

async fn admit(
    shell: &Rc<Shell>,
    id: Option<String>,
    pass: RoutedRequest,
    parcel: Parcel,
    arrival: Arrival,
) -> Response<AnswerBody> {
    let fingerprint = parcel.fingerprint;
    let admitted = shell
        .core
        .borrow_mut()
        .admit(shell.now(), &pass, fingerprint);
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refusal) => {
            return refuse(shell, RefusedRequest::routed(id.as_deref(), &pass), refusal);
        }
    };
    let permit = Permit::new(shell, ticket);
    let word = shell.add_waiter(ticket);
    if arrival.early {
        // All that were held are let in before the first is placed, so that the most urgent goes first.
        yield_now().await;
    }
    shell.decide();
    let (head_sender, head) = oneshot::channel();
    let (piece_sender, pieces) = mpsc::channel(PIECES);
    let job = Job {
        shell: shell.clone(),
        pass,
        parcel,
        id,
        caller: Caller {
            head: Some(head_sender),
            pieces: piece_sender,
        },
        events: Events::default(),
        ran: false,
        endpoint: None,
        progress: Progress::default(),
        answer: None,
    };
    tokio::task::spawn_local(job.run(permit, word));
    match head.await {
        Ok(Head::Whole(response)) => response,
        Ok(Head::Stream(status, headers)) => {
            let mut response = Response::new(AnswerBody::Stream(pieces));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        // The job ended without a word, by a fault of ours.
        Err(_) => answer::own(shell.interface.exchange.error_response(Code::Broken)),
    }
}

async fn collect(
    shell: &Rc<Shell>,
    most: usize,
    left: Millis,
    body: Incoming,
) -> Result<(Bytes, Held), BodyFault> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > most {
        return Err(BodyFault::Large);
    }
    let expecting = Held::take(shell, expected).ok_or(BodyFault::Crowded)?;
    let collected = timeout(Duration::from(left), Limited::new(body, most).collect()).await;
    drop(expecting);
    let body = match collected {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            return Err(BodyFault::Large);
        }
        Ok(Err(_)) => return Err(BodyFault::Broken),
        Err(_) => return Err(BodyFault::Slow),
    };
    let held = Held::take(shell, body.len()).ok_or(BodyFault::Crowded)?;
    Ok((body, held))
}

fn refuse(shell: &Shell, request: RefusedRequest<'_>, refusal: Refusal) -> Response<AnswerBody> {
    shell.log_refusal(request, refusal);
    shell
        .metrics
        .record_answer(u8::MAX, refusal.reason.as_str(), Millis::ZERO);
    answer::own(shell.interface.exchange.refusal_response(refusal))
}

fn unreadable(shell: &Shell, err: &FormatError) -> Response<AnswerBody> {
    shell.log("request_unreadable", json!({ "error": err.to_string() }));
    answer::own(shell.interface.exchange.error_response(Code::Malformed))
}

fn refuse_body(shell: &Shell, id: Option<&str>, fault: &BodyFault) -> Response<AnswerBody> {
    let code = match fault {
        BodyFault::Large => Code::BodyTooLarge,
        BodyFault::Slow => Code::SlowSender,
        BodyFault::Broken => Code::Malformed,
        BodyFault::Crowded => {
            let refusal = Refusal {
                reason: RefusalReason::Overload,
                retry_after: CROWDED,
            };
            return refuse(shell, RefusedRequest::unrouted(id), refusal);
        }
    };
    shell.log("body_refused", json!({ "id": id, "why": code.text() }));
    answer::own(shell.interface.exchange.error_response(code))
}

//! Takes a caller's request in, and brings its answer back.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::answer;
use crate::answer::AnswerBody;
use crate::attempt::Parcel;
use crate::events::Events;
use crate::held::Held;
use crate::job::Caller;
use crate::job::Head;
use crate::job::Job;
use crate::shell::Shell;
use crate::stay::Stay;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Reason;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::core::Pass;
use siskinyoke_dispatch::core::Request as Wanted;
use siskinyoke_dispatch::stable_hash;
use siskinyoke_platform::request;

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

/// Serves one request of a caller.
pub async fn serve(shell: Rc<Shell>, request: Request<Incoming>) -> Response<AnswerBody> {
    shell.busy.set(shell.now());
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
    let head = request::decode(&parts.headers);
    let id = head.id.map(ToOwned::to_owned);
    let wanted = Wanted {
        host: head.host,
        path: parts.uri.path(),
        key: head.key,
        deadline: head.deadline,
        tokens: head.tokens,
        draw: stable_hash(&head.id),
    };
    let passed = shell.core.borrow_mut().pass(shell.now(), wanted);
    let pass = match passed {
        Ok(pass) => pass,
        Err(refusal) => return refuse(shell, id.as_deref(), refusal),
    };
    let (body, counted) = match collect(shell, &pass, body).await {
        Ok(taken) => taken,
        Err(fault) => return refuse_body(shell, id.as_deref(), &pass, &fault),
    };
    let organisation = pass.organisation.as_ref().map(|it| it.name.clone());
    let print = stable_hash(&(parts.uri.path(), organisation.as_deref(), &body[..]));
    let parcel = Parcel {
        method: parts.method,
        target: parts.uri,
        headers: request::forward(&parts.headers, organisation.as_deref()),
        body,
        held: Rc::new(counted),
    };
    admit(shell, id, pass, parcel, print).await
}

async fn admit(
    shell: &Rc<Shell>,
    id: Option<String>,
    pass: Pass,
    parcel: Parcel,
    print: u64,
) -> Response<AnswerBody> {
    let admitted = shell.core.borrow_mut().admit(shell.now(), &pass, print);
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refusal) => return refuse(shell, id.as_deref(), refusal),
    };
    let stay = Stay::new(shell, ticket);
    let word = shell.wait(ticket);
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
        answer: None,
    };
    tokio::task::spawn_local(job.run(stay, word));
    match head.await {
        Ok(Head::Whole(response)) => response,
        Ok(Head::Stream(status, headers)) => {
            let mut response = Response::new(AnswerBody::Stream(pieces));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        // The job ended without a word, by a fault of ours.
        Err(_) => answer::plain(StatusCode::BAD_GATEWAY, "fault: the request may have run"),
    }
}

async fn collect(
    shell: &Rc<Shell>,
    pass: &Pass,
    body: Incoming,
) -> Result<(Bytes, Held), BodyFault> {
    let limit = shell
        .core
        .borrow()
        .configuration()
        .map_or(0, |it| it.limits.body);
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > limit {
        return Err(BodyFault::Large);
    }
    let expecting = Held::take(shell, expected).ok_or(BodyFault::Crowded)?;
    let left = Duration::from(pass.until.since(shell.now()));
    let collected = timeout(left, Limited::new(body, limit).collect()).await;
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

fn refuse(shell: &Shell, id: Option<&str>, refusal: Refusal) -> Response<AnswerBody> {
    shell.log_refusal(id, refusal);
    shell
        .metrics
        .answered(u8::MAX, refusal.reason.as_str(), Millis::ZERO);
    answer::refuse(refusal)
}

fn refuse_body(
    shell: &Shell,
    id: Option<&str>,
    pass: &Pass,
    fault: &BodyFault,
) -> Response<AnswerBody> {
    shell.core.borrow_mut().give_back(pass);
    let (status, text) = match fault {
        BodyFault::Large => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over the limit"),
        BodyFault::Slow => (
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        ),
        BodyFault::Broken => (StatusCode::BAD_REQUEST, "the body broke off"),
        BodyFault::Crowded => {
            return refuse(
                shell,
                id,
                Refusal {
                    reason: Reason::Overload,
                    after: CROWDED,
                },
            );
        }
    };
    shell.log("body_refused", json!({ "id": id, "why": text }));
    answer::plain(status, text)
}

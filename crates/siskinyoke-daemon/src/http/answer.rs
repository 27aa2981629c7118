//! Writes answers: whole ones, streams, and refusals that an OpenAI-style client can show.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header;
use serde_json::json;
use tokio::sync::mpsc::Receiver;

use super::listener::Exchange;
use siskinyoke_base::Code;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Part;

/// The body of an answer.
pub type AnswerBody = BoxBody<Bytes, Infallible>;

/// The event that ends a whole stream.
const TERMINATOR: &str = "data: [DONE]\n\n";

/// Header with the number of the result code.
const CODE: &str = "siskinyoke-code";

/// Header with the kind of the result code.
const KIND: &str = "siskinyoke-kind";

/// Header with another address to use.
const ADDRESS: &str = "siskinyoke-address";

/// Waits for the parts of an answer and writes them: at once if it is a stream, whole otherwise.
pub async fn write(mut exchange: Exchange, mut parts: Receiver<Part>) -> Response<AnswerBody> {
    let mut head = None;
    let mut body = Vec::new();
    while let Some(part) = parts.recv().await {
        match part {
            Part::Head {
                status,
                content,
                stream: true,
            } => {
                return streamed(status, &content, exchange, parts);
            }
            Part::Head {
                status, content, ..
            } => head = Some((status, content)),
            Part::Piece(bytes) => body.push(bytes),
            Part::End(end) => {
                exchange.ended(end.code);
                let Some((status, content)) = head else {
                    return refused(&end);
                };
                return whole(status, &content, &body, &end);
            }
        }
    }
    refused(&End::new(Code::Broken).detail("the daemon stopped"))
}

/// Writes an answer that carries no endpoint's body.
pub fn refused(end: &End) -> Response<AnswerBody> {
    let mut builder = Response::builder()
        .status(end.code.status())
        .header(header::CONTENT_TYPE, "application/json")
        .header(CODE, end.code.number())
        .header(KIND, end.code.kind().as_str());
    if let Some(after) = end.after {
        builder = builder.header(header::RETRY_AFTER, after.0.div_ceil(1000));
    }
    if let Some(address) = &end.address {
        builder = builder.header(ADDRESS, address);
    }
    build(builder, Full::new(Bytes::from(error_body(end))).boxed())
}

/// Writes a plain answer of the daemon's own.
pub fn plain(status: StatusCode, content: &str, body: Vec<u8>) -> Response<AnswerBody> {
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content)
        .header(CODE, Code::Complete.number())
        .header(KIND, Code::Complete.kind().as_str());
    build(builder, Full::new(Bytes::from(body)).boxed())
}

fn whole(status: u16, content: &str, body: &[Bytes], end: &End) -> Response<AnswerBody> {
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content)
        .header(CODE, end.code.number())
        .header(KIND, end.code.kind().as_str());
    build(builder, Full::new(Bytes::from(body.concat())).boxed())
}

/// Writes a stream; only its end says how it went.
fn streamed(
    status: u16,
    content: &str,
    exchange: Exchange,
    parts: Receiver<Part>,
) -> Response<AnswerBody> {
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content)
        .header(header::CACHE_CONTROL, "no-cache")
        .header(CODE, Code::Streaming.number())
        .header(KIND, Code::Streaming.kind().as_str());
    let pieces = stream::unfold(Some((exchange, parts)), |state| async move {
        let (mut exchange, mut parts) = state?;
        let part = parts.recv().await;
        match part {
            Some(Part::Piece(bytes)) => {
                exchange.piece();
                Some((frame(bytes), Some((exchange, parts))))
            }
            Some(Part::Head { .. }) => Some((frame(Bytes::new()), Some((exchange, parts)))),
            Some(Part::End(end)) => {
                exchange.ended(end.code);
                Some((frame(Bytes::from(last_event(&end))), None))
            }
            None => {
                let end = End::new(Code::Broken).detail("the daemon stopped");
                Some((frame(Bytes::from(last_event(&end))), None))
            }
        }
    });
    build(builder, BodyExt::boxed(StreamBody::new(pieces)))
}

/// Writes a stream's end: the terminator if the answer is whole, an error event otherwise.
fn last_event(end: &End) -> String {
    let note = format!(
        ": siskinyoke code={} kind={}\n\n",
        end.code.number(),
        end.code.kind()
    );
    if end.code.is_whole() {
        return note + TERMINATOR;
    }
    format!("{note}event: error\ndata: {}\n\n", error_body(end))
}

fn error_body(end: &End) -> String {
    json!({
        "error": {
            "message": end.code.text(),
            "type": end.code.kind().as_str(),
            "code": end.code.number(),
            "detail": end.detail,
            "retry_after_ms": end.after.map(|span| span.0),
            "address": end.address,
        }
    })
    .to_string()
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "a body's stream is fallible by its type"
)]
fn frame(bytes: Bytes) -> Result<Frame<Bytes>, Infallible> {
    Ok(Frame::data(bytes))
}

fn build(builder: hyper::http::response::Builder, body: AnswerBody) -> Response<AnswerBody> {
    builder.body(body).unwrap_or_else(|err| {
        // An endpoint's content type that is no header value comes here.
        log::warn!("an answer cannot be written: {err}");
        let end = End::new(Code::Broken).detail("the endpoint's answer cannot be passed on");
        refused(&end)
    })
}

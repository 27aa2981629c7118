//! Sends orders to engines, each on a thread of its own, as they are few and slow.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use siskinyoke_base::Clock;
use siskinyoke_base::Millis;
use siskinyoke_control::orders::EndpointState;
use siskinyoke_control::orders::Order;
use siskinyoke_control::orders::OrderError;
use siskinyoke_control::orders::OrderReply;
use siskinyoke_control::orders::OrderResult;
use siskinyoke_control::orders::OrderSpec;

/// When to come back to an engine that says it is busy without saying until when.
const BUSY: Millis = Millis::from_secs(10);

/// The most time to wait for a connection.
const CONNECT: Duration = Duration::from_secs(2);

/// What an engine says it runs.
#[derive(Debug, Deserialize)]
struct Inspected {
    state: EndpointState,
}

/// Sends an order and tells what became of it.
pub fn send(
    spec: OrderSpec,
    clock: Arc<dyn Clock>,
    tell: impl FnOnce(OrderSpec, OrderResult) + Send + 'static,
) {
    let started = thread::Builder::new().name("order".into()).spawn(move || {
        let result = carry_out(&spec, clock.as_ref());
        tell(spec, result);
    });
    if let Err(err) = started {
        // The controller finds the order's time run out and reads the engine's state again.
        log::error!("a thread for an order cannot be started: {err}");
    }
}

fn carry_out(spec: &OrderSpec, clock: &dyn Clock) -> OrderResult {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT))
        .timeout_global(Some(spec.limit.into()))
        .max_idle_connections(0);
    let agent: Agent = config.build().into();
    let url = format!("http://{}/orders", spec.address);
    // The process may have stood still since the decision: under a lease that has lapsed by now
    // another instance gives orders.
    if clock.now() >= spec.before {
        return Err(OrderError::NotSent);
    }
    if spec.order == Order::Inspect {
        let answer = agent.get(&url).call().map_err(|err| failure(&err))?;
        return read(answer, |inspected: Inspected| {
            OrderReply::State(inspected.state)
        });
    }
    let body = json!({
        "id": spec.id.to_string(), "fence": spec.id.fence, "order": spec.order,
    });
    let answer = agent
        .post(&url)
        .send_json(&body)
        .map_err(|err| failure(&err))?;
    read(answer, |_: serde_json::Value| OrderReply::Done)
}

fn read<T: serde::de::DeserializeOwned>(
    mut answer: Response<Body>,
    reply: impl FnOnce(T) -> OrderReply,
) -> OrderResult {
    match answer.status().as_u16() {
        200 => match answer.body_mut().read_json() {
            Ok(body) => Ok(reply(body)),
            Err(_) => Err(OrderError::Unknown),
        },
        409 => Err(OrderError::Stale),
        429 | 503 => {
            let after = answer.headers().get("retry-after");
            let secs = after.and_then(|value| value.to_str().ok()?.parse().ok());
            Err(OrderError::Busy(secs.map_or(BUSY, Millis::from_secs)))
        }
        status => Err(OrderError::Refused(format!("status {status}"))),
    }
}

/// Tells an order that cannot have been carried out from one that may have been.
fn failure(err: &ureq::Error) -> OrderError {
    let refused = match err {
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        _ => false,
    };
    if refused {
        OrderError::NotSent
    } else {
        OrderError::Unknown
    }
}

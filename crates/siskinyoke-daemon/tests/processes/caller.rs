//! Callers that send in threads of their own and judge their answers.

use std::thread;
use std::thread::JoinHandle;

use serde_json::Value;

use crate::cluster::Cluster;
use crate::process::BOUND;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_client::ClientError;
use siskinyoke_client::Outcome;
use siskinyoke_client::Request;
use siskinyoke_standin::answer::Answer;
use siskinyoke_standin::fleet::CALLER_KEY;
use siskinyoke_standin::fleet::MODEL;

/// A caller's request on its way.
pub struct Caller {
    text: String,
    tokens: u32,
    thread: JoinHandle<(Result<Outcome, ClientError>, String)>,
}

impl Caller {
    /// Sends a streaming request to the daemon at a place; `key` is its identity.
    pub fn send(cluster: &Cluster, place: usize, key: &str, tokens: u32, limit: Millis) -> Self {
        let text = text(key);
        let request = request(key, tokens);
        let mut client = cluster.client(place, limit);
        // The address is drawn here, so that the owner is the daemon at the place.
        client.locate().expect("an address and a ticket");
        let thread = thread::spawn(move || {
            let mut given = String::new();
            let outcome = client.send(&request, &mut |data| {
                let event: Value = serde_json::from_str(data).unwrap_or_default();
                let content = &event["choices"][0]["delta"]["content"];
                given += content.as_str().unwrap_or_default();
            });
            (outcome, given)
        });
        Self {
            text,
            tokens,
            thread,
        }
    }

    /// Waits for the end; an answer that says it is whole has to be, and the caller's own.
    pub fn end(self) -> Option<Outcome> {
        let (outcome, given) = self.thread.join().expect("the caller's thread");
        let outcome = outcome.ok()?;
        let wanted = Answer::of(&self.text, Some(self.tokens)).text();
        if outcome.kind == Kind::Done {
            assert_eq!(given, wanted, "an answer is not the caller's own");
        } else {
            assert!(wanted.starts_with(&given), "a piece is another's: {given}");
        }
        Some(outcome)
    }

    /// Waits for the end and checks that the whole answer came on the first sending.
    pub fn whole_at_once(self) {
        let outcome = self.end().expect("an answer");
        assert_eq!((outcome.code, outcome.sendings), (1000, 1));
    }
}

/// Sends a request again to the daemon at a place, under an earlier ticket, and returns the code.
pub fn send_again(cluster: &Cluster, place: usize, key: &str, tokens: u32, ticket: &str) -> String {
    let request = request(key, tokens);
    let url = format!("http://{}{}", cluster.addresses()[place], request.path);
    let sent = ureq::post(url)
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(BOUND))
        .build()
        .header("Authorization", format!("Bearer {CALLER_KEY}"))
        .header("Content-Type", &request.content)
        .header("Idempotency-Key", key)
        .header("Siskinyoke-Ticket", ticket)
        .header("Siskinyoke-Retry", "2")
        .send(&request.body[..]);
    let answer = sent.expect("the daemon answers");
    let code = answer.headers().get("siskinyoke-code");
    let code = code.and_then(|code| code.to_str().ok());
    code.unwrap_or_default().to_owned()
}

/// Makes the request that goes by a key.
pub fn request(key: &str, tokens: u32) -> Request {
    let mut request = Request::chat(MODEL, &text(key), true, tokens);
    request.key = Some(key.to_owned());
    request
}

fn text(key: &str) -> String {
    format!("paragraph {key}")
}

//! A small fleet with narrow limits, and the other caller whom nobody may harm.

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Answer;
use siskinyoke_client::Request;
use siskinyoke_standin::answer::Answer as Expected;
use siskinyoke_standin::fleet::CALLER_KEY;
use siskinyoke_standin::fleet::Fleet;
use siskinyoke_standin::fleet::MODEL;

/// Tokens of the other caller's answer.
const OUTPUT: u32 = 6;

/// A fleet under test.
pub struct World {
    /// The fleet.
    pub fleet: Fleet,
}

impl World {
    /// Starts one daemon with limits in place of the usual ones.
    pub fn new(limits: &Value) -> Self {
        let fleet = Fleet::start_with(1, limits).expect("the fleet starts");
        Self { fleet }
    }

    /// Starts one daemon with the usual limits.
    pub fn usual() -> Self {
        Self::new(&json!({}))
    }

    /// Sends bytes to the daemon and returns its answer.
    pub fn send(&self, bytes: &[u8]) -> Answer {
        http::exchange(self.fleet.addresses()[0], bytes)
    }

    /// Sends bytes, expects a refusal with a code and kind, and that another caller is served.
    pub fn refused(&self, bytes: &[u8], status: u16, code: u16, kind: &str) -> Answer {
        let before = self.dispatched();
        let answer = self.send(bytes);
        check(&answer, status, code, kind);
        assert_eq!(
            self.dispatched(),
            before,
            "a refused request was dispatched"
        );
        self.other();
        answer
    }

    /// Sends another caller's request and checks that it gets its own whole answer.
    pub fn other(&self) {
        let text = "another caller's composition";
        let mut client = self.fleet.client(0);
        let mut given = String::new();
        let request = Request::chat(MODEL, text, true, OUTPUT);
        let outcome = client.send(&request, &mut |data| {
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            given += event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default();
        });
        let outcome = outcome.expect("another caller is answered");
        assert_eq!(outcome.code, 1000, "another caller's answer: {outcome:?}");
        assert_eq!(given, Expected::of(text, Some(OUTPUT)).text());
    }

    /// Returns the dispatches that endpoints have seen.
    pub fn dispatched(&self) -> u64 {
        let engines = self.fleet.engines.iter();
        let calls: u64 = self.fleet.service.counts().values().sum();
        calls
            + engines
                .map(|engine| engine.counts().dispatched)
                .sum::<u64>()
    }
}

/// Checks what a refusal says in its status, headers and body.
pub fn check(answer: &Answer, status: u16, code: u16, kind: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.header("siskinyoke-code"), code.to_string());
    assert_eq!(answer.header("siskinyoke-kind"), kind);
    let (message, word, number) = answer.shown();
    assert!(!message.is_empty(), "no message to show: {answer:?}");
    assert_eq!((word.as_str(), number), (kind, u64::from(code)));
}

/// Returns a good body of a chat request.
pub fn body() -> String {
    let message = json!({ "role": "user", "content": "a paragraph" });
    json!({ "model": MODEL, "messages": [message], "max_tokens": 4 }).to_string()
}

/// Writes a chat request of the fleet's organisation.
pub fn chat(headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    http::chat(CALLER_KEY, headers, body)
}

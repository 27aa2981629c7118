//! Handles one chat completion, from admission to the end of its response.

use std::process;
use std::time::Duration;

use super::Shared;
use super::cache::CacheLookup;
use super::chat;
use super::chat::ChatRequest;
use crate::completion::Completion;
use crate::http::Exchange;

/// Contains the id under which the request is counted.
const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// Contains the id of the last event that the caller received of a broken stream.
const LAST_EVENT_HEADER: &str = "Last-Event-ID";

/// Exit code after a request with the crash marker.
const CRASH_EXIT_CODE: i32 = 1;

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Completed,
    Broken,
    Cancelled,
}

impl Shared {
    /// Handles a chat completion request.
    pub(super) fn handle_chat(&self, mut exchange: Exchange) {
        let request_id = exchange
            .header(REQUEST_ID_HEADER)
            .unwrap_or_default()
            .to_owned();
        self.lock().counts.record_dispatch(&request_id);
        let request: ChatRequest = match exchange.json() {
            Ok(request) => request,
            Err(detail) => return exchange.reply_error(400, &detail),
        };
        if !self.config.models.contains(&request.model) {
            return exchange.reply_error(404, "the model is not loaded here");
        }
        let announcements = self.lock().faults.announcements;
        let Some(exchange) = announcements.admit(exchange) else {
            return;
        };
        let Some(slot) = self.batch.acquire_slot(&|| exchange.is_connected()) else {
            self.lock().counts.cancelled += 1;
            return;
        };
        let prompt = request.prompt();
        if self.has_crash_marker(&prompt) {
            self.crash(exchange);
            return;
        }
        let lookup = self.lock().cache.lookup(&prompt);
        let outcome = self.respond(exchange, &request, lookup);
        drop(slot);
        self.record_outcome(&request_id, lookup, outcome);
    }

    fn respond(&self, exchange: Exchange, request: &ChatRequest, lookup: CacheLookup) -> Outcome {
        let completion = request.completion();
        let seconds = f64::from(lookup.prompt_tokens - lookup.cached_tokens) / self.config.prefill;
        let duration = Duration::from_secs_f64(seconds * self.slowdown());
        if !self.batch.prefill(duration, &|| exchange.is_connected()) {
            return Outcome::Cancelled;
        }
        if request.stream {
            return self.stream_completion(exchange, request, &completion, lookup);
        }
        for _ in 1..completion.words.len() {
            if !self.wait_for_token(&|| exchange.is_connected()) {
                return Outcome::Cancelled;
            }
        }
        exchange.reply_json(200, &chat::response(request, &completion, lookup));
        Outcome::Completed
    }

    fn stream_completion(
        &self,
        exchange: Exchange,
        request: &ChatRequest,
        completion: &Completion,
        lookup: CacheLookup,
    ) -> Outcome {
        let events = chat::stream_events(request, completion, lookup);
        let last_event = exchange.header(LAST_EVENT_HEADER);
        let last: Option<usize> = last_event.and_then(|id| id.parse().ok());
        let skipped = last.map_or(0, |id| id + 1);
        let break_after = self.lock().faults.next_break();
        let Ok(mut stream) = exchange.start_chunked("text/event-stream") else {
            return Outcome::Cancelled;
        };
        for (sent, event) in events.iter().skip(skipped).enumerate() {
            if Some(sent) == break_after {
                stream.abort();
                return Outcome::Broken;
            }
            // The first word is sent when prefill ends, and the events after the last word without
            // delay.
            let index = skipped + sent;
            let delayed = sent > 0 && index > 1 && index <= completion.words.len();
            if delayed && !self.wait_for_token(&|| stream.is_connected()) {
                return Outcome::Cancelled;
            }
            if stream.send(event).is_err() {
                return Outcome::Cancelled;
            }
        }
        // The caller has every event and may close the connection before the end of the body.
        let _ = stream.finish();
        Outcome::Completed
    }

    /// Waits for the duration of one token; returns false if the caller disconnects.
    fn wait_for_token(&self, is_connected: &dyn Fn() -> bool) -> bool {
        let interval = Duration::from_secs_f64(self.slowdown() / self.config.speed);
        super::batch::sleep_while_connected(interval, is_connected)
    }

    fn slowdown(&self) -> f64 {
        self.lock().faults.slowdown
    }

    fn has_crash_marker(&self, prompt: &str) -> bool {
        let state = self.lock();
        let crash_marker = state.faults.crash_marker.as_ref();
        crash_marker.is_some_and(|crash_marker| prompt.contains(crash_marker.as_str()))
    }

    /// Exits the process, or closes all connections and stays down for the crash duration.
    fn crash(&self, exchange: Exchange) {
        if self.config.exit {
            process::exit(CRASH_EXIT_CODE);
        }
        self.lock().counts.crashes += 1;
        exchange.crash(self.config.crash_span);
    }

    fn record_outcome(&self, request_id: &str, lookup: CacheLookup, outcome: Outcome) {
        let mut state = self.lock();
        let prefilled = u64::from(lookup.prompt_tokens - lookup.cached_tokens);
        state.counts.prefilled += prefilled;
        state.counts.cached += u64::from(lookup.cached_tokens);
        if outcome != Outcome::Completed {
            state.counts.wasted += prefilled;
        }
        match outcome {
            Outcome::Completed => state.counts.record_completion(request_id),
            Outcome::Cancelled => state.counts.cancelled += 1,
            Outcome::Broken => {}
        }
    }
}

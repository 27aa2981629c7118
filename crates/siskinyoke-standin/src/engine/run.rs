//! The life of one chat completion inside the stand-in engine.

use std::process;
use std::time::Duration;

use super::Shared;
use super::cache::Hit;
use super::chat;
use super::chat::ChatRequest;
use crate::completion::Answer;
use crate::http::Exchange;

/// Names the request towards the engine.
const NAME_HEADER: &str = "X-Request-Id";

/// Names the last event that the caller has of a broken stream.
const RESUME_HEADER: &str = "Last-Event-ID";

/// Exit code of a process that a marked request crashed.
const CRASHED: i32 = 1;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    Cancelled,
}

impl Shared {
    /// Answers a chat completion.
    pub(super) fn chat(&self, mut exchange: Exchange) {
        let name = exchange.header(NAME_HEADER).unwrap_or_default().to_owned();
        self.lock().counts.dispatch(&name);
        let request: ChatRequest = match exchange.json() {
            Ok(request) => request,
            Err(detail) => return exchange.reply_error(400, &detail),
        };
        if !self.config.models.contains(&request.model) {
            return exchange.reply_error(404, "the model is not loaded here");
        }
        let Some(slot) = self.batch.enter(&|| exchange.alive()) else {
            self.lock().counts.cancelled += 1;
            return;
        };
        let prompt = request.prompt();
        if self.marked(&prompt) {
            self.crash(exchange);
            return;
        }
        let hit = self.lock().cache.take(&prompt);
        let end = self.answer(exchange, &request, hit);
        drop(slot);
        self.count(&name, hit, end);
    }

    fn answer(&self, exchange: Exchange, request: &ChatRequest, hit: Hit) -> End {
        let answer = request.answer();
        let work = f64::from(hit.tokens - hit.cached) / self.config.prefill;
        let work = Duration::from_secs_f64(work * self.slow());
        if !self.batch.prefill(work, &|| exchange.alive()) {
            return End::Cancelled;
        }
        if request.stream {
            return self.stream(exchange, request, &answer, hit);
        }
        for _ in 1..answer.words.len() {
            if !self.token(&|| exchange.alive()) {
                return End::Cancelled;
            }
        }
        exchange.reply_json(200, &chat::whole(request, &answer, hit));
        End::Whole
    }

    fn stream(&self, exchange: Exchange, request: &ChatRequest, answer: &Answer, hit: Hit) -> End {
        let events = chat::events(request, answer, hit);
        let skipped = exchange.header(RESUME_HEADER);
        let last: Option<usize> = skipped.and_then(|id| id.parse().ok());
        let skipped = last.map_or(0, |id| id + 1);
        let cut = self.lock().knobs.take_break();
        let Ok(mut pieces) = exchange.pieces("text/event-stream") else {
            return End::Cancelled;
        };
        for (sent, event) in events.iter().skip(skipped).enumerate() {
            if Some(sent) == cut {
                pieces.cut();
                return End::Broken;
            }
            // The first word comes with the end of prefill, and what follows the last at once.
            let place = skipped + sent;
            let paced = sent > 0 && place > 1 && place <= answer.words.len();
            if paced && !self.token(&|| pieces.alive()) {
                return End::Cancelled;
            }
            if pieces.send(event).is_err() {
                return End::Cancelled;
            }
        }
        // The caller has every event; it may close without waiting for the end of the body.
        let _ = pieces.end();
        End::Whole
    }

    /// Waits for one token; false if the caller has gone away.
    fn token(&self, alive: &dyn Fn() -> bool) -> bool {
        let span = Duration::from_secs_f64(self.slow() / self.config.speed);
        super::batch::rest(span, alive)
    }

    fn slow(&self) -> f64 {
        self.lock().knobs.slow
    }

    fn marked(&self, prompt: &str) -> bool {
        let state = self.lock();
        let marker = state.knobs.marker.as_ref();
        marker.is_some_and(|marker| prompt.contains(marker.as_str()))
    }

    /// Goes down with everything in flight.
    fn crash(&self, exchange: Exchange) {
        if self.config.exit {
            process::exit(CRASHED);
        }
        self.lock().counts.crashes += 1;
        exchange.crash(self.config.crash_span);
    }

    fn count(&self, name: &str, hit: Hit, end: End) {
        let mut state = self.lock();
        let work = u64::from(hit.tokens - hit.cached);
        state.counts.prefilled += work;
        state.counts.cached += u64::from(hit.cached);
        if end != End::Whole {
            state.counts.wasted += work;
        }
        match end {
            End::Whole => state.counts.complete(name),
            End::Cancelled => state.counts.cancelled += 1,
            End::Broken => {}
        }
    }
}

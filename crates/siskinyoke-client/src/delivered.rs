//! Events of a stream that were passed on, over all attempts of a request.

use eventsource_stream::Event;

/// Events of a stream that were passed on, over all attempts of a request.
#[derive(Debug, Default)]
pub struct Delivered {
    data: Vec<String>,
    first_id: String,
    last_id: String,
}

impl Delivered {
    /// Returns the event after which the next attempt goes on with the stream, if events have IDs.
    pub fn resume_after(&self) -> Option<&str> {
        (!self.last_id.is_empty()).then_some(&*self.last_id)
    }

    /// Returns the data of the events that precede a response that begins with this event: all
    /// events passed on so far, or none if the response begins anew.
    pub fn preceding(&self, first: &Event) -> &[String] {
        let resumed = self.resume_after().is_some() && first.id != self.first_id;
        if resumed { &self.data } else { &[] }
    }

    /// Returns whether the event at this position of the stream was passed on.
    pub fn contains(&self, index: usize) -> bool {
        index < self.data.len()
    }

    /// Records that an event is passed on.
    pub fn push(&mut self, event: &Event) {
        if self.data.is_empty() {
            self.first_id.clone_from(&event.id);
        }
        self.last_id.clone_from(&event.id);
        self.data.push(event.data.clone());
    }
}

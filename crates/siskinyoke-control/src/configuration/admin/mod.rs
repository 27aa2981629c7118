//! The administration API, from a request's text to the answer's, without its transport.

mod answer;
mod call;
mod route;

pub use answer::AdminAnswer;
pub use call::AdminCall;
pub use route::AdminRequest;
pub use route::route;

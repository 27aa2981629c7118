//! The common shape of the controllers of state.

use rand::RngCore;

use crate::OpId;
use crate::Outbox;
use crate::PlatformError;
use crate::PlatformReply;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;

/// The platform's answer to one request.
pub type Reply = Result<PlatformReply, PlatformError>;

/// A machine that keeps one kind of state; it does no I/O and reads no clock.
///
/// The same calls give the same actions: time and randomness come in with [`Context`], and no
/// decision hangs on the order of a hash map.
pub trait Controller {
    /// Does what is due; called at start, and whenever [`Controller::next`] has come.
    fn tick(&mut self, cx: &mut Context<'_>);

    /// Returns when [`Controller::tick`] is to be called next.
    fn next(&self) -> Millis;

    /// Takes a message from a peer; messages of other kinds are passed over.
    fn message(&mut self, cx: &mut Context<'_>, from: &Sender, message: &Message);

    /// Takes the platform's answer; returns false if the request was another controller's.
    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool;
}

/// What a controller acts with.
pub struct Context<'a> {
    /// The present time on the daemon's own clock.
    pub now: Millis,
    /// Where actions go.
    pub out: &'a mut Outbox,
    /// The seeded random source.
    pub rng: &'a mut dyn RngCore,
}

/// Who sent a message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
}

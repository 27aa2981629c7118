//! The stakker thread that owns the core, and the messages that reach it.

use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stakker::ActorOwn;
use stakker::CX;
use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use tokio::sync::mpsc::Sender as PartSender;
use tokio::task::AbortHandle;

use crate::dispatch::Dispatcher;
use crate::orders;
use crate::peers::Peers;
use crate::peers::Trust;
use crate::platform::PlatformPool;
use siskinyoke_base::Clock;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Part;
use siskinyoke_control::Action;
use siskinyoke_control::CallId;
use siskinyoke_control::DispatchId;
use siskinyoke_control::core::Core;
use siskinyoke_control::core::Event;
use siskinyoke_control::usage::Day;

/// What reaches the core's thread.
pub enum Input {
    /// A caller's exchange opens.
    Open {
        /// Its number.
        call: CallId,
        /// Where the parts of its answer go.
        parts: PartSender<Part>,
        /// The event that it begins with.
        event: Event,
    },
    /// Something else happened.
    Event(Event),
    /// A look at the core that changes nothing.
    Look(Box<dyn FnOnce(&Core) + Send>),
}

/// Parts of an answer that may wait for a caller who reads slowly; past it the caller counts as
/// gone, so that one slow reader cannot fill the daemon's memory.
pub const PARTS_WAITING: usize = 4096;

/// The actor that owns the core.
struct CoreActor {
    core: Core,
    clock: Arc<dyn Clock>,
    inputs: mpsc::Sender<Input>,
    calls: Map<CallId, PartSender<Part>>,
    runs: Map<DispatchId, AbortHandle>,
    dispatcher: Dispatcher,
    peers: Peers,
    platform: PlatformPool,
    trusted: Millis,
    exiting: bool,
}

impl CoreActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "the actor macro asks for an option"
    )]
    fn init(_cx: CX![], parts: Runtime) -> Option<Self> {
        Some(Self {
            core: parts.core,
            clock: parts.clock,
            inputs: parts.inputs,
            calls: Map::default(),
            runs: Map::default(),
            dispatcher: parts.dispatcher,
            peers: parts.peers,
            platform: parts.platform,
            trusted: Millis::ZERO,
            exiting: false,
        })
    }

    fn input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Open { call, parts, event } => {
                self.calls.insert(call, parts);
                self.event(event);
            }
            Input::Event(event) => {
                match &event {
                    Event::Gone { call } => drop(self.calls.remove(call)),
                    Event::Dispatch { dispatch, news } if news.is_last() => {
                        self.runs.remove(dispatch);
                    }
                    _ => {}
                }
                self.event(event);
            }
            Input::Look(look) => look(&self.core),
        }
        if self.exiting {
            stakker::stop!(cx);
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.core.handle(now, event);
        if now.since(self.trusted) >= TRUST_PERIOD {
            self.trusted = now;
            self.peers.trust(trust(&self.core));
            self.core.set_day(today());
        }
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Answer { call, part } => self.answer(call, part),
            Action::Dispatch(spec) => {
                let dispatch = spec.dispatch;
                let inputs = self.inputs.clone();
                let handle = self.dispatcher.start(*spec, move |news| {
                    // A closed channel means that the daemon has stopped.
                    let _ = inputs.send(Input::Event(Event::Dispatch { dispatch, news }));
                });
                self.runs.insert(dispatch, handle);
            }
            Action::Cancel { dispatch } => {
                if let Some(handle) = self.runs.remove(&dispatch) {
                    handle.abort();
                }
            }
            Action::Probe { endpoint, address } => {
                let inputs = self.inputs.clone();
                self.dispatcher.probe(address, move |reached| {
                    // A closed channel means that the daemon has stopped.
                    let _ = inputs.send(Input::Event(Event::Probed { endpoint, reached }));
                });
            }
            Action::Send { to, message } => self.send(&to, message),
            Action::Platform { op, request } => self.platform.call(op, request),
            Action::Order(spec) => {
                let inputs = self.inputs.clone();
                orders::send(*spec, self.clock.clone(), move |spec, result| {
                    let (endpoint, id) = (spec.endpoint, spec.id);
                    // A closed channel means that the daemon has stopped.
                    let _ = inputs.send(Input::Event(Event::Ordered {
                        endpoint,
                        id,
                        result,
                    }));
                });
            }
            Action::Exit => self.exiting = true,
        }
    }

    /// Sends a message to a peer; one that cannot be sent is lost, which the core reckons with.
    fn send(&mut self, to: &InstanceId, message: Message) {
        let Some(address) = self.core.members().address(to) else {
            return;
        };
        let envelope = self.core.envelope(message);
        if !self.peers.send(&address, &envelope) {
            log::debug!("a message to {to} was dropped");
        }
    }

    fn answer(&mut self, call: CallId, part: Part) {
        let last = matches!(part, Part::End(_));
        let Some(parts) = self.calls.get(&call) else {
            return;
        };
        let sent = parts.try_send(part).is_ok();
        if last || !sent {
            self.calls.remove(&call);
        }
        if !sent && !last {
            // A closed channel means that the daemon has stopped.
            let _ = self.inputs.send(Input::Event(Event::Gone { call }));
        }
    }
}

/// What the core's thread starts with.
pub struct Runtime {
    /// The core.
    pub core: Core,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The sending side of the core's own channel.
    pub inputs: mpsc::Sender<Input>,
    /// Makes dispatches.
    pub dispatcher: Dispatcher,
    /// The transport between daemons.
    pub peers: Peers,
    /// The way to the platform.
    pub platform: PlatformPool,
}

impl Runtime {
    /// Runs the core until it says that the process may stop.
    pub fn run(self, inputs: &mpsc::Receiver<Input>) {
        let mut stakker = Stakker::new(Instant::now());
        let core: ActorOwn<CoreActor> = actor!(stakker, CoreActor::init(self), ret_nop!());
        loop {
            stakker.run(Instant::now(), false);
            if core.is_zombie() {
                return;
            }
            match inputs.recv_timeout(TICK) {
                Ok(input) => call!([core], input(input)),
                Err(RecvTimeoutError::Timeout) => {
                    call!([core], input(Input::Event(Event::Tick)));
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // What has gathered meanwhile goes in the same round.
            for input in inputs.try_iter().take(BATCH) {
                call!([core], input(input));
            }
        }
    }
}

/// Returns the present day in universal time, which only bills are counted by.
fn today() -> Day {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Day(u32::try_from(since.as_secs() / SECONDS_A_DAY).unwrap_or_default())
}

/// Seconds of a day in universal time.
const SECONDS_A_DAY: u64 = 86_400;

/// Returns which peers are let in, by what the core knows of them.
fn trust(core: &Core) -> Trust {
    let mut trust = Trust::default();
    for record in core.members().peers() {
        trust
            .pinned
            .insert(record.fingerprint, record.instance.clone());
    }
    for (instance, address) in core.members().listed() {
        if let Ok(address) = address.parse() {
            trust.listed.insert(address, instance.clone());
        }
    }
    trust
}

/// How often the transport is told whom to let in.
const TRUST_PERIOD: Millis = Millis(500);

/// How often the core looks at its timers when nothing happens.
const TICK: Duration = Duration::from_millis(20);

/// The most inputs of one round.
const BATCH: usize = 256;

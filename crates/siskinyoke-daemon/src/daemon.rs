//! Starts a daemon's threads and stops them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use quick_error::quick_error;
use rand::RngCore;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::runtime::Runtime as Tokio;

use crate::Settings;
use crate::dispatch::DispatchLimits;
use crate::dispatch::Dispatcher;
use crate::http::Listener;
use crate::http::ListenerParts;
use crate::loads;
use crate::metrics::Metrics;
use crate::peers::Certificate;
use crate::peers::PeerEvent;
use crate::peers::Peers;
use crate::peers::PeersError;
use crate::peers::PeersSettings;
use crate::platform::EtcdGateway;
use crate::platform::PlatformPool;
use crate::platform::PlatformSettings;
use crate::platform::pool::MakeService;
use crate::runtime::Input;
use crate::runtime::Runtime;
use crate::settings::SeedSettings;
use siskinyoke_base::Clock;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::clock::SystemClock;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_control::configuration::EndpointKind;
use siskinyoke_control::core::Core;
use siskinyoke_control::core::CoreParts;
use siskinyoke_control::core::CoreSettings;
use siskinyoke_control::core::Event;
use siskinyoke_control::platform::ListedInstance;
use siskinyoke_policy::Adaptive;

quick_error! {
    /// A daemon that cannot start.
    #[derive(Debug)]
    pub enum StartError {
        /// The address cannot be listened on.
        Listen(address: String, err: std::io::Error) {
            display("cannot listen on {address}: {err}; hint: another process may hold it")
            source(err)
        }
        /// A thread or runtime cannot be made.
        Thread(err: std::io::Error) {
            display("cannot start a thread: {err}")
            source(err)
        }
        /// The transport between daemons cannot be set up.
        Peers(err: PeersError) {
            display("peers: {err}")
            source(err)
        }
        /// Metrics cannot be set up.
        Metrics(detail: String) {
            display("metrics: {detail}")
        }
    }
}

/// A running daemon.
pub struct Daemon {
    address: SocketAddr,
    peer_address: SocketAddr,
    inputs: mpsc::Sender<Input>,
    core: JoinHandle<()>,
    // Keeps the sockets served until the daemon is joined.
    tokio: Tokio,
}

impl Daemon {
    /// Starts a daemon with checked settings.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a socket, thread or the first configuration cannot be had.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let tokio = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .map_err(StartError::Thread)?;
        let listen = settings.callers.listen.clone();
        let socket = tokio
            .block_on(TcpListener::bind(&listen))
            .map_err(|err| StartError::Listen(listen.clone(), err))?;
        let address = socket
            .local_addr()
            .map_err(|err| StartError::Listen(listen, err))?;
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
        let (inputs, receiver) = mpsc::channel();
        let certificate = Certificate::generate().map_err(StartError::Peers)?;
        let peers = start_peers(&settings, certificate, &inputs)?;
        let peer_address = peers
            .local_address()
            .map_err(|err| StartError::Listen(settings.peers.listen.to_string(), err))?;
        let core = make_core(&settings, address, peer_address, peers.local_fingerprint());
        let platform = start_platform(settings.platform.clone(), &inputs);
        let limits = DispatchLimits {
            connect: settings.work.connect.into(),
            answer: settings.work.answer,
        };
        let dispatcher = Dispatcher::new(tokio.handle().clone(), limits);
        let runtime = Runtime {
            core,
            clock,
            inputs: inputs.clone(),
            dispatcher,
            peers,
            platform,
        };
        let core = thread::Builder::new()
            .name("core".into())
            .spawn(move || runtime.run(&receiver))
            .map_err(StartError::Thread)?;
        tokio.spawn(poll_loads(inputs.clone()));
        let parts = ListenerParts {
            inputs: inputs.clone(),
            metrics,
            settings: settings.callers,
        };
        tokio.spawn(Listener::new(parts).accept(socket));
        log::info!(
            "instance={} listens for callers on {address}",
            settings.instance
        );
        log::info!(
            "instance={} listens for peers on {peer_address}",
            settings.instance
        );
        Ok(Self {
            address,
            peer_address,
            inputs,
            core,
            tokio,
        })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that peers connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Asks the daemon to finish what it accepted and stop.
    pub fn leave(&self) {
        // A closed channel means that the daemon has stopped already.
        let _ = self.inputs.send(Input::Event(Event::Leave));
    }

    /// Makes SIGTERM and SIGINT ask the daemon to leave; a second one changes nothing.
    pub fn leave_on_signals(&self) {
        let inputs = self.inputs.clone();
        let signals = Signals::new([SIGTERM, SIGINT]);
        let Ok(mut signals) = signals else {
            log::error!("signals cannot be caught; the daemon cannot leave gracefully");
            return;
        };
        thread::spawn(move || {
            for _ in signals.forever() {
                if inputs.send(Input::Event(Event::Leave)).is_err() {
                    return;
                }
            }
        });
    }

    /// Waits until the daemon has stopped.
    pub fn join(self) {
        if self.core.join().is_err() {
            log::error!("the core's thread panicked");
        }
        // Answers that were given are still on their way through the sockets.
        self.tokio.shutdown_timeout(FLUSH);
    }
}

/// Threads that serve sockets; entry instances are small.
const WORKERS: usize = 2;

/// How long sockets may take to send what was given to them.
const FLUSH: std::time::Duration = std::time::Duration::from_secs(1);

fn make_core(
    settings: &Settings,
    address: SocketAddr,
    peer_address: SocketAddr,
    fingerprint: [u8; 32],
) -> Core {
    let mut rng = rand::rng();
    let peer = settings.peers.address.clone();
    let caller = settings.callers.address.clone();
    let own = MemberRecord {
        instance: settings.instance.clone(),
        incarnation: Incarnation(rng.next_u64()),
        beat: 0,
        state: MemberState::Live,
        peer: peer.unwrap_or_else(|| peer_address.to_string()),
        caller: caller.unwrap_or_else(|| address.to_string()),
        centre: settings.centre.clone(),
        fingerprint,
    };
    let seeds = settings.peers.seeds.iter().map(seed);
    Core::new(CoreParts {
        own,
        seeds: seeds.collect(),
        settings: CoreSettings {
            run: settings.work.run,
            ..CoreSettings::default()
        },
        scheduler: Box::new(Adaptive::new(rng.next_u64(), 1)),
        seed: rng.next_u64(),
    })
}

fn seed(settings: &SeedSettings) -> ListedInstance {
    ListedInstance {
        instance: settings.instance.clone(),
        centre: settings.centre.clone(),
        peer: settings.peer.clone(),
        caller: settings.caller.clone(),
        leaving: false,
    }
}

fn start_peers(
    settings: &Settings,
    certificate: Certificate,
    inputs: &mpsc::Sender<Input>,
) -> Result<Peers, StartError> {
    let inputs = inputs.clone();
    let sink = move |event| {
        let event = match event {
            PeerEvent::Received { envelope, .. } => Event::Peer(Box::new(envelope)),
            PeerEvent::Refused { .. } => Event::Stranger,
            // What was lost on the way is asked for again by whoever waits for it.
            PeerEvent::Broken { .. } => return,
        };
        // A closed channel means that the daemon has stopped.
        let _ = inputs.send(Input::Event(event));
    };
    let peers = PeersSettings {
        listen: settings.peers.listen,
        threads: 1,
    };
    Peers::start(&peers, certificate, Box::new(sink)).map_err(StartError::Peers)
}

/// Reads load reports of the engines in the configuration in force.
async fn poll_loads(inputs: mpsc::Sender<Input>) {
    let known: Arc<Mutex<Vec<(EndpointId, String)>>> = Arc::default();
    let shown = known.clone();
    let asking = inputs.clone();
    let endpoints: loads::Endpoints = Arc::new(move || {
        let known = known.clone();
        let look = move |core: &Core| {
            let docs = core.view().doc.endpoints.iter();
            let engines = docs.filter(|(_, doc)| doc.kind == EndpointKind::Engine);
            let list = engines
                .map(|(id, doc)| (id.clone(), doc.address.clone()))
                .collect();
            *known.lock().unwrap_or_else(PoisonError::into_inner) = list;
        };
        // The answer comes a moment later, so each reading uses the list of the one before.
        let _ = asking.send(Input::Look(Box::new(look)));
        shown.lock().unwrap_or_else(PoisonError::into_inner).clone()
    });
    loads::poll(endpoints, move |endpoint, report| {
        // A closed channel means that the daemon has stopped.
        let _ = inputs.send(Input::Event(Event::Load { endpoint, report }));
    })
    .await;
}

fn start_platform(settings: PlatformSettings, inputs: &mpsc::Sender<Input>) -> PlatformPool {
    let inputs = inputs.clone();
    let make: MakeService = Arc::new(move || Box::new(EtcdGateway::new(&settings)));
    let sink = move |op, reply| {
        // A closed channel means that the daemon has stopped.
        let _ = inputs.send(Input::Event(Event::Platform { op, reply }));
    };
    PlatformPool::start(&make, Arc::new(sink))
}

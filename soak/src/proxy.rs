//! A loopback proxy that harms the connections it carries.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// What a proxy does to the bytes it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It holds them back for some milliseconds.
    DelayMs(u64),
    /// It swallows them, both ways.
    DropAll,
    /// It swallows what comes back.
    DropResponses,
    /// It closes connections, and takes no new ones for long.
    Reset,
}

/// A loopback proxy that harms the connections it carries.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

impl Proxy {
    /// Starts a proxy before an address.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Self {
            address,
            fault: Arc::new(Mutex::new(Fault::None)),
        };
        let carrying = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                carrying.forward_connection(near, target);
            }
        });
        proxy
    }

    /// Sets what is done to all bytes from now on.
    ///
    /// # Panics
    ///
    /// If a thread of the proxy panicked before.
    pub fn set_fault(&self, harm: Fault) {
        *self.fault.lock().unwrap() = harm;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }

    fn forward_connection(&self, near: TcpStream, target: SocketAddr) {
        if self.fault() == Fault::Reset {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let there = self.clone();
        let back = self.clone();
        thread::spawn(move || there.forward_bytes(near, far, false));
        thread::spawn(move || back.forward_bytes(far2, near2, true));
    }

    fn forward_bytes(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut buffer = [0; 4096];
        while let Ok(length) = from.read(&mut buffer) {
            let swallow = match self.fault() {
                Fault::Reset => break,
                Fault::DropAll => true,
                Fault::DropResponses => back,
                Fault::DelayMs(span) => {
                    thread::sleep(Duration::from_millis(span));
                    false
                }
                Fault::None => false,
            };
            if length == 0 || (!swallow && to.write_all(&buffer[..length]).is_err()) {
                break;
            }
        }
        // Either side may be gone already.
        drop(from.shutdown(Shutdown::Both));
        drop(to.shutdown(Shutdown::Both));
    }
}

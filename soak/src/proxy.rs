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
pub enum Harm {
    /// Nothing.
    None,
    /// It holds them back for some milliseconds.
    Delay(u64),
    /// It swallows them, both ways.
    Silence,
    /// It swallows what comes back.
    OneWay,
    /// It closes connections, and takes no new ones for long.
    Reset,
}

/// A loopback proxy that harms the connections it carries.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
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
            harm: Arc::new(Mutex::new(Harm::None)),
        };
        let carrying = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                carrying.carry(near, target);
            }
        });
        proxy
    }

    /// Sets what is done to all bytes from now on.
    ///
    /// # Panics
    ///
    /// If a thread of the proxy panicked before.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap() = harm;
    }

    fn get(&self) -> Harm {
        *self.harm.lock().unwrap()
    }

    fn carry(&self, near: TcpStream, target: SocketAddr) {
        if self.get() == Harm::Reset {
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
        thread::spawn(move || there.copy(near, far, false));
        thread::spawn(move || back.copy(far2, near2, true));
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut buffer = [0; 4096];
        while let Ok(length) = from.read(&mut buffer) {
            let swallow = match self.get() {
                Harm::Reset => break,
                Harm::Silence => true,
                Harm::OneWay => back,
                Harm::Delay(span) => {
                    thread::sleep(Duration::from_millis(span));
                    false
                }
                Harm::None => false,
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

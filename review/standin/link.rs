//! A link to an address, which can be cut: bytes and new connections then wait until it heals.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::program;

/// How often a cut link looks whether it has healed.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener: TcpListener = program::listen();
        let address = listener.local_addr().expect("the listener is bound");
        let link = Self { address, is_cut: Arc::default() };
        let served = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = served.clone();
                thread::spawn(move || link.connect(near, target));
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(LOOK_INTERVAL);
        }
    }

    fn connect(&self, near: TcpStream, target: SocketAddr) {
        self.wait();
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.copy(far_back, near_back));
        self.copy(near, far);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16_384];
        while let Ok(size) = from.read(&mut buf) {
            self.wait();
            if size == 0 || to.write_all(&buf[..size]).is_err() {
                break;
            }
        }
        // The other end may have closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

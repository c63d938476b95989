//! A TCP proxy before a server: the link of machines to it. It can be cut: then new connections are refused and the
//! open ones are reset. It can also make the open connections fall silent for good, while new ones work.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

extern "C" {
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Resets a connection: a connect to no address dissolves it.
fn reset(stream: &TcpStream) {
    let none = [0u8; 16];
    unsafe { connect(stream.as_raw_fd(), none.as_ptr(), none.len() as u32) };
}

pub struct Proxy {
    pub addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of times that the open connections fell silent.
    silences: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let proxy =
            Proxy { addr, is_cut: Arc::default(), open: Arc::default(), silences: Arc::default() };
        let (is_cut, open) = (Arc::clone(&proxy.is_cut), Arc::clone(&proxy.open));
        let silences = Arc::clone(&proxy.silences);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if is_cut.load(Ordering::SeqCst) {
                    // Without a listener, connections are refused.
                    listener = None;
                    open.lock().unwrap().drain(..).for_each(|stream| reset(&stream));
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(addr).ok();
                }
                let Some(bound) = &listener else { continue };
                let _ = bound.set_nonblocking(true);
                match bound.accept() {
                    Ok((stream, _)) => drop(link(stream, to, &open, &silences)),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(proxy)
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Makes the open connections silent: nothing passes on them any more, and they are not closed.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn link(
    stream: TcpStream,
    to: SocketAddr,
    open: &Mutex<Vec<TcpStream>>,
    silences: &Arc<AtomicUsize>,
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    let other = TcpStream::connect(to)?;
    for end in [&stream, &other] {
        end.set_nodelay(true)?;
        open.lock().unwrap().push(end.try_clone()?);
    }
    for (from, to) in [(stream.try_clone()?, other.try_clone()?), (other, stream)] {
        let silences = Arc::clone(silences);
        thread::spawn(move || pass(from, to, &silences));
    }
    Ok(())
}

fn pass(mut from: TcpStream, mut to: TcpStream, silences: &AtomicUsize) {
    let mut piece = [0; 16384];
    let at_start = silences.load(Ordering::SeqCst);
    loop {
        let read = from.read(&mut piece);
        if silences.load(Ordering::SeqCst) != at_start {
            // Both ends stay open until the run ends.
            loop {
                thread::sleep(Duration::from_secs(60));
            }
        }
        match read {
            Ok(count) if count > 0 && to.write_all(&piece[..count]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

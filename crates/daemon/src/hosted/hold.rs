//! Bodies that are held in memory, within the budget of the daemon.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use buckthornfall_core::{held_bytes::Purpose, server_bytes::SHORT_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use log::info;
use tokio::time::timeout;

use super::node::Node;

/// Number of times that a body of a request is in memory, as a job's is while it is decoded.
const UPLOAD_COPIES: usize = 2;
/// Maximum wait of a long body for the budget, before its request is refused.
const UPLOAD_PATIENCE: Duration = Duration::from_millis(700);
/// Maximum size of a piece that is read from a server at once.
const MAX_PIECE_BYTES: usize = 64 << 10;
/// Size up to which pieces of a body are copied into larger ones.
const PIECE_BYTES: usize = 16 << 10;

/// What one body holds of the budget; given back when dropped.
pub struct Hold {
    node: Rc<Node>,
    purpose: Purpose,
    bytes: usize,
}

impl Hold {
    /// Creates a hold of nothing.
    pub fn new(node: &Rc<Node>, purpose: Purpose) -> Hold {
        Hold { node: Rc::clone(node), purpose, bytes: 0 }
    }

    /// Holds the budget for a body of `size` bytes, more or less than before. Returns whether the budget
    /// allows it.
    pub fn resize(&mut self, size: usize) -> bool {
        let wanted = if size > SHORT_BODY_BYTES { size } else { 0 };
        if wanted == self.bytes {
            return true;
        }
        if !self.node.held_bytes.borrow_mut().resize(self.purpose, self.bytes, wanted) {
            metrics::counter!("held_bytes_denied_total", "purpose" => self.purpose.name())
                .increment(1);
            return false;
        }
        let has_released = wanted < self.bytes;
        self.bytes = wanted;
        if has_released {
            self.node.bytes_released.notify_waiters();
        }
        true
    }

    /// Like `resize`, but waits for at most `patience`, unless many others do.
    pub async fn wait(&mut self, size: usize, patience: Duration) -> bool {
        if self.resize(size) {
            return true;
        }
        let is_allowed = match WaitGuard::new(&self.node) {
            Some(_guard) => timeout(patience, self.wait_on(size)).await.is_ok(),
            None => false,
        };
        if !is_allowed {
            info!(purpose = self.purpose.name(), bytes = size; "held_bytes_denied");
        }
        is_allowed
    }

    async fn wait_on(&mut self, size: usize) {
        while !self.resize(size) {
            let node = Rc::clone(&self.node);
            node.bytes_released.notified().await;
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Counts a body that waits for the budget.
struct WaitGuard(Rc<Node>);

impl WaitGuard {
    /// Counts a body from now on; `None` if too many wait.
    fn new(node: &Rc<Node>) -> Option<WaitGuard> {
        let may_wait = node.held_bytes.borrow_mut().start_wait();
        may_wait.then(|| WaitGuard(Rc::clone(node)))
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.held_bytes.borrow_mut().end_wait();
    }
}

/// Why the body of a request is not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadError {
    /// It exceeds the maximum size.
    TooLarge,
    /// It did not arrive whole.
    Broken,
    /// The daemon holds as many bytes of bodies as it may.
    NoMemory,
}

/// Body of a request that is being received.
pub struct Upload {
    buf: BytesMut,
    /// Size stated by the sender.
    stated: Option<usize>,
    max_bytes: usize,
    hold: Hold,
}

impl Upload {
    /// Creates an empty body.
    pub fn new(node: &Rc<Node>, stated: Option<usize>, max_bytes: usize) -> Upload {
        let hold = Hold::new(node, Purpose::Requests);
        Upload { buf: BytesMut::new(), stated, max_bytes, hold }
    }

    /// Appends a piece. Waits until the budget allows it.
    pub async fn push(&mut self, piece: &[u8]) -> Result<(), UploadError> {
        let size = self.buf.len() + piece.len();
        if size.max(self.stated.unwrap_or_default()) > self.max_bytes {
            return Err(UploadError::TooLarge);
        }
        if size > self.buf.capacity() {
            let whole = self.stated.unwrap_or(self.max_bytes).max(size);
            let capacity = (size * 2).max(SHORT_BODY_BYTES / UPLOAD_COPIES).min(whole);
            if !self.hold.wait(capacity * UPLOAD_COPIES, UPLOAD_PATIENCE).await {
                return Err(UploadError::NoMemory);
            }
            self.buf.reserve(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the body, with what it holds of the budget.
    pub fn finish(mut self) -> HeldBody {
        self.hold.resize(self.buf.len() * UPLOAD_COPIES);
        HeldBody { bytes: self.buf.freeze(), hold: Rc::new(self.hold) }
    }
}

/// Body of a request, with what it holds of the budget.
pub struct HeldBody {
    pub bytes: Bytes,
    pub hold: Rc<Hold>,
}

/// A body in pieces, as they arrived.
pub struct Pieces {
    whole: VecDeque<Bytes>,
    /// Small pieces, copied as each of them may keep a large buffer alive.
    last: BytesMut,
    bytes: usize,
    hold: Hold,
}

impl Pieces {
    /// Creates an empty body.
    pub fn new(hold: Hold) -> Pieces {
        Pieces { whole: VecDeque::new(), last: BytesMut::new(), bytes: 0, hold }
    }

    /// Appends a piece. Returns whether the budget allows this and further ones.
    pub fn push(&mut self, piece: Bytes) -> bool {
        if piece.is_empty() {
            return true;
        }
        self.bytes += piece.len();
        if piece.len() < PIECE_BYTES && self.bytes > piece.len() {
            self.last.extend_from_slice(&piece);
        } else {
            self.flush();
            self.whole.push_back(piece);
        }
        if self.last.len() >= PIECE_BYTES {
            self.flush();
        }
        self.hold.resize(self.bytes)
    }

    /// Removes the first piece.
    pub fn pop(&mut self) -> Option<Bytes> {
        if self.whole.is_empty() {
            self.flush();
        }
        let piece = self.whole.pop_front()?;
        self.bytes -= piece.len();
        self.hold.resize(self.bytes);
        Some(piece)
    }

    /// Returns whether the budget allows a further piece while at most `limit` bytes are held.
    pub fn has_room(&mut self, limit: usize) -> bool {
        let wanted = self.bytes + MAX_PIECE_BYTES;
        self.bytes == 0 || (wanted <= limit && self.hold.resize(wanted))
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes
    }

    fn flush(&mut self) {
        if !self.last.is_empty() {
            self.whole.push_back(self.last.split().freeze());
        }
    }
}

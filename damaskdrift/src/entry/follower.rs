//! Tracks the state of the platform store as received from relays, and as relayed to leaves.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use damaskdrift_core::config_sync;
use damaskdrift_core::time::Millis;
use tokio::sync::Notify;

use crate::entry::clock;
use crate::peer::message;

/// Frames of changes that a relay retains for instances that reconnect; one that is further behind
/// lists the store itself.
const MAX_RETAINED_FRAMES: usize = 64;
/// Limit on the size of retained changes. A configuration may take a megabyte, and small instances
/// have less than a hundred megabytes of memory.
const MAX_RETAINED_BYTES: usize = 4 << 20;
/// Age of the newest confirmation up to which a leaf relies on its relays instead of the store.
///
/// It covers two waits of a relay's watch and the transfer. The limit for a change to take effect
/// is at least two seconds; the remainder is left for the response of the store.
pub const RELAY_CONFIRMATION_TTL: Millis = Millis(1_800);
/// How long a relay's revision may be ahead of the installed one before this instance lists the
/// store itself: the changes in between were most likely lost.
const MAX_BEHIND: Millis = Millis(400);

/// Age of the last report of a relay up to which the relay counts as active; reports arrive every
/// 50 ms.
const RELAY_REPORT_TTL: Millis = Millis(1_500);

/// State of an instance as a follower or relay of the platform store.
#[derive(Debug, Default)]
pub struct Follower {
    /// Revision of the store that this instance has installed.
    pub revision: Cell<u64>,
    /// When this instance last received a report from a relay.
    pub relay_last_contact: Cell<Option<Millis>>,
    /// Number of connections from instances of the same failure domain, which include the leaves of
    /// a relay.
    pub leaves: Cell<u32>,
    /// Notified when the store has to be listed again.
    pub must_relist: Notify,
    behind_since: Cell<Option<Millis>>,
    retained: RefCell<VecDeque<Rc<message::Frame>>>,
}

impl Follower {
    /// Returns whether this instance is served by a relay or has leaves as a relay.
    ///
    /// It then retains its role even if the store no longer lists the others: registrations expire
    /// when the store rejects most of a fleet.
    pub fn is_relay_active(&self, now: Millis) -> bool {
        let last_contact = self.relay_last_contact.get();
        let has_relay = last_contact.is_some_and(|at| now.since(at) < RELAY_REPORT_TTL);
        has_relay || self.leaves.get() > 0
    }

    /// Compares the revision of a relay with the installed one, and returns the time as of which
    /// the relay confirms it.
    pub fn observe_view(&self, view: &message::StoreView, now: Millis) -> Option<Millis> {
        if view.revision > self.revision.get() {
            let since = self.behind_since.get().unwrap_or(now);
            self.behind_since.set(Some(since));
            if now.since(since) >= MAX_BEHIND {
                self.behind_since.set(None);
                self.must_relist.notify_one();
            }
            return None;
        }
        self.behind_since.set(None);
        Some(config_sync::relayed_confirmed_at(Millis(view.echo), Millis(view.age_ms), now))
    }

    /// Returns this instance's view of the store, or `None` if it was never confirmed.
    ///
    /// `echo` is the send time in the receiver's latest report.
    pub fn view(&self, confirmed_at: Option<Millis>, echo: u64) -> Option<message::StoreView> {
        let age_ms = clock::now().since(confirmed_at?).0;
        Some(message::StoreView { revision: self.revision.get(), age_ms, echo })
    }

    /// Retains a frame of changes for instances that reconnect.
    pub fn retain(&self, frame: Rc<message::Frame>) {
        let mut retained = self.retained.borrow_mut();
        retained.push_back(frame);
        let mut bytes: usize = retained.iter().map(|frame| approximate_size(frame)).sum();
        while retained.len() > MAX_RETAINED_FRAMES || bytes > MAX_RETAINED_BYTES {
            let Some(oldest) = retained.pop_front() else {
                return;
            };
            bytes -= approximate_size(&oldest);
        }
    }

    /// Returns the retained frames with changes after a revision.
    pub fn retained_after(&self, revision: u64) -> Vec<Rc<message::Frame>> {
        let is_after = |frame: &&Rc<message::Frame>| match frame.as_ref() {
            message::Frame::Changes(changes) => changes.range.1 > revision,
            _ => false,
        };
        self.retained.borrow().iter().filter(is_after).cloned().collect()
    }
}

/// Returns the approximate size of a frame of changes in bytes.
fn approximate_size(frame: &message::Frame) -> usize {
    let message::Frame::Changes(changes) = frame else {
        return 0;
    };
    let value_len = |value: &Option<String>| value.as_ref().map_or(0, String::len);
    changes.items.iter().map(|(key, value, _)| key.len() + value_len(value)).sum()
}

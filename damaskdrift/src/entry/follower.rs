//! Follows the platform's store through relays, and passes its changes on as a relay.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use damaskdrift_core::config_sync;
use damaskdrift_core::time::Millis;
use tokio::sync::Notify;

use crate::entry::clock;
use crate::peer::message;

/// Changes that a relay records for instances that connect anew; one that is further behind reads
/// the store itself.
const RECORDED_CHANGES: usize = 64;
/// Most bytes of recorded changes. A configuration may take a megabyte, and small instances have
/// less than a hundred.
const RECORDED_BYTES: usize = 4 << 20;
/// Age of the newest confirmation up to which a leaf waits for its relays instead of asking the
/// store itself: twice the wait of a relay's watch, and some time for the way. The rest of the
/// bound on how late a change takes effect, two seconds or more, is left to the store's answer.
pub const RELAY_SILENCE: Millis = Millis(1_800);
/// How long a relay's view may be ahead of this instance before it reads the store itself: the
/// changes between were most likely lost.
const BEHIND_LIMIT: Millis = Millis(400);

/// Age of a relay's last report up to which it counts as serving; reports come every 50 ms.
const SERVED_LIFE: Millis = Millis(1_500);

/// The view of the platform's store that an instance shares with others.
#[derive(Debug, Default)]
pub struct Follower {
    /// Revision of the store that this instance has installed.
    pub revision: Cell<u64>,
    /// When a relay last reported to this instance.
    pub served: Cell<Option<Millis>>,
    /// Instances of its failure domain that are connected to this one as their relay.
    pub leaves: Cell<u32>,
    /// Set when the store has to be read again.
    pub must_read: Notify,
    behind_since: Cell<Option<Millis>>,
    recorded: RefCell<VecDeque<Rc<message::Frame>>>,
}

impl Follower {
    /// Returns whether relays serve this instance, or it serves others as one. Its place is then
    /// kept although the store no longer lists the others: registrations lapse where the store
    /// turns most of a fleet away.
    pub fn is_in_use(&self, now: Millis) -> bool {
        let is_served = self.served.get().is_some_and(|at| now.since(at) < SERVED_LIFE);
        is_served || self.leaves.get() > 0
    }

    /// Takes a relay's view into account. Returns as of when it confirms the installed revision.
    pub fn hear(&self, view: &message::StoreView, now: Millis) -> Option<Millis> {
        if view.revision > self.revision.get() {
            let since = self.behind_since.get().unwrap_or(now);
            self.behind_since.set(Some(since));
            if now.since(since) >= BEHIND_LIMIT {
                self.behind_since.set(None);
                self.must_read.notify_one();
            }
            return None;
        }
        self.behind_since.set(None);
        Some(config_sync::relayed_confirmed_at(Millis(view.echo), Millis(view.age_ms), now))
    }

    /// Returns this instance's view, for the sender of a report.
    pub fn view(&self, confirmed: Option<Millis>, echo: u64) -> Option<message::StoreView> {
        let age_ms = clock::now().since(confirmed?).0;
        Some(message::StoreView { revision: self.revision.get(), age_ms, echo })
    }

    /// Records changes for instances that connect anew.
    pub fn record(&self, frame: Rc<message::Frame>) {
        let mut recorded = self.recorded.borrow_mut();
        recorded.push_back(frame);
        let mut bytes: usize = recorded.iter().map(|frame| size(frame)).sum();
        while recorded.len() > RECORDED_CHANGES || bytes > RECORDED_BYTES {
            let Some(oldest) = recorded.pop_front() else {
                return;
            };
            bytes -= size(&oldest);
        }
    }

    /// Returns the recorded changes that an instance at a revision lacks.
    pub fn missed(&self, revision: u64) -> Vec<Rc<message::Frame>> {
        let is_missed = |frame: &&Rc<message::Frame>| match frame.as_ref() {
            message::Frame::Changes(changes) => changes.range.1 > revision,
            _ => false,
        };
        self.recorded.borrow().iter().filter(is_missed).cloned().collect()
    }
}

/// Returns about how many bytes a frame of changes takes.
fn size(frame: &message::Frame) -> usize {
    let message::Frame::Changes(changes) = frame else {
        return 0;
    };
    let value = |value: &Option<String>| value.as_ref().map_or(0, String::len);
    changes.items.iter().map(|(key, text, _)| key.len() + value(text)).sum()
}

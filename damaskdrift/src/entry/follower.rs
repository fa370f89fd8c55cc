//! Follows the platform's store through relays, and passes its changes on as a relay.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use damaskdrift_core::time::Millis;
use tokio::sync::Notify;

use crate::entry::clock;
use crate::peer::message;

/// Changes that a relay keeps for instances that connect anew; one that is further behind reads
/// the store itself.
const KEPT_CHANGES: usize = 64;
/// Age of the last confirmation by a relay up to which an instance relies on relays: a watch of
/// the store that ends without a change takes 1.5 s, and its answer some time more.
pub const RELAY_SILENCE: Millis = Millis(2_300);
/// How long a relay's view may be ahead of this instance before it reads the store itself: the
/// changes between were most likely lost.
const BEHIND_LIMIT: Millis = Millis(400);

/// The view of the platform's store that an instance shares with others.
#[derive(Debug, Default)]
pub struct Follower {
    /// Revision of the store that this instance has installed.
    pub revision: Cell<u64>,
    /// When relays last confirmed the installed revision, by this instance's clock.
    pub relayed: Cell<Option<Millis>>,
    /// Set when the store has to be read again.
    pub must_read: Notify,
    behind_since: Cell<Option<Millis>>,
    kept: RefCell<VecDeque<Rc<message::Frame>>>,
}

impl Follower {
    /// Returns whether relays have confirmed the installed revision lately.
    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.relayed.get().is_some_and(|at| now.since(at) < RELAY_SILENCE)
    }

    /// Takes a relay's view into account. Returns as of when it confirms the installed revision.
    pub fn hear(&self, view: &message::View, now: Millis) -> Option<Millis> {
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
        // The relay had the report with this sending time when it took the age.
        let confirmed = Millis(view.echo.min(now.0)) - Millis(view.age_ms);
        self.relayed.set(Some(self.relayed.get().map_or(confirmed, |at| at.max(confirmed))));
        Some(confirmed)
    }

    /// Returns this instance's view, for the sender of a report.
    pub fn view(&self, confirmed: Option<Millis>, echo: u64) -> Option<message::View> {
        let age_ms = clock::now().since(confirmed?).0;
        Some(message::View { revision: self.revision.get(), age_ms, echo })
    }

    /// Keeps changes for instances that connect anew.
    pub fn keep(&self, frame: Rc<message::Frame>) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= KEPT_CHANGES {
            kept.pop_front();
        }
        kept.push_back(frame);
    }

    /// Returns the kept changes that an instance at a revision lacks.
    pub fn missed(&self, revision: u64) -> Vec<Rc<message::Frame>> {
        let is_missed = |frame: &&Rc<message::Frame>| match frame.as_ref() {
            message::Frame::Changes(changes) => changes.range.1 > revision,
            _ => false,
        };
        self.kept.borrow().iter().filter(is_missed).cloned().collect()
    }
}

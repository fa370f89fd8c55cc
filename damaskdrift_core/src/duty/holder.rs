//! Life cycle of an instance with respect to the duties: candidate, holder, suspended, fenced.

use derive_more::From;

use crate::id;
use crate::time::Millis;

/// Time after the start of a process for which it may have held the duties before, under the same
/// name. An instance that crashed is restarted within a few seconds.
const RESTART_MEMORY: Millis = Millis(10_000);

/// The leader lease of this instance, as known to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Store revision of the claim.
    pub token: id::FencingToken,
    /// Whether the lease lasts long enough to act.
    pub is_valid: bool,
}

/// An instance that does not hold the duties.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    memory: Memory,
}

/// The instance that holds the duties.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    memory: Memory,
    token: id::FencingToken,
    acts_from: Millis,
}

/// A holder whose lease may have expired; it continues if the lease is renewed.
#[derive(Clone, Copy, Debug)]
pub struct Suspended {
    holder: Holder,
}

/// A former holder whose token was refused. It never acts with this token again.
#[derive(Clone, Copy, Debug)]
pub struct Fenced {
    memory: Memory,
    token: id::FencingToken,
}

/// What outlasts the states.
#[derive(Clone, Copy, Debug)]
struct Memory {
    /// Minimum time between the actions of another holder and of this instance, if this one held
    /// the duties before it.
    turn: Millis,
    started_at: Millis,
    has_held: bool,
    /// When another instance was last seen as the leader.
    other_seen_at: Option<Millis>,
}

/// State of an instance in the life cycle.
#[derive(Clone, Copy, Debug, From)]
pub enum Holding {
    /// It does not hold the duties.
    Candidate(Candidate),
    /// It holds the duties.
    Holder(Holder),
    /// It cannot confirm that it still holds them.
    Suspended(Suspended),
    /// Its token was refused.
    Fenced(Fenced),
}

impl Candidate {
    /// Creates the state of an instance that has just started.
    pub fn new(turn: Millis, now: Millis) -> Self {
        let memory = Memory { turn, started_at: now, has_held: false, other_seen_at: None };
        Self { memory }
    }

    /// Begins to hold the duties.
    ///
    /// The holders must not change from this instance to another one and back within `turn`, so an
    /// instance that may have held the duties before waits after it last saw the other one.
    fn begin(mut self, token: id::FencingToken, now: Millis) -> Holder {
        let is_young = now.since(self.memory.started_at) < RESTART_MEMORY;
        let may_have_held = self.memory.has_held || is_young;
        let acts_from = match self.memory.other_seen_at {
            Some(seen_at) if may_have_held => seen_at + self.memory.turn,
            _ => now,
        };
        self.memory.has_held = true;
        Holder { memory: self.memory, token, acts_from }
    }
}

impl Holder {
    /// Returns the token to act with, once the instance may act.
    pub fn token(&self, now: Millis) -> Option<id::FencingToken> {
        (now >= self.acts_from).then_some(self.token)
    }

    fn suspend(self) -> Suspended {
        Suspended { holder: self }
    }

    fn end(self) -> Candidate {
        Candidate { memory: self.memory }
    }

    fn fence(self) -> Fenced {
        Fenced { memory: self.memory, token: self.token }
    }
}

impl Suspended {
    fn resume(self) -> Holder {
        self.holder
    }

    fn end(self) -> Candidate {
        self.holder.end()
    }
}

impl Fenced {
    fn end(self) -> Candidate {
        Candidate { memory: self.memory }
    }
}

impl Holding {
    /// Creates the state of an instance that has just started; `turn` is the minimum time between
    /// the actions of another holder and of this instance.
    pub fn new(turn: Millis, now: Millis) -> Self {
        Candidate::new(turn, now).into()
    }

    /// Records that the store names another instance as the leader.
    pub fn record_other(&mut self, now: Millis) {
        let memory = match self {
            Self::Candidate(state) => &mut state.memory,
            Self::Holder(state) => &mut state.memory,
            Self::Suspended(state) => &mut state.holder.memory,
            Self::Fenced(state) => &mut state.memory,
        };
        memory.other_seen_at = Some(now);
    }

    /// Updates the state from the leader lease of this instance, if it has one.
    pub fn update(&mut self, lease: Option<Lease>, now: Millis) {
        *self = match (*self, lease) {
            (Self::Candidate(state), Some(lease)) if lease.is_valid => {
                state.begin(lease.token, now).into()
            }
            (Self::Holder(state), Some(lease)) if lease.token == state.token => {
                if lease.is_valid {
                    state.into()
                } else {
                    state.suspend().into()
                }
            }
            (Self::Suspended(state), Some(lease)) if lease.token == state.holder.token => {
                if lease.is_valid { state.resume().into() } else { state.into() }
            }
            (Self::Fenced(state), Some(lease)) if lease.token == state.token => state.into(),
            (Self::Candidate(state), _) => state.into(),
            (Self::Holder(state), _) => state.end().into(),
            (Self::Suspended(state), _) => state.end().into(),
            (Self::Fenced(state), _) => state.end().into(),
        };
    }

    /// Records that a token was refused because a higher one was seen.
    pub fn record_refusal(&mut self, token: id::FencingToken) {
        *self = match *self {
            Self::Holder(state) if state.token == token => state.fence().into(),
            Self::Suspended(state) if state.holder.token == token => state.holder.fence().into(),
            state => state,
        };
    }

    /// Returns the token with which the instance may act now.
    pub fn token(&self, now: Millis) -> Option<id::FencingToken> {
        match self {
            Self::Holder(holder) => holder.token(now),
            Self::Candidate(_) | Self::Suspended(_) | Self::Fenced(_) => None,
        }
    }

    /// Returns whether the token of the instance was refused.
    pub fn is_fenced(&self) -> bool {
        matches!(self, Self::Fenced(_))
    }
}

//! Membership, liveness and roles of the instances of a fleet, as seen by one instance.

mod pause;
mod ping;
mod roles;
mod roster;

pub use pause::{MAX_TICK_GAP, PauseDetector};
pub use ping::{MAX_FULL_PING_FLEET, ping_fanout, ping_targets};
pub use roles::{Layout, MAX_MESH_FLEET, Member, Role, Scope, layout};
pub use roster::{
    DEAD_AFTER, Listed, Liveness, Membership, ROSTER_RETENTION, SUSPECT_AFTER, UNLISTED_PEER_TTL,
};

//! Who belongs to the fleet and who is alive, as seen by one instance.

mod pulse;
mod relays;
mod roster;
mod targets;

pub use pulse::{PAUSE_LIMIT, Pulse};
pub use relays::{Layout, MESH_LIMIT, Member, Place, Scope, layout};
pub use roster::{
    CONTACT_EXPIRY, DEAD_AFTER, Listed, Liveness, Membership, ROSTER_HOLD, SUSPECT_AFTER,
};
pub use targets::{FULL_MESH_MAX, degree, targets};

//! Quarantine of prompt segments on which engines crash.
//!
//! Each instance records the crashes of engines with the segments of the requests that it had in
//! flight there, and the segments that were answered. Instances exchange these records; a segment
//! that explains several crashes and was answered nowhere since is put in quarantine. The set of these
//! segments is recorded durably as well, so that a restart of the whole fleet keeps it.

mod crash;
mod ledger;
mod memory;
mod record;
mod verdict;

pub use crash::{Candidate, Crash, Incarnation, Standing};
pub use ledger::{Admission, Blame, Ledger, Report};
pub use record::{Record, RecordedBlame, Recorder};

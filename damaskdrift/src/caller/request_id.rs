//! Request ids that name their upstream and belong to one workspace.

use damaskdrift_core::fleet;
use damaskdrift_core::id;
use subtle::ConstantTimeEq as _;

/// Purpose under which the key of request ids is derived from the fleet secret.
const PURPOSE: &str = "damaskdrift 2026 request id";
/// Length of the code in a request id, in bytes.
const MAC_LEN: usize = 16;

/// Creates the id of a new request to an upstream: `UPSTREAM.RANDOM.MAC`.
pub fn generate(
    secret: &fleet::Secret,
    workspace: &id::Workspace,
    upstream: &id::Upstream,
) -> id::Request {
    let random = format!("{:032x}", rand::random::<u128>());
    let mac = mac(secret, workspace, upstream.as_str(), &random);
    id::Request::new(&format!("{upstream}.{random}.{mac}"))
}

/// Returns the upstream of a request id, or nothing when the id is not one of the workspace's.
pub fn verify(
    secret: &fleet::Secret,
    workspace: &id::Workspace,
    request: &str,
) -> Option<id::Upstream> {
    let mut parts = request.rsplitn(3, '.');
    let (given, random, upstream) = (parts.next()?, parts.next()?, parts.next()?);
    let expected = mac(secret, workspace, upstream, random);
    let is_equal = bool::from(given.as_bytes().ct_eq(expected.as_bytes()));
    is_equal.then(|| id::Upstream::new(upstream))
}

fn mac(secret: &fleet::Secret, workspace: &id::Workspace, upstream: &str, random: &str) -> String {
    let mut hasher = blake3::Hasher::new_keyed(&secret.derive(PURPOSE));
    // None of the parts contains a zero byte, so that the separator keeps them apart.
    for part in [workspace.as_str(), upstream, random] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize().to_hex();
    hash[..2 * MAC_LEN].to_owned()
}

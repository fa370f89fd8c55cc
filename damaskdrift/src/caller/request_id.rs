//! Request ids that encode their upstream and are authenticated for one workspace.

use damaskdrift_core::fleet;
use damaskdrift_core::id;
use subtle::ConstantTimeEq as _;

/// Context string for deriving the request id key from the fleet secret.
const KEY_CONTEXT: &str = "damaskdrift 2026 request id";
/// Length of the message authentication code in a request id; hex encoding doubles it.
const MAC_BYTES: usize = 16;

/// Generates the id of a new request to an upstream, in the form `UPSTREAM.RANDOM.MAC`.
pub fn generate(
    secret: &fleet::Secret,
    workspace: &id::Workspace,
    upstream: &id::Upstream,
) -> id::Request {
    let random = format!("{:032x}", rand::random::<u128>());
    let mac = mac(secret, workspace, upstream.as_str(), &random);
    id::Request::new(&format!("{upstream}.{random}.{mac}"))
}

/// Returns the upstream encoded in a request id, or `None` if the id was not issued for the
/// workspace.
pub fn verify(
    secret: &fleet::Secret,
    workspace: &id::Workspace,
    request: &str,
) -> Option<id::Upstream> {
    let mut fields = request.rsplitn(3, '.');
    let (given, random, upstream) = (fields.next()?, fields.next()?, fields.next()?);
    let expected = mac(secret, workspace, upstream, random);
    let is_equal = bool::from(given.as_bytes().ct_eq(expected.as_bytes()));
    is_equal.then(|| id::Upstream::new(upstream))
}

fn mac(secret: &fleet::Secret, workspace: &id::Workspace, upstream: &str, random: &str) -> String {
    let mut hasher = blake3::Hasher::new_keyed(&secret.derive(KEY_CONTEXT));
    // No field contains a zero byte, so the separator makes the encoding unambiguous.
    for field in [workspace.as_str(), upstream, random] {
        hasher.update(field.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize().to_hex();
    hash[..2 * MAC_BYTES].to_owned()
}

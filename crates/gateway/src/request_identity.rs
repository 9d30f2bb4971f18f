//! Identity of a request by its content, so that a retry by the caller is recognized.
//!
//! The request id in the caller's header differs with each try. A request that is sent again is
//! therefore recognized by method, host, path and query, customer, and body. Headers are not
//! included, as some of them (times, trace ids) differ from try to try; a target failure that is
//! caused by one particular header is not attributed correctly for this reason.

use wingbridge_decide::Fingerprint;

/// The parts of a request that identify it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestIdentity<'a> {
    pub(crate) method: &'a str,
    pub(crate) host: &'a str,
    /// Path and query.
    pub(crate) target: &'a str,
    /// Name of the customer; empty if the request carries no customer's key.
    pub(crate) customer: &'a str,
    /// The body, or the buffered beginning of a long one.
    pub(crate) body: &'a [u8],
}

impl RequestIdentity<'_> {
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for text in [self.method, self.host, self.target, self.customer] {
            // The length prefix keeps adjacent fields apart: without it, moving bytes from one
            // field to the next would give the same fingerprint.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(self.body);
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Fingerprint(u64::from_le_bytes(first))
    }
}

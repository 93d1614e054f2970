//! Bearer keys, which name workspaces.

use decision::{Document, WorkspaceSpec};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// SHA-256 of a key in hexadecimal, as a service document holds it.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The workspace that a key names, if any.
///
/// Every workspace is compared, in constant time, so that the time taken says
/// nothing of the digests.
pub fn workspace_for_key<'a>(document: &'a Document, key: &str) -> Option<&'a WorkspaceSpec> {
    let digest = key_digest(key);
    let mut found = None;
    for workspace in &document.workspaces {
        let known = workspace.key_digest.to_ascii_lowercase();
        if bool::from(known.as_bytes().ct_eq(digest.as_bytes())) {
            found = Some(workspace);
        }
    }
    found
}

//! Bearer keys and the workspaces that they belong to.

use decision::{Document, WorkspaceSpec};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;

/// Returns the SHA-256 of a key in lower-case hexadecimal, as in a service
/// document.
pub fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns the workspace that a key belongs to.
///
/// Compares the key with every workspace in constant time, so that the time
/// taken reveals nothing about the digests.
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

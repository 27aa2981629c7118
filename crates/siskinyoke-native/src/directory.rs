//! Readiness check and instance directory.

use serde_json::json;

use crate::names;
use siskinyoke_base::Millis;
use siskinyoke_interface::InstanceDirectory;

/// The native readiness check and instance directory.
#[derive(Debug, Clone, Copy)]
pub struct NativeDirectory;

impl InstanceDirectory for NativeDirectory {
    fn readiness_path(&self) -> &'static str {
        names::READY_PATH
    }

    fn directory_path(&self) -> &'static str {
        names::LOCATE_PATH
    }

    fn requested_centre<'a>(&self, query: &'a str) -> &'a str {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix("centre="))
            .unwrap_or("")
    }

    fn encode_addresses(&self, addresses: &[String], ttl: Millis) -> Vec<u8> {
        json!({ "addresses": addresses, "keep_ms": ttl.0 })
            .to_string()
            .into_bytes()
    }
}

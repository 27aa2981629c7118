//! The copy of the configuration that peers get.

use bytes::Bytes;

use siskinyoke_gateway::configuration_copy::ConfigurationCopy;
use siskinyoke_soak::configuration;

#[test]
fn a_compressed_copy_is_smaller_and_yields_the_same_document() {
    let document = Bytes::from(configuration::text_with_routes(3, "k", 1_000));
    let mut copy = ConfigurationCopy::Plain(document.clone());
    let compressed = copy.compressed().unwrap();
    assert!(compressed.len() * 4 < document.len());
    assert_eq!(copy.compressed().unwrap(), compressed);
    assert_eq!(copy.plain().unwrap(), document);
    let received = ConfigurationCopy::Compressed(compressed);
    assert_eq!(received.plain().unwrap(), document);
}

#[test]
fn a_truncated_copy_is_an_error() {
    let document = Bytes::from(configuration::text_with_routes(3, "k", 1_000));
    let compressed = ConfigurationCopy::Plain(document).compressed().unwrap();
    let truncated = compressed.slice(..compressed.len() / 2);
    assert!(ConfigurationCopy::Compressed(truncated).plain().is_err());
}

//! The configuration in force as it was received, from which peers get it.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Maximum size of a configuration, far above what stores accept as one value.
const MAX_CONFIGURATION_BYTES: u64 = 16 * 1024 * 1024;

/// Compression level. Higher ones take a small instance several times as long, for a tenth less.
const COMPRESSION_LEVEL: u32 = 3;

/// The document of a configuration as it was received.
#[derive(Debug, Clone)]
pub enum ConfigurationCopy {
    /// The plain document, from the store.
    Plain(Bytes),
    /// The compressed document, from a peer or for peers.
    Compressed(Bytes),
}

impl ConfigurationCopy {
    /// Returns the plain document.
    ///
    /// # Errors
    ///
    /// If a compressed document is invalid or longer than any configuration.
    pub fn plain(&self) -> std::io::Result<Bytes> {
        match self {
            Self::Plain(bytes) => Ok(bytes.clone()),
            Self::Compressed(bytes) => decompress(bytes),
        }
    }

    /// Returns the compressed document; it is compressed once and kept.
    ///
    /// # Errors
    ///
    /// If the document cannot be compressed.
    pub fn compressed(&mut self) -> std::io::Result<Bytes> {
        let bytes = match self {
            Self::Plain(bytes) => compress(bytes)?,
            Self::Compressed(bytes) => bytes.clone(),
        };
        *self = Self::Compressed(bytes.clone());
        Ok(bytes)
    }
}

fn compress(bytes: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::new(COMPRESSION_LEVEL));
    encoder.write_all(bytes)?;
    Ok(encoder.finish()?.into())
}

fn decompress(bytes: &[u8]) -> std::io::Result<Bytes> {
    let mut plain = Vec::new();
    let mut decoder = ZlibDecoder::new(bytes).take(MAX_CONFIGURATION_BYTES);
    decoder.read_to_end(&mut plain)?;
    Ok(plain.into())
}

//! A daemon's self-made certificate, which lives no longer than its process.

use rcgen::KeyPair;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivatePkcs8KeyDer;

use super::PeersError;

/// The name in every certificate; peers are known by fingerprint, never by name.
pub(super) const SERVER_NAME: &str = "siskinyoke";

/// A certificate with its private key.
#[derive(Debug)]
pub struct Certificate {
    pub(super) chain: CertificateDer<'static>,
    pub(super) key: PrivatePkcs8KeyDer<'static>,
    fingerprint: [u8; 32],
}

impl Certificate {
    /// Makes a new certificate and key, which are kept in memory only.
    ///
    /// # Errors
    ///
    /// [`PeersError::Certificate`] if no key can be drawn.
    pub fn generate() -> Result<Self, PeersError> {
        let key = KeyPair::generate().map_err(PeersError::Certificate)?;
        let params = rcgen::CertificateParams::new(vec![SERVER_NAME.to_owned()])
            .map_err(PeersError::Certificate)?;
        let certificate = params.self_signed(&key).map_err(PeersError::Certificate)?;
        let chain = certificate.der().clone();
        Ok(Self {
            fingerprint: fingerprint(&chain),
            chain,
            key: PrivatePkcs8KeyDer::from(key.serialize_der()),
        })
    }

    /// Returns the fingerprint by which peers know it.
    pub fn fingerprint(&self) -> [u8; 32] {
        self.fingerprint
    }
}

/// Returns a certificate's fingerprint: the BLAKE3 digest of its DER form.
pub fn fingerprint(der: &[u8]) -> [u8; 32] {
    *blake3::hash(der).as_bytes()
}

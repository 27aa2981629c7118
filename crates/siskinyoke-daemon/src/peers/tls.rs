//! Checks of certificates by fingerprint, in place of a chain of authorities.

use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::CertificateError;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::Error;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;

use super::Certificate;
use super::PeersError;
use super::fingerprint;

/// Protocol name of the handshake; another version of the messages gets another name.
const PROTOCOL: &[u8] = b"siskinyoke-1";

/// Makes the client's side, which takes only the certificate with a fingerprint.
///
/// With `None`, any certificate is taken: the first contact with a listed address.
pub fn client(
    own: &Certificate,
    pinned: Option<[u8; 32]>,
) -> Result<quinn::ClientConfig, PeersError> {
    let provider = Arc::new(ring::default_provider());
    let verifier = Arc::new(Verifier {
        provider: Arc::clone(&provider),
        pinned,
    });
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(vec![own.chain.clone()], own.key.clone_key().into())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicClientConfig::try_from(config).map_err(tls_error)?;
    Ok(quinn::ClientConfig::new(Arc::new(config)))
}

/// Makes the server's side, which wants a certificate; whose it may be is decided when the
/// peer's address is known too, before anything is read.
pub fn server(own: &Certificate) -> Result<quinn::ServerConfig, PeersError> {
    let provider = Arc::new(ring::default_provider());
    let verifier = Arc::new(Verifier {
        provider: Arc::clone(&provider),
        pinned: None,
    });
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![own.chain.clone()], own.key.clone_key().into())
        .map_err(tls_error)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let config = QuicServerConfig::try_from(config).map_err(tls_error)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(config)))
}

fn tls_error(err: impl std::fmt::Display) -> PeersError {
    PeersError::Tls(err.to_string())
}

/// Checks that the peer holds the key of its certificate, and that the certificate is the one
/// expected.
#[derive(Debug)]
struct Verifier {
    provider: Arc<CryptoProvider>,
    pinned: Option<[u8; 32]>,
}

impl Verifier {
    // Guards against an instance's address that was given to another machine: that machine
    // answers in place of the peer, but cannot show the certificate that the members' records
    // name.
    fn check(&self, presented: &CertificateDer<'_>) -> Result<(), Error> {
        let fits = |pinned| fingerprint(presented) == pinned;
        if self.pinned.is_none_or(fits) {
            return Ok(());
        }
        let reason = CertificateError::ApplicationVerificationFailure;
        Err(Error::InvalidCertificate(reason))
    }

    fn check_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.check(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General("only TLS 1.3 is spoken".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.check_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General("only TLS 1.3 is spoken".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.check_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

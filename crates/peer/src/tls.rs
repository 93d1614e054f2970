//! Mutual TLS between instances, with certificates that are reloaded when their
//! files change.

use crate::{Error, Result};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

/// Paths of an instance's certificate, its private key and the authority's
/// certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain in PEM, with the instance's ID as DNS name.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub key: PathBuf,
    /// Certificate of the authority that signs the certificates of all
    /// instances, in PEM.
    pub authority: PathBuf,
}

/// TLS configurations for outgoing and incoming connections.
#[derive(Clone, Debug)]
pub(crate) struct TlsConfigs {
    pub(crate) client: Arc<ClientConfig>,
    pub(crate) server: Arc<ServerConfig>,
}

/// Loads the TLS files again whenever one of them has changed.
///
/// If the new files are invalid, the last valid ones stay in use.
#[derive(Debug)]
pub struct TlsReloader {
    files: TlsFiles,
    /// Modification times of the files and the configurations loaded from them.
    loaded: Mutex<(Vec<SystemTime>, TlsConfigs)>,
}

impl TlsReloader {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Fails if a file is missing, is not valid PEM, or does not match the others.
    pub fn load(files: TlsFiles) -> Result<Self> {
        let times = files.modified_times();
        let configs = files.load()?;
        Ok(TlsReloader {
            files,
            loaded: Mutex::new((times, configs)),
        })
    }

    /// Returns the current configurations, after a reload if a file has changed.
    pub(crate) fn configs(&self) -> TlsConfigs {
        let mut loaded = self.loaded.lock().expect("TLS configurations");
        let times = self.files.modified_times();
        if times != loaded.0 {
            match self.files.load() {
                Ok(configs) => {
                    log::info!("mesh certificate reloaded");
                    *loaded = (times, configs);
                }
                Err(e) => {
                    log::warn!("mesh certificate not reloaded: {e}");
                    // The same invalid files are not loaded again.
                    loaded.0 = times;
                }
            }
        }
        loaded.1.clone()
    }
}

impl TlsFiles {
    fn modified_times(&self) -> Vec<SystemTime> {
        let files = [&self.certificate, &self.key, &self.authority];
        let modified = |path: &&PathBuf| {
            let metadata = std::fs::metadata(path.as_path());
            metadata
                .and_then(|m| m.modified())
                .unwrap_or(SystemTime::UNIX_EPOCH)
        };
        files.iter().map(modified).collect()
    }

    fn load(&self) -> Result<TlsConfigs> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.roots()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|e| key_error(&self.authority, &e))?;
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| key_error(&self.certificate, &e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private_key()?)
            .map_err(|e| key_error(&self.certificate, &e))?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| key_error(&self.certificate, &e))?
            .with_root_certificates(roots)
            .with_client_auth_cert(self.chain()?, self.private_key()?)
            .map_err(|e| key_error(&self.certificate, &e))?;
        Ok(TlsConfigs {
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }

    fn roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&self.authority)? {
            roots
                .add(certificate)
                .map_err(|e| key_error(&self.authority, &e))?;
        }
        Ok(roots)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        read_certificates(&self.certificate)
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>> {
        PrivateKeyDer::from_pem_file(&self.key).map_err(|e| key_error(&self.key, &e))
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|e| key_error(path, &e))
}

fn key_error(path: &Path, error: &impl ToString) -> Error {
    Error::Key {
        path: path.display().to_string(),
        message: error.to_string(),
    }
}

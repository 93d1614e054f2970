//! Mutual TLS between instances, with keys that are read again when replaced.

use crate::{Error, Result};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

/// Files of an instance's certificate, its key and the authority's certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain in PEM; names the instance as a DNS name.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub key: PathBuf,
    /// Certificate of the authority that signs all instances, in PEM.
    pub authority: PathBuf,
}

/// Configurations of both ends of a connection.
#[derive(Clone, Debug)]
pub(crate) struct TlsConfigs {
    pub(crate) client: Arc<ClientConfig>,
    pub(crate) server: Arc<ServerConfig>,
}

/// Reads the files again whenever one of them has changed.
///
/// Where the new files cannot be used, the last good ones stay in force.
#[derive(Debug)]
pub struct TlsReloader {
    files: TlsFiles,
    loaded: Mutex<(Vec<SystemTime>, TlsConfigs)>,
}

impl TlsReloader {
    /// Reads the files for the first time.
    ///
    /// # Errors
    ///
    /// Fails where a file is missing, is not PEM, or does not fit the others.
    pub fn load(files: TlsFiles) -> Result<Self> {
        let times = files.times();
        let configs = files.load()?;
        Ok(TlsReloader {
            files,
            loaded: Mutex::new((times, configs)),
        })
    }

    pub(crate) fn configs(&self) -> TlsConfigs {
        let mut loaded = self.loaded.lock().expect("TLS configurations");
        let times = self.files.times();
        if times != loaded.0 {
            match self.files.load() {
                Ok(configs) => {
                    log::info!("mesh certificate read again");
                    *loaded = (times, configs);
                }
                Err(e) => {
                    log::warn!("mesh certificate not replaced: {e}");
                    loaded.0 = times;
                }
            }
        }
        loaded.1.clone()
    }
}

impl TlsFiles {
    fn times(&self) -> Vec<SystemTime> {
        let files = [&self.certificate, &self.key, &self.authority];
        let time = |path: &&PathBuf| {
            let data = std::fs::metadata(path.as_path());
            data.and_then(|d| d.modified())
                .unwrap_or(SystemTime::UNIX_EPOCH)
        };
        files.iter().map(time).collect()
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

//! Implementation of the calls that operators make to an instance.

use crate::answers::Answers;
use crate::node_thread::NodeHandle;
use crate::settings::Settings;
use crate::store::{Store, to_operator_error};
use decision::{
    Digest, Document, DrainKey, DrainMark, Event, InstanceId, ValidationError, Version,
    VersionedDocument,
};
use operator::{ApplyResult, DrainResult, Error, OperatorApi, Result, ServiceSummary};
use peer::Mesh;
use rand::Rng;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a reply of the node's thread.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls that operators make to this instance.
pub(crate) struct LocalOperatorApi {
    pub(crate) instance: InstanceId,
    pub(crate) settings: Settings,
    pub(crate) node: NodeHandle,
    pub(crate) store: Store,
    pub(crate) answers: Arc<Answers>,
    pub(crate) mesh: Arc<dyn Mesh>,
    /// Asks the instance to shut down.
    pub(crate) stop_sender: flume::Sender<()>,
}

impl OperatorApi for LocalOperatorApi {
    fn state(&self) -> Value {
        let dump = self.node.inspect(decision::Node::dump);
        let node = dump.recv_timeout(NODE_TIMEOUT).ok();
        let (answers, bytes) = self.answers.usage();
        json!({
            "node": node,
            "settings": self.settings,
            "answers": {
                "kept": answers,
                "bytes": bytes,
                "under_way": self.answers.count_unfinished(),
            },
            "marks_not_in_table": self.store.unsaved_marks(),
            "mesh": self.mesh.traffic(),
        })
    }

    fn services(&self) -> Vec<ServiceSummary> {
        let documents = self.node.documents.read().expect("documents");
        documents
            .values()
            .map(|v| ServiceSummary {
                service: v.document.service.clone(),
                version: v.version,
                targets: v.document.targets.len(),
                workspaces: v.document.workspaces.len(),
            })
            .collect()
    }

    fn document(&self, service: &str, version: Option<Version>) -> Result<VersionedDocument> {
        let in_force = {
            let documents = self.node.documents.read().expect("documents");
            documents.get(service).cloned()
        };
        let wanted = version.or(in_force.as_ref().map(|v| v.version));
        match (in_force, wanted) {
            (Some(found), Some(wanted)) if found.version == wanted => Ok((*found).clone()),
            (_, Some(version)) => {
                let document = self.store.read_document(service, version);
                let document = document.map_err(to_operator_error)?;
                document
                    .map(|document| VersionedDocument { version, document })
                    .ok_or_else(|| service_not_found(service))
            }
            (_, None) => Err(service_not_found(service)),
        }
    }

    fn apply(&self, document: Document, expected: Version, dry_run: bool) -> Result<ApplyResult> {
        let mut faults = document.validate();
        faults.extend(self.targets_in_other_services(&document));
        if !faults.is_empty() {
            return Err(Error::Invalid { faults });
        }
        let service = document.service.clone();
        let found = {
            let documents = self.node.documents.read().expect("documents");
            documents.get(&service).map_or(0, |v| v.version)
        };
        if found > expected {
            return Err(Error::Conflict { expected, found });
        }
        if dry_run {
            return Ok(ApplyResult {
                service,
                version: expected + 1,
                dry_run: true,
                settled: false,
            });
        }
        let unique: u64 = rand::rng().random();
        let token = format!("{}-{unique:016x}", self.instance);
        let applied = self.store.apply(&document, expected, &token)?;
        let version = applied.version;
        self.node
            .send_event(Event::Document(VersionedDocument { version, document }));
        Ok(applied)
    }

    fn set_drained(&self, key: DrainKey, drained: bool) -> Result<DrainResult> {
        self.check_key_exists(&key)?;
        let wanted = key.clone();
        self.node.send_event(Event::SetDrained { key, drained });
        let reply = self
            .node
            .inspect(move |node, _| node.marks().iter().find(|m| m.key == wanted));
        let mark: Option<DrainMark> = reply.recv_timeout(NODE_TIMEOUT).ok().flatten();
        let mark = mark.ok_or_else(|| Error::NotFound {
            what: "mark; the instance is stopping".to_owned(),
        })?;
        Ok(DrainResult {
            mark,
            instance: self.instance.clone(),
        })
    }

    fn unquarantine(&self, digest: Digest) -> Result<()> {
        self.node.send_event(Event::Unquarantine(digest));
        Ok(())
    }

    fn stop(&self) {
        let _ = self.stop_sender.try_send(());
    }
}

impl LocalOperatorApi {
    /// Returns a fault for each target that another service's document names.
    ///
    /// A target must belong to one service, since otherwise two stewards would each count
    /// only a part of its load.
    fn targets_in_other_services(&self, document: &Document) -> Vec<ValidationError> {
        let documents = self.node.documents.read().expect("documents");
        let others = documents
            .values()
            .filter(|v| v.document.service != document.service);
        let mut faults = Vec::new();
        for other in others {
            for (i, target) in document.targets.iter().enumerate() {
                if other.document.target(&target.id).is_some() {
                    faults.push(ValidationError {
                        path: format!("targets[{i}].id"),
                        message: format!("belongs to service {}", other.document.service),
                    });
                }
            }
        }
        faults
    }

    /// Checks that a document names the target or failure domain.
    ///
    /// An unknown name is most likely a typing error, and the drain would have no effect.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotFound`] for an unknown name.
    fn check_key_exists(&self, key: &DrainKey) -> Result<()> {
        let documents = self.node.documents.read().expect("documents");
        let mut targets = documents.values().flat_map(|v| &v.document.targets);
        let (is_known, what) = match key {
            DrainKey::Domain(name) => (
                targets.any(|t| t.domain == *name) || self.settings.domain == *name,
                format!("failure domain {name:?}"),
            ),
            DrainKey::Target(name) => (targets.any(|t| t.id == *name), format!("target {name:?}")),
        };
        if is_known {
            return Ok(());
        }
        Err(Error::NotFound { what })
    }
}

fn service_not_found(service: &str) -> Error {
    Error::NotFound {
        what: format!("service {service:?} of that version"),
    }
}

//! One attempt at one target.

use crate::Shared;
use decision::{AttemptOutcome, Lease, Pick, Refusal};
use exchange::Driver;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use platform::requests::{self, AddedHeaders, ResponseKind};
use std::time::Duration;

/// Time to open a connection to a target: it takes about 2 ms, and a second
/// where the first packet is lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// A caller's request, as it is sent to targets.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt: decision::AttemptId,
}

/// Counts a request at a target until the attempt has ended.
pub(crate) struct Held {
    gateway: Shared,
    lease: Lease,
    ending: AttemptOutcome,
}

impl Held {
    pub(crate) fn new(gateway: &Shared, lease: Lease) -> Self {
        Held {
            gateway: gateway.clone(),
            lease,
            ending: AttemptOutcome::Dropped,
        }
    }

    /// Ends the attempt.
    pub(crate) fn end(mut self, ending: AttemptOutcome) {
        self.ending = ending;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut router = self.gateway.router.borrow_mut();
        router.ended(now, &self.lease, self.ending);
    }
}

/// Head of a target's answer to a live attempt.
pub(crate) struct Opened {
    pub(crate) answer: Response<Incoming>,
    pub(crate) driver: Driver,
    /// Requests that the target held, this one included, if it tells.
    pub(crate) held: Option<u32>,
}

/// Why an attempt gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Miss {
    /// Nothing was sent.
    Unsent(String),
    /// The target is full and did not run the request.
    Full,
    /// Another target has the address and did not run the request.
    Moved,
    /// The target answered that the request failed there.
    Failed,
    /// The request may have run.
    Lost(String),
    /// The request ran, and its answer is larger than may be held.
    TooLarge,
}

impl Miss {
    /// Whether it is certain that the request did not run.
    pub(crate) fn has_not_run(&self) -> bool {
        !matches!(self, Miss::Lost(_) | Miss::TooLarge | Miss::Failed)
    }

    /// Whether the request arrived at the target, which draws on the budget.
    pub(crate) fn has_arrived(&self) -> bool {
        !matches!(self, Miss::Unsent(_))
    }

    pub(crate) fn ending(&self) -> AttemptOutcome {
        match self {
            Miss::Unsent(_) | Miss::Lost(_) | Miss::TooLarge => AttemptOutcome::Broken,
            Miss::Failed => AttemptOutcome::Failed,
            Miss::Full => AttemptOutcome::Full,
            Miss::Moved => AttemptOutcome::Moved,
        }
    }

    pub(crate) fn word(&self) -> &'static str {
        match self {
            Miss::Unsent(_) => "unsent",
            Miss::Full => "full",
            Miss::Moved => "moved",
            Miss::Failed => "failed",
            Miss::Lost(_) => "lost",
            Miss::TooLarge => "too_large",
        }
    }

    pub(crate) fn detail(&self) -> &str {
        match self {
            Miss::Unsent(message) | Miss::Lost(message) => message,
            Miss::Full | Miss::Moved | Miss::Failed | Miss::TooLarge => "",
        }
    }
}

impl From<exchange::Error> for Miss {
    fn from(failure: exchange::Error) -> Miss {
        match failure {
            exchange::Error::NotSent { message, .. } => Miss::Unsent(message),
            exchange::Error::Lost(message) => Miss::Lost(message),
            exchange::Error::TooLarge => Miss::TooLarge,
        }
    }
}

/// Sends the request to a target, if `readmit` still allows it, and waits up to
/// `limit` for the answer's head.
pub(crate) async fn open(
    call: &Call,
    pick: &Pick,
    forward: &AddedHeaders<'_>,
    limit: Duration,
    readmit: impl Fn() -> Result<(), Refusal>,
) -> Result<Opened, Miss> {
    let sender = exchange::connect(pick.address, CONNECT_TIMEOUT.min(limit)).await?;
    // The process may have stood still since the request was admitted.
    readmit().map_err(|refusal| Miss::Unsent(refusal.word().to_owned()))?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.uri.clone())
        .body(Full::new(call.body.clone()))
        .map_err(|e| Miss::Unsent(e.to_string()))?;
    *request.headers_mut() = requests::target_headers(&call.headers, forward);
    let answered = tokio::time::timeout(limit, sender.send(request)).await;
    let (answer, driver) = answered.map_err(|_| Miss::Lost("no answer in time".to_owned()))??;
    let status = answer.status().as_u16();
    match requests::classify_response(status, answer.headers(), &call.attempt) {
        ResponseKind::Ran => Ok(Opened {
            held: requests::reported_load(answer.headers()),
            answer,
            driver,
        }),
        ResponseKind::NotRun => Err(Miss::Full),
        ResponseKind::WrongTarget => Err(Miss::Moved),
        ResponseKind::Mismatched => Err(Miss::Lost("the answer is for another request".to_owned())),
    }
}

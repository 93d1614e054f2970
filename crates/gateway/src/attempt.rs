//! One attempt to send a request to one target.

use crate::SharedGateway;
use crate::connections::{ConnectError, TargetConnection};
use decision::{AttemptOutcome, Lease, Pick, Refusal, Reuse, TargetNotice};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use platform::requests::{self, AddedHeaders, ResponseKind};
use std::time::Duration;
use tokio::time::Instant;

/// Time after a request was sent on a kept connection in which its end shows that the
/// target had forgotten the connection. A later one may be due to the request.
const FORGOTTEN_TIME: Duration = Duration::from_millis(100);
/// Limit on the bytes of a refusal that are read to keep its connection.
const MAX_REFUSAL_BYTES: usize = 4 << 10;
/// Time in which the body of such a refusal arrives.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Caller's request with its complete body, from which every attempt is built.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt: decision::AttemptId,
}

/// Keeps a request counted as in flight at its target until the attempt ends.
///
/// If it is dropped without [`LeaseGuard::end`], the attempt counts as abandoned.
pub(crate) struct LeaseGuard {
    gateway: SharedGateway,
    lease: Lease,
    outcome: AttemptOutcome,
}

impl LeaseGuard {
    pub(crate) fn new(gateway: &SharedGateway, lease: Lease) -> Self {
        LeaseGuard {
            gateway: gateway.clone(),
            lease,
            outcome: AttemptOutcome::Abandoned,
        }
    }

    /// Records that the first byte, or the first event, of the response has arrived.
    pub(crate) fn record_first_byte(&mut self) {
        let now = self.gateway.now();
        let mut router = self.gateway.router.borrow_mut();
        router.record_first_byte(now, &mut self.lease);
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn end(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut router = self.gateway.router.borrow_mut();
        router.finish_attempt(now, &self.lease, self.outcome);
    }
}

/// Response of a target whose head has arrived and whose body is still to be read.
pub(crate) struct OpenResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: TargetConnection,
    /// Requests in flight at the target by its own count, this one included, if
    /// it reports them.
    pub(crate) target_load: Option<u32>,
    /// Time that work takes at the target, in hundredths of the usual time, if it tells
    /// it.
    pub(crate) target_pace: Option<u32>,
}

/// Why an attempt got no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, because it is no longer admitted, or the
    /// target takes none for now or leaves.
    Withheld(Refusal),
    /// The target is full and did not run the request.
    Full,
    /// Another target has taken over the address; it did not run the request.
    Moved,
    /// The target ran the request and responded with a 5xx status.
    Failed,
    /// The request was sent and may have run, but no complete response arrived.
    Lost(String),
    /// The same, because the connection was closed or reset.
    Disconnected(String),
    /// The target had forgotten the kept connection on which the request was sent, and
    /// most likely has not got it.
    Forgotten(String),
    /// The request ran, but its response exceeds a size limit.
    TooLarge,
    /// The target was silent and was left for another one.
    Silent,
    /// Another attempt, which was under way before, got the response.
    Surplus,
}

impl AttemptError {
    /// Returns whether it is certain that the request did not run.
    pub(crate) fn has_not_run(&self) -> bool {
        !matches!(
            self,
            AttemptError::Lost(_)
                | AttemptError::Disconnected(_)
                | AttemptError::Forgotten(_)
                | AttemptError::TooLarge
                | AttemptError::Failed
                | AttemptError::Silent
                | AttemptError::Surplus
        )
    }

    /// Returns whether the request may have reached the target; another attempt
    /// then counts as a retry and needs a token of the retry budget.
    pub(crate) fn may_have_arrived(&self) -> bool {
        !matches!(self, AttemptError::NotSent(_) | AttemptError::Withheld(_))
    }

    /// Returns whether the connection ended before the head of the response, as that of
    /// a target that crashes does.
    pub(crate) fn is_disconnection(&self) -> bool {
        matches!(
            self,
            AttemptError::Disconnected(_) | AttemptError::Forgotten(_)
        )
    }

    /// Returns the outcome that the router records for the target.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptError::NotSent(_)
            | AttemptError::Lost(_)
            | AttemptError::Disconnected(_)
            | AttemptError::TooLarge
            | AttemptError::Silent => AttemptOutcome::Broken,
            AttemptError::Failed => AttemptOutcome::Failed,
            AttemptError::Withheld(_) | AttemptError::Forgotten(_) | AttemptError::Surplus => {
                AttemptOutcome::Abandoned
            }
            AttemptError::Full => AttemptOutcome::Full,
            AttemptError::Moved => AttemptOutcome::Moved,
        }
    }

    /// Returns the name of the error in metrics, logs and responses.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            AttemptError::NotSent(_) => "unsent",
            AttemptError::Withheld(_) => "withheld",
            AttemptError::Full => "full",
            AttemptError::Moved => "moved",
            AttemptError::Failed => "failed",
            AttemptError::Lost(_) | AttemptError::Disconnected(_) => "lost",
            AttemptError::Forgotten(_) => "forgotten",
            AttemptError::TooLarge => "too_large",
            AttemptError::Silent => "silent",
            AttemptError::Surplus => "surplus",
        }
    }

    /// Returns the cause in words, or an empty string if the label says it all.
    pub(crate) fn detail(&self) -> &str {
        match self {
            AttemptError::NotSent(message)
            | AttemptError::Lost(message)
            | AttemptError::Disconnected(message)
            | AttemptError::Forgotten(message) => message,
            AttemptError::Withheld(refusal) => refusal.word(),
            AttemptError::Full
            | AttemptError::Moved
            | AttemptError::Failed
            | AttemptError::TooLarge
            | AttemptError::Silent
            | AttemptError::Surplus => "",
        }
    }
}

impl From<exchange::Error> for AttemptError {
    fn from(error: exchange::Error) -> AttemptError {
        match error {
            exchange::Error::NotSent { message, .. } => AttemptError::NotSent(message),
            exchange::Error::Lost(message) => AttemptError::Disconnected(message),
            exchange::Error::TooLarge => AttemptError::TooLarge,
        }
    }
}

impl From<ConnectError> for AttemptError {
    fn from(error: ConnectError) -> AttemptError {
        match error {
            ConnectError::Full(refusal) => AttemptError::Withheld(refusal),
            ConnectError::Failed(error) => error.into(),
        }
    }
}

/// One attempt at a request.
pub(crate) struct Attempt<'a> {
    pub(crate) gateway: &'a SharedGateway,
    pub(crate) caller: &'a CallerRequest,
    pub(crate) pick: &'a Pick,
    pub(crate) added: AddedHeaders<'a>,
    /// Which kept connections may be used.
    pub(crate) reuse: Reuse,
    /// Time until the head of the response must have arrived.
    pub(crate) timeout: Duration,
}

impl Attempt<'_> {
    /// Sends the request to the target and waits for the head of the response.
    /// `recheck` decides after the connection is open whether the request may still be
    /// sent, and `notify` gets what the target's response says of it.
    pub(crate) async fn send(
        &self,
        recheck: impl Fn() -> Result<(), AttemptError>,
        notify: impl FnOnce(TargetNotice),
    ) -> Result<OpenResponse, AttemptError> {
        let mut connection = self.connect(self.reuse).await?;
        // The process may have been paused or suspended since the request was
        // admitted, and its API key may no longer be valid. The target may have said
        // in another response that it takes no requests.
        recheck()?;
        let mut response = self.exchange(&mut connection).await;
        if connection.is_reused && matches!(response, Err(AttemptError::NotSent(_))) {
            // The target had closed the connection before.
            connection = self.connect(Reuse::Never).await?;
            recheck()?;
            response = self.exchange(&mut connection).await;
        }
        let response = response?;
        let status = response.status().as_u16();
        let kind = requests::classify_response(status, response.headers(), &self.caller.attempt);
        if matches!(
            kind,
            ResponseKind::Ran | ResponseKind::NotRun | ResponseKind::Ambiguous
        ) {
            notify(requests::target_notice(status, response.headers()));
        }
        connection.rest_after(requests::keep_time(&response));
        match kind {
            ResponseKind::Ran => Ok(OpenResponse {
                target_load: requests::reported_load(response.headers()),
                target_pace: requests::reported_pace(response.headers()),
                response,
                connection,
            }),
            ResponseKind::NotRun => {
                keep_after_refusal(connection, response);
                Err(AttemptError::Full)
            }
            ResponseKind::WrongTarget => Err(AttemptError::Moved),
            ResponseKind::Mismatched => {
                connection.record_surplus();
                Err(AttemptError::Lost(
                    "the answer is for another request".to_owned(),
                ))
            }
            ResponseKind::Ambiguous => Err(AttemptError::Lost(
                "the answer does not say whether the request ran".to_owned(),
            )),
        }
    }

    async fn connect(&self, reuse: Reuse) -> Result<TargetConnection, AttemptError> {
        let opened = TargetConnection::open(self.gateway, self.pick, reuse, self.timeout);
        Ok(opened.await?)
    }

    /// Sends the request on a connection and waits for the head of the response.
    async fn exchange(
        &self,
        connection: &mut TargetConnection,
    ) -> Result<Response<Incoming>, AttemptError> {
        let mut request = Request::builder()
            .method(self.caller.method.clone())
            .uri(self.caller.uri.clone())
            .body(Full::new(self.caller.body.clone()))
            .map_err(|e| AttemptError::NotSent(e.to_string()))?;
        let is_kept = connection.may_be_kept();
        *request.headers_mut() =
            requests::target_headers(&self.caller.headers, &self.added, is_kept);
        let started = Instant::now();
        let sent = tokio::time::timeout(self.timeout, connection.request(request)).await;
        let sent = sent.map_err(|_| AttemptError::Lost("no answer in time".to_owned()))?;
        sent.map_err(|error| match AttemptError::from(error) {
            AttemptError::Disconnected(message)
                if connection.is_reused && started.elapsed() < FORGOTTEN_TIME =>
            {
                connection.close_others();
                AttemptError::Forgotten(message)
            }
            error => error,
        })
    }
}

/// Reads the body of a refusal in the background, after which its connection can be
/// kept.
fn keep_after_refusal(connection: TargetConnection, response: Response<Incoming>) {
    if !connection.will_rest() {
        return;
    }
    tokio::task::spawn_local(async move {
        let body = exchange::collect(response.into_body(), MAX_REFUSAL_BYTES);
        if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_TIME, body).await {
            connection.finish();
        }
    });
}

//! Client of plain services, whose responses are not streamed.

use crate::http::{self, AttemptError};
use crate::{Attempt, AttemptEvent, Error, LoadPollFuture, TargetClient, TargetRequest};
use exchange::{MemoryBudget, Reservation};
use std::net::SocketAddr;

/// Client of plain HTTP services.
#[derive(Clone, Debug, Default)]
pub struct ServiceClient {
    memory: MemoryBudget,
}

impl ServiceClient {
    /// Creates a client whose buffered responses count against `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        ServiceClient { memory }
    }
}

impl TargetClient for ServiceClient {
    fn dispatch(&self, request: TargetRequest) -> Attempt {
        let memory = self.memory.reservation();
        http::spawn_attempt(|events| run(request, memory, events))
    }

    /// Fails, because plain services do not report their load.
    fn poll_load(&self, address: SocketAddr, _since: u64) -> LoadPollFuture {
        let error = Error {
            step: "load report",
            peer: address,
            message: "a plain service reports no load".to_owned(),
        };
        Box::pin(std::future::ready(Err(error)))
    }
}

async fn run(
    request: TargetRequest,
    memory: Reservation,
    sender: flume::Sender<AttemptEvent>,
) -> Result<(), AttemptError> {
    let http_request = http::build_request(&request)?;
    let connection = http::connect(request.address).await?;
    let _ = sender.send_async(AttemptEvent::Sent).await;
    let (response, _driver) = connection.send(http_request).await?;
    http::check_head(&response, &request.attempt)?;
    let status = response.status().as_u16();
    let content_type = exchange::header_or_empty(&response, "content-type").into();
    // A body that is shorter than its content length is an error here.
    let body = exchange::collect_reserved(response.into_body(), http::BODY_MAX, memory).await?;
    let event = AttemptEvent::CompleteResponse {
        status,
        content_type,
        body,
    };
    let _ = sender.send_async(event).await;
    Ok(())
}

//! Plain services: one call, one whole answer.

use crate::http::{self, Stopped};
use crate::{Attempt, AttemptEvent, Error, LoadPollFuture, TargetClient, TargetRequest};
use exchange::{MemoryBudget, Reservation};
use std::net::SocketAddr;

/// Adapter for plain HTTP services.
#[derive(Clone, Debug, Default)]
pub struct ServiceClient {
    memory: MemoryBudget,
}

impl ServiceClient {
    /// Makes an adapter whose buffered responses count against `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        ServiceClient { memory }
    }
}

impl TargetClient for ServiceClient {
    fn dispatch(&self, call: TargetRequest) -> Attempt {
        let memory = self.memory.reservation();
        http::start(|heard| run(call, memory, heard))
    }

    /// A plain service reports no load.
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
    call: TargetRequest,
    memory: Reservation,
    heard: flume::Sender<AttemptEvent>,
) -> Result<(), Stopped> {
    let request = http::http_request(&call)?;
    let sender = http::connect(call.address).await?;
    let _ = heard.send_async(AttemptEvent::Sent).await;
    let (answer, _driver) = sender.send(request).await?;
    if exchange::header_or_empty(&answer, http::NOT_RUN) == "true" {
        return Err(Stopped::Before {
            connect_failed: false,
            message: "the service says that it did not run".to_owned(),
        });
    }
    let echo = exchange::header_or_empty(&answer, http::REQUEST_ID);
    if !echo.is_empty() && echo != call.attempt {
        return Err(Stopped::After(
            "the answer is for another request".to_owned(),
        ));
    }
    let status = answer.status().as_u16();
    let content_type = exchange::header_or_empty(&answer, "content-type").into();
    // A body that ends before its stated length is an error here.
    let body = exchange::collect_reserved(answer.into_body(), http::BODY_MAX, memory).await?;
    let whole = AttemptEvent::CompleteResponse {
        status,
        content_type,
        body,
    };
    let _ = heard.send_async(whole).await;
    Ok(())
}

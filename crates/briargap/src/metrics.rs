//! Export of metrics to a statsd server.

use crate::{Error, Result};
use cadence::{Gauged, StatsdClient, UdpMetricSink};
use decision::NodeDump;
use peer::Traffic;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};

/// Client that sends metrics over UDP.
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Opens the socket; every metric is tagged with the instance.
    pub(crate) fn new(statsd: SocketAddr, instance: &str) -> Result<Self> {
        let io_error = |message: String| Error::Io {
            step: "open a metrics socket to",
            peer: statsd.to_string(),
            message,
        };
        let local = if statsd.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local).map_err(|e| io_error(e.to_string()))?;
        let sink = UdpMetricSink::from(statsd, socket).map_err(|e| io_error(e.to_string()))?;
        let client = StatsdClient::builder("briargap", sink)
            .with_tag("instance", instance)
            .build();
        Ok(Metrics { client })
    }

    /// Sends all metrics as gauges; `answers` is the number and total size of kept answers.
    ///
    /// Counters are sent as running totals, so that a lost packet is made up for
    /// by the next one.
    pub(crate) fn send(&self, dump: &NodeDump, traffic: &Traffic, answers: (usize, usize)) {
        if let Ok(Value::Object(counters)) = serde_json::to_value(&dump.counters) {
            for (name, value) in counters {
                self.gauge(&format!("node.{name}"), value.as_u64().unwrap_or(0));
            }
        }
        self.gauge("node.chats", dump.chats as u64);
        self.gauge("node.held", dump.held as u64);
        self.gauge("node.pending", dump.pending as u64);
        self.gauge("answers.kept", answers.0 as u64);
        self.gauge("answers.bytes", answers.1 as u64);
        for (kind, (messages, bytes)) in &traffic.sent {
            self.gauge(&format!("mesh.sent.{kind}.messages"), *messages);
            self.gauge(&format!("mesh.sent.{kind}.bytes"), *bytes);
        }
        for (kind, (messages, bytes)) in &traffic.received {
            self.gauge(&format!("mesh.received.{kind}.messages"), *messages);
            self.gauge(&format!("mesh.received.{kind}.bytes"), *bytes);
        }
        self.gauge("mesh.unknown", traffic.unknown);
        self.gauge("mesh.malformed", traffic.malformed);
        self.gauge("mesh.dropped", traffic.dropped);
    }

    fn gauge(&self, name: &str, value: u64) {
        // The next report replaces a value that could not be sent.
        let _ = self.client.gauge(name, value);
    }
}

//! The link to the agent of the box. While it is down, the proxy continues with the configuration
//! that it has.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::TcpStream;
use async_std::task;
use futures::future::select;
use wingbridge_decide::{BoxEvent, TargetKey};
use wingbridge_process::StopSignal;
use wingbridge_wire::convert::verdict_of;
use wingbridge_wire::handshake::prove;
use wingbridge_wire::{
    Entry, Events, FleetKey, Frame, FrameBody, FrameReader, FrameWriter, HandshakeSide, Hello,
    Stamps, WireError, split_stream,
};

use crate::active_config::ConfigBuilder;
use crate::context::ProxyContext;
use crate::inputs::DecisionInput;

/// Time between the end of a link and the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of messages that are queued for the agent. Without an agent, further messages are
/// dropped.
pub(crate) const AGENT_QUEUE_LENGTH: usize = 1024;

/// The task that keeps the link to the agent open.
pub(crate) struct AgentLink {
    pub(crate) context: Arc<ProxyContext>,
    pub(crate) outgoing: Receiver<FrameBody>,
    pub(crate) to_agent: Sender<FrameBody>,
    /// Closed when the configuration is complete.
    pub(crate) caught_up: Sender<()>,
    pub(crate) stop: StopSignal,
}

impl AgentLink {
    /// Keeps the link open until `stop` is signalled.
    pub(crate) async fn run(self) {
        let mut builder = ConfigBuilder::default();
        let work = async {
            loop {
                if let Err(error) = self.run_link(&mut builder).await {
                    log::debug!(reason:% = error; "agent-link-ended");
                }
                task::sleep(RECONNECT_DELAY).await;
            }
        };
        select(std::pin::pin!(work), std::pin::pin!(self.stop.wait())).await;
    }

    async fn run_link(&self, builder: &mut ConfigBuilder) -> Result<(), WireError> {
        let (reader, writer) = self.connect().await?;
        self.context.trace.record("agent-connected", &[]);
        let result = {
            let reading = std::pin::pin!(self.read(reader, builder));
            let writing = std::pin::pin!(self.write(writer));
            select(reading, writing).await.factor_first().0
        };
        self.context.trace.record("agent-lost", &[]);
        // A suspension by the agent does not outlast the link; the agent has to repeat it.
        self.context.ready.suspend(false);
        result
    }

    async fn connect(&self) -> Result<(FrameReader, FrameWriter), WireError> {
        let settings = &self.context.settings;
        let mut stream = TcpStream::connect(settings.agent).await?;
        stream.set_nodelay(true)?;
        prove(&mut stream, &FleetKey::derive(&settings.fleet_key), HandshakeSide::Client).await?;
        let (mut reader, mut writer) = split_stream(stream);
        let hello = Hello {
            box_id: settings.box_id.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: self.context.clock.micros(),
        };
        writer.send(&self.frame(FrameBody::Hello(hello))).await?;
        reader.next().await?;
        Ok((reader, writer))
    }

    async fn read(
        &self,
        mut reader: FrameReader,
        builder: &mut ConfigBuilder,
    ) -> Result<(), WireError> {
        while let Some(frame) = reader.next().await? {
            self.context.trace.clock().observe(frame.clock);
            if let Some(body) = frame.body {
                self.handle(body, builder).await;
            }
        }
        Ok(())
    }

    async fn write(&self, mut writer: FrameWriter) -> Result<(), WireError> {
        while let Ok(body) = self.outgoing.recv().await {
            writer.send(&self.frame(body)).await?;
            self.send_events(&mut writer).await?;
        }
        Ok(())
    }

    async fn send_events(&self, writer: &mut FrameWriter) -> Result<(), WireError> {
        let events = self.context.trace.take_unsent();
        if events.is_empty() {
            return Ok(());
        }
        let events = events.iter().filter_map(|event| serde_json::to_string(event).ok());
        let body = FrameBody::Events(Events { events: events.collect() });
        writer.send(&self.frame(body)).await?;
        Ok(())
    }

    async fn handle(&self, body: FrameBody, builder: &mut ConfigBuilder) {
        match body {
            FrameBody::Entries(entries) => self.apply_config(&entries.entries, builder).await,
            FrameBody::CaughtUp(caught_up) if caught_up.complete => {
                builder.publish(&self.context.config);
                self.caught_up.close();
            }
            FrameBody::Verdicts(verdicts) => {
                for verdict in &verdicts.verdicts {
                    self.send_to_core(BoxEvent::VerdictReceived(verdict_of(verdict))).await;
                }
            }
            FrameBody::Draining(draining) => {
                let service = draining.service.as_str().into();
                let target = TargetKey(draining.target);
                self.send_to_core(BoxEvent::DrainingReceived { service, target }).await;
            }
            FrameBody::Readiness(readiness) => {
                self.context.ready.suspend(!readiness.allowed);
                let kind = if readiness.allowed { "box-restored" } else { "box-suspended" };
                self.context.trace.record(kind, &[("why", &readiness.reason)]);
            }
            _ => {}
        }
    }

    async fn apply_config(&self, entries: &[Entry], builder: &mut ConfigBuilder) {
        let change = builder.apply(entries);
        for event in change.events {
            self.send_to_core(event).await;
        }
        // Requests must not be served with an incomplete configuration, so nothing is published
        // before the first complete one.
        if self.caught_up.is_closed() {
            builder.publish(&self.context.config);
        }
        for (key, reason) in &change.refused {
            log::error!(key = key.as_str(), reason = reason.as_str(); "config-refused");
            self.context.trace.record("config-refused", &[("key", key), ("reason", reason)]);
        }
        for key_stamp in &change.in_force {
            let generation = key_stamp.stamp.generation.to_string();
            let fields = [("key", key_stamp.key.as_str()), ("generation", generation.as_str())];
            self.context.trace.record("config-in-force", &fields);
        }
        if !change.in_force.is_empty() {
            let stamps = Stamps { stamps: change.in_force, buckets: Vec::new() };
            let _ = self.to_agent.send(FrameBody::InForce(stamps)).await;
        }
    }

    async fn send_to_core(&self, event: BoxEvent) {
        let _ = self.context.decisions.send(DecisionInput::Event(event)).await;
    }

    fn frame(&self, body: FrameBody) -> Frame {
        Frame { clock: self.context.trace.clock().tick(), body: Some(body) }
    }
}

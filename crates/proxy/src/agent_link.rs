//! The link to the box's agent. Without it the proxy goes on with what it has.

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

use crate::active_config::ConfigKeeper;
use crate::context::ProxyContext;
use crate::inputs::DecisionInput;

const RECONNECT_WAIT: Duration = Duration::from_millis(200);
/// Messages to the agent that wait; without an agent, later ones are dropped.
pub(crate) const AGENT_RING: usize = 1024;

/// The duty that holds the link.
pub(crate) struct AgentLink {
    pub(crate) context: Arc<ProxyContext>,
    pub(crate) outgoing: Receiver<FrameBody>,
    pub(crate) to_agent: Sender<FrameBody>,
    /// Closed once the configuration is whole.
    pub(crate) caught_up: Sender<()>,
    pub(crate) stop: StopSignal,
}

impl AgentLink {
    /// Keeps the link up until `stop`.
    pub(crate) async fn work(self) {
        let mut keeper = ConfigKeeper::default();
        let work = async {
            loop {
                if let Err(error) = self.hold_link(&mut keeper).await {
                    log::debug!(reason:% = error; "agent-link-ended");
                }
                task::sleep(RECONNECT_WAIT).await;
            }
        };
        select(std::pin::pin!(work), std::pin::pin!(self.stop.wait())).await;
    }

    async fn hold_link(&self, keeper: &mut ConfigKeeper) -> Result<(), WireError> {
        let (reader, writer) = self.connect().await?;
        self.context.line.record("agent-connected", &[]);
        let result = {
            let reading = std::pin::pin!(self.read(reader, keeper));
            let writing = std::pin::pin!(self.write(writer));
            select(reading, writing).await.factor_first().0
        };
        self.context.line.record("agent-lost", &[]);
        // What the agent held against this box is void until it says so again.
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
        keeper: &mut ConfigKeeper,
    ) -> Result<(), WireError> {
        while let Some(frame) = reader.next().await? {
            self.context.line.clock().observe(frame.clock);
            if let Some(body) = frame.body {
                self.take(body, keeper).await;
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
        let events = self.context.line.take_unsent();
        if events.is_empty() {
            return Ok(());
        }
        let events = events.iter().filter_map(|event| serde_json::to_string(event).ok());
        let body = FrameBody::Events(Events { events: events.collect() });
        writer.send(&self.frame(body)).await?;
        Ok(())
    }

    async fn take(&self, body: FrameBody, keeper: &mut ConfigKeeper) {
        match body {
            FrameBody::Entries(entries) => self.take_config(&entries.entries, keeper).await,
            FrameBody::CaughtUp(caught_up) if caught_up.complete => {
                keeper.publish(&self.context.config);
                self.caught_up.close();
            }
            FrameBody::Verdicts(verdicts) => {
                for verdict in &verdicts.verdicts {
                    self.decide(BoxEvent::VerdictReceived(verdict_of(verdict))).await;
                }
            }
            FrameBody::Draining(leaving) => {
                let service = leaving.service.as_str().into();
                let target = TargetKey(leaving.target);
                self.decide(BoxEvent::DrainingReceived { service, target }).await;
            }
            FrameBody::Readiness(readiness) => {
                self.context.ready.suspend(!readiness.allowed);
                let kind = if readiness.allowed { "box-restored" } else { "box-suspended" };
                self.context.line.record(kind, &[("why", &readiness.reason)]);
            }
            _ => {}
        }
    }

    async fn take_config(&self, entries: &[Entry], keeper: &mut ConfigKeeper) {
        let change = keeper.take(entries);
        for event in change.events {
            self.decide(event).await;
        }
        // Before the first whole configuration a part of one must not be served from.
        if self.caught_up.is_closed() {
            keeper.publish(&self.context.config);
        }
        for (key, reason) in &change.refused {
            log::error!(key = key.as_str(), reason = reason.as_str(); "config-refused");
            self.context.line.record("config-refused", &[("key", key), ("reason", reason)]);
        }
        for held in &change.in_force {
            let generation = held.stamp.generation.to_string();
            let fields = [("key", held.key.as_str()), ("generation", generation.as_str())];
            self.context.line.record("config-in-force", &fields);
        }
        if !change.in_force.is_empty() {
            let stamps = Stamps { stamps: change.in_force, buckets: Vec::new() };
            let _ = self.to_agent.send(FrameBody::InForce(stamps)).await;
        }
    }

    async fn decide(&self, event: BoxEvent) {
        let _ = self.context.decisions.send(DecisionInput::Event(event)).await;
    }

    fn frame(&self, body: FrameBody) -> Frame {
        Frame { clock: self.context.line.clock().tick(), body: Some(body) }
    }
}

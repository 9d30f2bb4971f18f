//! A test harness for the core of one box, with scripted answers and virtual time.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::time::Duration;

use wingbridge_decide::{
    AttemptOutcome, BoxCommand, BoxCore, BoxEvent, Conclusion, EvidenceSource, HealthChart,
    HealthState, LimitSetup, Name, RequestId, RequestPlan, ServiceSetup, TargetKey, TargetReport,
    TargetSetup, TimePoint, Verdict, VerdictCause, VerdictKind, VerdictScope,
};

pub const SERVICE: &str = "huts";

/// A core with a virtual clock that moves only in [`TestBox::pass`].
pub struct TestBox {
    pub core: BoxCore,
    pub now: TimePoint,
    pub commands: Vec<BoxCommand>,
    next: u64,
}

/// An attempt that the core has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub attempt: u32,
    pub target: Name,
}

impl TestBox {
    pub fn new(setup: ServiceSetup) -> TestBox {
        let source = EvidenceSource { box_id: "box-1".into(), data_centre: "dc-1".into() };
        let core = BoxCore::new(source, HealthChart::load().expect("chart is valid"), 7);
        let mut test = TestBox { core, now: TimePoint::default(), commands: Vec::new(), next: 0 };
        test.event(BoxEvent::ServiceConfigured(setup));
        test
    }

    pub fn event(&mut self, event: BoxEvent) -> Vec<BoxCommand> {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        self.commands.extend(commands.iter().cloned());
        commands
    }

    /// Advances the clock by `span`, in steps of 10 ms with a timer event each.
    pub fn pass(&mut self, span: Duration) -> Vec<BoxCommand> {
        let end = self.now + span;
        let mut commands = Vec::new();
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            commands.extend(self.event(BoxEvent::TimerFired));
        }
        commands
    }

    pub fn plan(&self) -> RequestPlan {
        RequestPlan {
            service: SERVICE.into(),
            deadline: self.now + Duration::from_secs(2),
            repeatable: true,
            attempts: 3,
            caller: 1,
            caller_limit: 0,
            priority: 0,
        }
    }

    pub fn arrive(&mut self, plan: RequestPlan) -> (RequestId, Vec<BoxCommand>) {
        self.next += 1;
        let request = RequestId(self.next);
        (request, self.event(BoxEvent::RequestArrived { request, plan }))
    }

    /// Adds a request and returns its first attempt. Panics if the request is not sent at once.
    pub fn send(&mut self, plan: RequestPlan) -> SentAttempt {
        let (_, commands) = self.arrive(plan);
        sent(&commands).unwrap_or_else(|| panic!("request was not sent: {commands:?}"))
    }

    pub fn end(&mut self, sent: &SentAttempt, outcome: AttemptOutcome) -> Vec<BoxCommand> {
        let SentAttempt { request, attempt, .. } = *sent;
        self.event(BoxEvent::AttemptEnded { request, attempt, outcome })
    }

    /// Runs `count` requests one after the other. Each attempt takes `span` and ends with the `outcome` for its
    /// target.
    pub fn run(&mut self, count: usize, span: Duration, outcome: impl Fn(&Name) -> AttemptOutcome) {
        for _ in 0..count {
            let plan = self.plan();
            let (_, commands) = self.arrive(plan);
            let mut open = sent(&commands);
            while let Some(attempt) = open {
                self.pass(span);
                let ended = self.end(&attempt, outcome(&attempt.target));
                open = sent(&ended);
            }
        }
    }

    pub fn state(&self, target: &str) -> HealthState {
        let service = self.core.service(SERVICE).expect("configured");
        let found = service.targets().iter().find(|known| *known.setup.address == *target);
        found.expect("a known target").health.state()
    }

    pub fn excluded_targets(&self) -> Vec<Name> {
        let service = self.core.service(SERVICE).expect("configured");
        let out = service.targets().iter().filter(|target| target.is_excluded());
        out.map(|target| target.setup.address.clone()).collect()
    }
}

pub fn sent(commands: &[BoxCommand]) -> Option<SentAttempt> {
    commands.iter().find_map(|command| match command {
        BoxCommand::Send { request, attempt, target, .. } => {
            Some(SentAttempt { request: *request, attempt: *attempt, target: target.clone() })
        }
        _ => None,
    })
}

pub fn concluded(commands: &[BoxCommand]) -> Option<Conclusion> {
    commands.iter().find_map(|command| match command {
        BoxCommand::Conclude { conclusion, .. } => Some(*conclusion),
        _ => None,
    })
}

pub fn good() -> AttemptOutcome {
    AttemptOutcome::Answered(TargetReport::default())
}

pub fn failed() -> AttemptOutcome {
    AttemptOutcome::AnsweredError(TargetReport::default())
}

pub fn address(number: usize) -> String {
    format!("10.0.0.{number}:80")
}

pub fn service(targets: usize, floor: f64) -> ServiceSetup {
    let target = |number: usize| TargetSetup { address: address(number).as_str().into(), slots: 3 };
    ServiceSetup {
        name: SERVICE.into(),
        targets: (0..targets).map(target).collect(),
        floor,
        false_alarm_days: 100.0,
        limits: LimitSetup::default(),
    }
}

pub fn convicted(target: &str, stamp: u64) -> Verdict {
    Verdict {
        service: SERVICE.into(),
        target: TargetKey::of(target),
        kind: VerdictKind::Convicted,
        scope: VerdictScope::Target,
        cause: VerdictCause::Stalls,
        flaps: 1,
        stamp,
    }
}

//! Protocol steps and faults that the fault matrix combines.

/// Protocol message at whose sending a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    CommitPut,
    CommitHead,
    CommitTxn,
    CommitReply,
    HeadPoll,
    ManifestGet,
    Gossip,
    ManifestPull,
    LeaseRead,
    LeaseTxn,
    LeaseReply,
    CallerSend,
    CallerAnswer,
    ClaimTxn,
    ClaimReply,
    CallStart,
    CallAnswer,
    GenerateStart,
    GenerateTokens,
    GenerateEnd,
    TrainerSubmit,
    TrainerAnswer,
    ScoreStart,
    ScoreAnswer,
    GroupPut,
    GroupTxn,
    GroupReply,
    Pull,
    PullAnswer,
    PublishTxn,
    WeightsRead,
    StageOrder,
    ActivateOrder,
    Report,
}

impl Step {
    pub const ALL: [Step; 34] = [
        Step::CommitPut,
        Step::CommitHead,
        Step::CommitTxn,
        Step::CommitReply,
        Step::HeadPoll,
        Step::ManifestGet,
        Step::Gossip,
        Step::ManifestPull,
        Step::LeaseRead,
        Step::LeaseTxn,
        Step::LeaseReply,
        Step::CallerSend,
        Step::CallerAnswer,
        Step::ClaimTxn,
        Step::ClaimReply,
        Step::CallStart,
        Step::CallAnswer,
        Step::GenerateStart,
        Step::GenerateTokens,
        Step::GenerateEnd,
        Step::TrainerSubmit,
        Step::TrainerAnswer,
        Step::ScoreStart,
        Step::ScoreAnswer,
        Step::GroupPut,
        Step::GroupTxn,
        Step::GroupReply,
        Step::Pull,
        Step::PullAnswer,
        Step::PublishTxn,
        Step::WeightsRead,
        Step::StageOrder,
        Step::ActivateOrder,
        Step::Report,
    ];
}

/// Fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    EngineCrash,
    ProcessDeath,
    SwapFailed,
    StoreDown,
    StoreSlow,
    ReplyLost,
    HolderPaused,
    OperatorsRacing,
    PoisonRequest,
    ServerLeaving,
    HostListLagging,
    RegionCut,
    MessageLate,
    MessageLost,
    MessageDuplicated,
    MessageReordered,
    PlannedStop,
}

impl Fault {
    pub const ALL: [Fault; 17] = [
        Fault::EngineCrash,
        Fault::ProcessDeath,
        Fault::SwapFailed,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::ReplyLost,
        Fault::HolderPaused,
        Fault::OperatorsRacing,
        Fault::PoisonRequest,
        Fault::ServerLeaving,
        Fault::HostListLagging,
        Fault::RegionCut,
        Fault::MessageLate,
        Fault::MessageLost,
        Fault::MessageDuplicated,
        Fault::MessageReordered,
        Fault::PlannedStop,
    ];
}

/// Fault at the n-th message of a step, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trigger {
    pub step: Step,
    pub occurrence: u32,
    pub fault: Fault,
}

/// Mechanism to disable, in order to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Samples name the ordered version instead of the one that the engine reported.
    OrderedVersions,
    /// The staleness bound is not checked at delivery.
    NoFreshness,
    /// The trainer's cursor is ignored.
    NoCursor,
    /// Events are not matched to their attempt, so that they reach another one.
    NoAttemptIds,
    /// A broken stream is reported as "not run".
    BrokenIsNotRun,
    /// Non-idempotent requests are dispatched without a claim.
    NoClaim,
    /// Hosts get no signal that a server is leaving.
    NoLeavingSignals,
    /// A planned stop ends the process without draining.
    NoDrain,
    /// An older manifest replaces a newer one.
    Reverts,
    /// Hosts send orders to servers without a lease.
    NoLease,
    /// Requests suspected of crashing servers are retried without restriction.
    NoQuarantine,
}

impl Mutation {
    pub const ALL: [Mutation; 11] = [
        Mutation::OrderedVersions,
        Mutation::NoFreshness,
        Mutation::NoCursor,
        Mutation::NoAttemptIds,
        Mutation::BrokenIsNotRun,
        Mutation::NoClaim,
        Mutation::NoLeavingSignals,
        Mutation::NoDrain,
        Mutation::Reverts,
        Mutation::NoLease,
        Mutation::NoQuarantine,
    ];
}

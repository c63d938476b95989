//! The two lists that the fault matrix is made of: steps of the protocols, and faults.

/// A message of one of the protocols; a fault comes just when it is sent.
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

/// A fault of the brief.
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

/// A fault at the n-th message of a step, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trigger {
    pub step: Step,
    pub occurrence: u32,
    pub fault: Fault,
}

/// The mechanism that is switched off, to show that the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Samples name the version that was ordered, not the one that the engine reported.
    OrderedVersions,
    /// The staleness bound is not checked at delivery.
    NoFreshness,
    /// The trainer's cursor is not read.
    NoCursor,
    /// An event of an ended attempt goes to the newest one.
    NoAttemptIds,
    /// A broken stream counts as "not run".
    BrokenIsNotRun,
    /// Non-idempotent requests are sent before their claim stands.
    NoClaim,
    /// No signal says that a server is leaving.
    NoLeavingSignals,
    /// A planned stop ends the process at once.
    NoDrain,
    /// An older manifest replaces a newer one.
    Reverts,
    /// Servers are ordered without a lease.
    NoLease,
    /// A suspect runs again like any other request.
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

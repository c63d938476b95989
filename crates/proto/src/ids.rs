//! Aliases for the ids that name things across processes.

/// Name of a host that runs a daemon.
pub type HostId = String;
/// Name of a backend server.
pub type ServerId = String;
/// Name of a model or of a service.
pub type ServiceName = String;
/// Name of a trainer.
pub type TrainerName = String;
/// Name of a caller.
pub type CallerName = String;
/// Revision of the manifest; 0 means that none was committed yet.
pub type Revision = u64;
/// Version of a model's weights.
pub type WeightVersion = u64;
/// Number of a training step.
pub type StepNumber = u64;
/// Number of a group within a step.
pub type GroupIndex = u32;
/// Number of a sample within a group.
pub type SampleIndex = u32;
/// Fencing number of a lease; grows with each holder.
pub type Fence = u64;
/// Hash of what a request asks, the same for each resend.
pub type Fingerprint = u64;
/// Id of one try of one request, unique over all daemons.
pub type AttemptId = String;

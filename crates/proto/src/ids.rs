//! Type aliases for ids that are shared between processes.

/// Name of a host that runs a daemon.
pub type HostId = String;
/// Name of a backend server.
pub type ServerId = String;
/// Version of the software of a backend server; empty if the server states none.
pub type SoftwareVersion = String;
/// Name of a model or of a service.
pub type ServiceName = String;
/// Name of a trainer.
pub type TrainerName = String;
/// Name of a caller.
pub type CallerName = String;
/// Revision of the manifest; 0 if none has been committed yet.
pub type Revision = u64;
/// Version of the weights of a model or adapter.
pub type WeightVersion = u64;
/// Number of a training step.
pub type StepNumber = u64;
/// Index of a group within a step.
pub type GroupIndex = u32;
/// Index of a sample within a group.
pub type SampleIndex = u32;
/// Fencing token of a lease; increases with each new holder.
pub type Fence = u64;
/// Hash of the contents of a request; identical for every retry.
pub type Fingerprint = u64;
/// Id of one attempt of a request, unique across all daemons.
pub type AttemptId = String;

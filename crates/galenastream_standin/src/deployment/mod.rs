//! A small deployment on loopback: real nodes, and stand-ins of the store and of targets.

mod deployment_plan;
mod folder;
mod local_deployment;
mod local_vm;
mod process;
mod vm_links;
mod wait;

pub use deployment_plan::{DeploymentPlan, VmPlan};
pub use folder::DeploymentFolder;
pub use local_deployment::LocalDeployment;
pub use local_vm::LocalVm;
pub use process::Process;
pub use vm_links::VmLink;
pub use wait::wait_until;

//! Daemons as separate processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{http, record::Record};

const PROGRAM: &str = "target/release/buckthornfalld";
/// Port of the metrics listener, as set in the deploy file.
const METRICS_PORT: u16 = 9464;

pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

/// A daemon; killed when dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts a daemon on a loopback address of its own.
    pub fn start(dir: &Path, index: u8, store: SocketAddr) -> io::Result<Daemon> {
        let ip = unused_address(index)?;
        let ports: Vec<_> =
            (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
        let addrs: Vec<_> =
            ports.iter().map(|port| port.local_addr()).collect::<io::Result<_>>()?;
        drop(ports);
        let name = format!("front-{index}");
        let settings = format!(
            "NodeName={name}\nRole=rollout\nMachineClass=front\nServes=front,control,directory\n\
             Ip={ip}\nZone=wien\nRegion=ost\nZones.wien=ost\n\
             Listen.Front={}\nListen.Ready={}\nListen.Control={}\nListen.Directory={}\n\
             PortRange=7380,7395\nSeeds={}\nBootstrap=true\nInTolerance=false\n\
             Limits.CpuShare=0.5\nLimits.Cores=1\nLimits.MemoryMb=290\nLimits.MaxFds=8200\n\
             Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=directory\n\
             HeartbeatMs=1200\nContracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform\n\
             FaultTolerance.Machines=1\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\n\
             Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=4000\nBounds.AckTimeoutMs=5000\n\
             Bounds.CatchUpS=4.7\nBounds.DrainMs=2500\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigApplyMs=2500\nBounds.RollbackSlackMs=250\nBounds.OuterBoundMs=6000\n\
             Bounds.RecoveryS=12\nBounds.PassMs=250\nBounds.RetryAfterS=0\nBounds.FinishS=10\n\
             Bounds.StatusS=120\nBounds.CancelMs=3000\nBounds.SettleMs=1000\nBounds.QuotaOverage=0.1\n\
             Bounds.RequireFence=true\nBounds.LeaseMs=3000\nBounds.ThawSlackMs=300\nBounds.ttl_max_s=5\n\
             Provider.Address={store}\nProvider.form=table\nProvider.WritesPerS=800\n\
             Provider.ReadsPerS=2000\nProvider.TxMs=5.0\nProvider.AppendsPerS=200\n\
             Provider.RowBytes=65536\nProvider.Across=false\nProvider.HistoryS=20\n\
             Provider.BlobBytes=8388608\nProvider.BlobMs=25.0\nProvider.BlobMbPerS=80.0\n",
            addrs[0], addrs[1], addrs[2], addrs[3], addrs[2]
        );
        let file: PathBuf = dir.join(format!("{name}.conf"));
        fs::write(&file, settings)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let mut command = Command::new(PROGRAM);
        // The daemon must not outlive this process, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, KILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg("--hosted")
            .env_clear()
            .env("BUCKTHORNFALL_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Daemon { name, front: addrs[0], ready: addrs[1], child })
    }

    /// Waits until the daemon counts as ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = http::call(
                self.ready,
                "GET",
                "/v1/ready",
                "Host: x\r\n",
                b"",
                Duration::from_secs(1),
            );
            if ready.is_ok_and(|reply| reply.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, record: &Record, signal: i32) {
        let name = match signal {
            TERM => "SIGTERM",
            STOP => "SIGSTOP",
            CONT => "SIGCONT",
            _ => "SIGKILL",
        };
        record.note(&format!("{name} to {}", self.name));
        // The process is a child that was not waited for, so its id is not used again.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address whose metrics port is free.
fn unused_address(index: u8) -> io::Result<Ipv4Addr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    for step in 0..64u8 {
        let ip = Ipv4Addr::new(127, 64 | (high.wrapping_add(step) & 63), low.max(1), index + 1);
        if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

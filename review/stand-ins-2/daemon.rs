//! The project's daemons, each a process of its own, started with the command of the deploy file.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Command of the deploy file, from the root of the repository.
const COMMAND: [&str; 2] = ["target/release/buckthornfalld", "--hosted"];

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// Makes a temporary folder, which is removed at the end.
pub fn temporary_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-{name}-{}", process::id()));
    fs::create_dir_all(&path).unwrap_or_else(|e| crate::cannot_run(&format!("no folder: {e}")));
    crate::FOLDERS.lock().unwrap().push(path.clone());
    path
}

impl Daemon {
    /// Starts daemon `index` on a loopback address of its own.
    pub fn start(
        root: &Path,
        folder: &Path,
        index: u8,
        store: SocketAddr,
        settings: &str,
    ) -> Daemon {
        let [.., high, low] = process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | (high & 63), low.max(1), index + 2);
        let ports: Vec<_> =
            (0..4).map(|_| TcpListener::bind((ip, 0)).expect("a free loopback port")).collect();
        let addr = |port: usize| ports[port].local_addr().expect("a bound socket");
        let text = format!(
            "NodeName=front-a-{index}\nRole=rollout\nMachineClass=front\nServes=front,control,directory\n\
             Ip={ip}\nZone=zone-a\nRegion=r1\nZones.zone-a=r1\nListen.Front={}\nListen.Ready={}\n\
             Listen.Control={}\nListen.Directory={}\nBootstrap=true\nLimits.CpuShare=0.5\nLimits.Cores=1\n\
             Limits.MemoryMb=290\nLimits.MaxFds=8200\nDiscovery=platform\nEntry=directory\n\
             HeartbeatMs=1200\nProvider.Address={store}\nProvider.form=table\nProvider.RowBytes=65536\n\
             Provider.Across=false\nProvider.BlobBytes=8388608\n{settings}",
            addr(0), addr(1), addr(2), addr(3)
        );
        let file = folder.join(format!("{index}.conf"));
        fs::write(&file, text).expect("the folder can be written");
        let log = fs::File::create(folder.join(format!("{index}.log"))).expect("as above");
        let (front, ready) = (addr(0), addr(1));
        drop(ports);
        let mut command = Command::new(root.join(COMMAND[0]));
        // SAFETY: prctl only sets that the process is killed when this one ends, however that comes.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .arg(COMMAND[1])
            .current_dir(root)
            .env("BUCKTHORNFALL_BOOT", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("an open file"))
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|e| crate::cannot_run(&format!("no daemon: {e}")));
        crate::PROCESSES.lock().unwrap().push(child.id());
        Daemon { front, ready, child }
    }

    pub fn is_ready(&self) -> bool {
        let reply = http::call(self.ready, "GET", "/v1/ready", &[], b"", Duration::from_secs(1));
        reply.is_ok_and(|reply| reply.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(15) {
                crate::cannot_run("a daemon isn't ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// Returns the memory that the process uses, in MB.
    pub fn rss_mb(&self) -> u64 {
        let text =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb: u64 =
            line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default();
        kb * 1024 / 1_000_000
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let id = self.child.id();
        crate::PROCESSES.lock().unwrap().retain(|of| *of != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

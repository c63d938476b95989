//! What several cases share.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{read_message, request, Message};

/// Settings of every case, with the bounds of the site.
pub const BOUNDS: &str = "Contracts=base,drain,config,cost,recover,health,pool,samples,stream,engine,batch,tenants,leader,pressure,platform\n\
    Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=4000\nBounds.AckTimeoutMs=6000\nBounds.CatchUpS=6\n\
    Bounds.DrainMs=4000\nBounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=4000\nBounds.RollbackSlackMs=250\n\
    Bounds.OuterBoundMs=6000\nBounds.StrictRevoke=true\nBounds.RevokeMs=5000\nBounds.RequireFence=false\n\
    Bounds.LeaseMs=3000\nBounds.ThawSlackMs=300\nBounds.UsageWindowS=5\nBounds.UsageTolerance=0.05\nBounds.UsageLateS=10\n\
    Bounds.RecoveryS=15\nBounds.PassMs=300\nBounds.FinishS=10\nBounds.StatusS=120\nBounds.CancelMs=3000\n\
    Bounds.SettleMs=1000\nBounds.ttl_max_s=5\n";

pub const LIMITS: &str = r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000}"#;

pub fn entry(service: &str, addr: SocketAddr) -> String {
    format!(
        r#"{{"Service":"{service}","Address":"{addr}","Zone":"zone-a","Version":"1","Slots":8,"State":"ready","ColdRemainingMs":0,"Sequence":1,"born":1700000000000}}"#
    )
}

/// A connection that a client keeps.
pub struct Kept(BufReader<TcpStream>);

impl Kept {
    pub fn open(addr: SocketAddr) -> std::io::Result<Kept> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        Ok(Kept(BufReader::new(stream)))
    }

    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<Message> {
        self.0.get_mut().write_all(&request(method, target, headers, body))?;
        read_message(&mut self.0, true)
    }
}

//! The command line of the daemon.

use buckthornfall_daemon::{cli, options::Options};

fn second_copies(args: &[&str]) -> Result<u32, String> {
    let args = ["buckthornfalld"].iter().chain(args);
    let matches = cli::command().try_get_matches_from(args).map_err(|e| e.to_string())?;
    Ok(Options::from_matches(&matches).second_copies)
}

#[test]
fn second_copies_are_off_by_default_and_limited() {
    assert_eq!(second_copies(&["--hosted"]), Ok(0));
    assert_eq!(second_copies(&["--hosted", "--second-copies", "20"]), Ok(20));
    for value in ["21", "-1", "2.5", "many"] {
        let error = second_copies(&["--hosted", &format!("--second-copies={value}")]).unwrap_err();
        assert!(error.contains("'--second-copies <PERCENT>'"), "{error}");
    }
    assert!(second_copies(&["--settings", "file", "--second-copies", "5"]).is_err());
}

package supervisor

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"willowdeck/internal/atomicfile"
	"willowdeck/internal/ruleset"
)

// appliedRulesFile is the name, in the run directory, of the rules that were applied last on this host.
const appliedRulesFile = "rules.json"

// runFileMode is the mode of the files in the run directory.
const runFileMode = 0o600

// instanceDir is the directory of an instance's files.
func (d *Daemon) instanceDir(name string) string { return filepath.Join(d.settings.RunDir, name) }

func (d *Daemon) gatewayConfigPath(name string) string {
	return filepath.Join(d.instanceDir(name), "config.json")
}

// writeGatewayConfig writes an instance's configuration.
func (d *Daemon) writeGatewayConfig(name string, config []byte) error {
	return replaceFile(d.gatewayConfigPath(name), config)
}

// processRecordPath is the path of a process's note.
func (d *Daemon) processRecordPath(process *processRecord) string {
	return filepath.Join(d.settings.RunDir, fmt.Sprintf("%s.%d.run", process.Instance, process.PID))
}

// writeProcessRecord writes the note by which the next daemon adopts a process.
func (d *Daemon) writeProcessRecord(process *processRecord) error {
	raw, err := json.Marshal(process)
	if err != nil {
		return err
	}
	return replaceFile(d.processRecordPath(process), raw)
}

// writeAppliedRules writes the version whose instances the next daemon starts with, durably: that daemon may
// have no other valid rules, also after a crash of the machine. Leases do not wait for the disk meanwhile.
func writeAppliedRules(runDir string, version *ruleset.Version) error {
	raw, err := json.Marshal(version)
	if err != nil {
		return err
	}
	return atomicfile.WriteBytes(filepath.Join(runDir, appliedRulesFile), runFileMode, raw)
}

// readAppliedRules reads the rules that were applied last on this host, and checks them.
func (s *Settings) readAppliedRules() (*ruleset.Rules, error) {
	raw, err := os.ReadFile(filepath.Join(s.RunDir, appliedRulesFile))
	if err != nil {
		return nil, err
	}
	var version ruleset.Version
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	if s.Rules.Relay != nil { // below relays a host receives only its part of the rules
		return &version.Rules, ruleset.ValidateSubset(&version.Rules)
	}
	return &version.Rules, ruleset.Validate(&version.Rules)
}

// replaceFile writes a file so that a reader, and a start after the daemon's own crash, finds either the old
// or the new content. It does not sync, for what is of no use after a crash of the machine: no instance runs
// then, and its configuration and note are written again.
func replaceFile(path string, content []byte) error {
	part := path + ".part"
	if err := os.WriteFile(part, content, runFileMode); err != nil {
		return err
	}
	return os.Rename(part, path)
}

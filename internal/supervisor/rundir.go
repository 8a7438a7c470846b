package supervisor

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"willowdeck/internal/atomicfile"
	"willowdeck/internal/ruleset"
)

// appliedRulesFile is the name of the file in the run directory that stores the rules applied last on this
// host.
const appliedRulesFile = "rules.json"

// runFileMode is the mode of the files in the run directory.
const runFileMode = 0o600

// instanceDir returns the directory of an instance's files.
func (d *Daemon) instanceDir(name string) string { return filepath.Join(d.settings.RunDir, name) }

func (d *Daemon) gatewayConfigPath(name string) string {
	return filepath.Join(d.instanceDir(name), "config.json")
}

// writeGatewayConfig writes an instance's configuration.
func (d *Daemon) writeGatewayConfig(name string, config []byte) error {
	return replaceFile(d.gatewayConfigPath(name), config)
}

// processRecordPath returns the path of a process's record file.
func (d *Daemon) processRecordPath(process *processRecord) string {
	return filepath.Join(d.settings.RunDir, fmt.Sprintf("%s.%d.run", process.Instance, process.PID))
}

// writeProcessRecord writes the record file from which the next daemon adopts a process.
func (d *Daemon) writeProcessRecord(process *processRecord) error {
	raw, err := json.Marshal(process)
	if err != nil {
		return err
	}
	return replaceFile(d.processRecordPath(process), raw)
}

// writeAppliedRules durably stores the version whose instances the next daemon starts. That daemon may have
// no other valid rules, even after a crash of the machine. Lease requests do not wait for this write, as they
// do not take the daemon's lock.
func writeAppliedRules(runDir string, version *ruleset.Version) error {
	raw, err := json.Marshal(version)
	if err != nil {
		return err
	}
	return atomicfile.WriteBytes(filepath.Join(runDir, appliedRulesFile), runFileMode, raw)
}

// readAppliedRules reads and validates the rules that were applied last on this host.
func (s *Settings) readAppliedRules() (*ruleset.Rules, error) {
	raw, err := os.ReadFile(filepath.Join(s.RunDir, appliedRulesFile))
	if err != nil {
		return nil, err
	}
	var version ruleset.Version
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	if s.Rules.Relay != nil { // a host that subscribes to relays receives only a subset of the rules
		return &version.Rules, ruleset.ValidateSubset(&version.Rules)
	}
	return &version.Rules, ruleset.Validate(&version.Rules)
}

// replaceFile replaces a file by rename, so that a reader, or the next daemon after a crash of this one,
// finds either the old or the new content. It does not sync: after a crash of the machine no instance runs,
// and the configurations and process records are written again.
func replaceFile(path string, content []byte) error {
	part := path + ".part"
	if err := os.WriteFile(part, content, runFileMode); err != nil {
		return err
	}
	return os.Rename(part, path)
}

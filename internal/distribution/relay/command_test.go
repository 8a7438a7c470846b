package relay

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"willowdeck/internal/testkit/faultinject"
)

// TestCommand: with an invalid configuration the process exits with status 1 and names the key; --check
// prints what a valid one holds without listening.
func TestCommand(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	program, path := faultinject.Program(t, "willowdeck"), filepath.Join(t.TempDir(), "relay.toml")
	for _, c := range []struct {
		text, says string
		status     int
		args       []string
	}{
		{completeConfig, "south-1: of till, listens at 127.0.0.1:7900", 0, []string{"--check"}},
		{strings.Replace(completeConfig, "upstream", "upstreams", 1), "upstreams: unknown key", 1, nil},
		{strings.Replace(completeConfig, "connections = 4096", "connections = -1", 1), "limits.connections:", 1,
			nil},
		{strings.Replace(completeConfig, "127.0.0.1:7900", taken.Addr().String(), 1), "listen:", 1, nil},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), activationTimeout)
		cmd := exec.CommandContext(ctx, program, append([]string{"relay", "--config", path}, c.args...)...)
		out, _ := cmd.CombinedOutput()
		cancel()
		if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(string(out), c.says) {
			t.Errorf("status %d, not %d, and %q without %q", got, c.status, out, c.says)
		}
	}
}

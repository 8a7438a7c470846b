package agent

import (
	"testing"

	"willowdeck/internal/serving/settings"
)

// TestGoldenPorts guards the address at which an agent serves its proxy, as of 2 December 2026: the two may
// be of different versions for a while.
func TestGoldenPorts(t *testing.T) {
	for ip, want := range map[string]string{"10.0.0.1": "127.0.0.1:7661", "127.0.0.9": "127.0.0.9:7661"} {
		config := &settings.Settings{IP: ip, FirstInternalPort: 7660, LastInternalPort: 7675}
		if got := LoopbackAddress(config); got != want {
			t.Errorf("%s instead of %s", got, want)
		}
	}
}

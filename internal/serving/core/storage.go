package core

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/wal"
)

const (
	workersFile = "workers" // in the data directory: the saved list of workers
	dirMode     = 0o755
)

// openReplica opens or initializes the replica in the data directory.
func openReplica(config *settings.Settings, logger *zap.Logger) (wal.OpenedReplica, error) {
	if err := os.MkdirAll(config.DataDir, dirMode); err != nil {
		return wal.OpenedReplica{}, errors.Wrap(err, "cannot create data_dir: check its path and permissions")
	}
	opened, err := wal.OpenReplica(wal.Disk, config.DataDir, consensus.FounderIdentity(config.IP),
		initialMembers(config), consensus.Identity(config.IP, randomTag()))
	if opened.Corruption != nil {
		logger.Error("log is corrupted, joining as a new replica", zap.Error(opened.Corruption))
	}
	return opened, err
}

// initialMembers returns the identities of the initial quorum, which consists of the seeds, or nil where this
// start does not bootstrap the system.
func initialMembers(config *settings.Settings) wal.InitialMembers {
	if !config.Bootstrap {
		return nil
	}
	var identities wal.InitialMembers
	for _, host := range hostsOf(config.Seeds) {
		identities = append(identities, consensus.FounderIdentity(host))
	}
	return identities
}

// loadSavedWorkers returns the list of workers that a previous incarnation has saved, or nil where there is
// none: workers are then learnt from their heartbeats.
func loadSavedWorkers(dataDir string) []byte {
	data, err := os.ReadFile(filepath.Join(dataDir, workersFile))
	if err != nil {
		return nil
	}
	return data
}

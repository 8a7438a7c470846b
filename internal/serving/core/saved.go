package core

import (
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

const (
	savedFile    = "workers"
	saveInterval = time.Second
)

// savedWorkers keeps the known workers on disk, so that a core that has lost power can tell the edges of
// them before they have sent a heartbeat again. Nothing depends on it: a list that is old, or lost, is made
// good by heartbeats.
type savedWorkers struct {
	sequence uint64 // of the catalog's state that was saved last
	next     time.Duration
	busy     bool
}

// loadWorkers takes over the list that an earlier life has saved, as writes of this life: those who are
// told of them need to know their writer.
func (c *Core) loadWorkers() {
	data, err := os.ReadFile(filepath.Join(c.settings.DataDir, savedFile))
	if err != nil {
		return
	}
	var batch wirepb.CatalogBatch
	if err := proto.Unmarshal(data, &batch); err != nil {
		c.logger.Warn("saved workers left alone: the file is damaged", zap.Error(err))
		return
	}
	c.replica.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		for _, record := range batch.Records {
			held.Publish(now, record)
		}
		return len(batch.Records) > 0
	})
}

// saveWorkers writes the list in the background where it has changed.
func (c *Core) saveWorkers() {
	if c.saved.busy || c.now() < c.saved.next {
		return
	}
	var batch wirepb.CatalogBatch
	sum := uint64(0)
	c.replica.WithCatalog(func(now time.Duration, held *catalog.Catalog) bool {
		for _, record := range held.Since(now, &wirepb.VersionVector{}) {
			if record.GetWorker() != nil {
				batch.Records = append(batch.Records, record)
			}
		}
		for _, sequence := range held.Vector().Sequences {
			sum += sequence
		}
		return false
	})
	if sum == c.saved.sequence {
		return
	}
	c.saved.sequence = sum
	c.saved.next = c.now() + saveInterval
	c.saved.busy = true
	go func() {
		data, err := proto.Marshal(&batch)
		if err == nil {
			err = wal.WriteFile(c.settings.DataDir, savedFile, data)
		}
		if err != nil {
			c.logger.Debug("workers not saved", zap.Error(err))
		}
		c.do(func() { c.saved.busy = false })
	}()
}

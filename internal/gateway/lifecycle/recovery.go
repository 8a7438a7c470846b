package lifecycle

import (
	"errors"
	"hash/crc32"
	"time"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/recovery/checkpoint"
	"willowdeck/internal/gateway/recovery/crashstate"
	"willowdeck/internal/txnjournal/store"
)

// openCrashState keeps what has to survive a crash, and restores what an earlier incarnation has left.
// Checkpoints are restored only after a crash: a predecessor that handed off has left fresher state. Where
// the crash state can't be opened, the gateway serves without it.
func (g *Gateway) openCrashState(crashed bool) {
	g.standby.Store(false)
	plans := g.config.Policy.Plans
	if adopted := g.rulesetPlans.Load(); adopted != nil {
		plans = *adopted
	}
	g.enableBorrowing(plans)
	if g.config.CrashStatePath == "" {
		return
	}
	digest := crashstate.Digest(g.config.Policy)
	file, left, err := crashstate.Open(g.config.CrashStatePath, digest, g.dispatcher.Now())
	if err != nil {
		g.log.Warn().Err(err).Msg("crash state unavailable, nothing will survive a crash")
		return
	}
	g.dispatcher.AttachCrashState(file, left)
	if left != nil {
		baseAgeMillis := g.dispatcher.Now() - left.RateLimitBaseMillis
		g.log.Info().Int("ceilings", len(left.RateLimits)).Float64("base_s", baseAgeMillis/1000).
			Msg("crash state of an earlier incarnation restored")
	}
	if g.config.KeepsCheckpoint {
		g.openCheckpoints(crashed)
	}
}

// openCheckpoints writes checkpoints of quotas and demand beside the crash state, and restores that of an
// earlier incarnation: at once, or with the first ruleset that is adopted.
func (g *Gateway) openCheckpoints(crashed bool) {
	file, left, missing, err := checkpoint.Open(g.config.CrashStatePath+".inventory", g.dispatcher.Now())
	if err != nil {
		g.log.Warn().Err(err).Msg("checkpoints unavailable, quotas and demand will not survive a crash")
		return
	}
	switch {
	case !crashed:
	case left == nil:
		g.reportNoCheckpoint(missing)
	default:
		if g.unrestoredCheckpoint.Store(left); g.ruleset == nil || g.ruleset.version.Load() > 0 {
			g.restoreCheckpoint()
		}
	}
	receivedFromPeers := func(all []incarnation.MessageID) []incarnation.MessageID { return all[:0] }
	if g.peers != nil {
		receivedFromPeers = g.peers.LastSeen
	}
	g.dispatcher.WriteCheckpoints(file, receivedFromPeers)
}

// restoreCheckpoint restores an earlier incarnation's checkpoint, if there is one that was made under the
// settings in force.
func (g *Gateway) restoreCheckpoint() {
	left := g.unrestoredCheckpoint.Swap(nil)
	if left == nil {
		return
	}
	ageMillis := g.dispatcher.Now() - left.State.AtMillis
	customers, fits := g.dispatcher.RestoreCheckpoint(left, g.config.SharesEndpoints)
	if !fits {
		g.reportNoCheckpoint(checkpoint.ErrDigestMismatch)
		return
	}
	if customers > 0 && g.peers != nil {
		for _, peer := range g.peers.Restore(left.LastMessages) {
			g.dispatcher.PeerReplaced(peer)
		}
	}
	g.log.Info().Int("customers", customers).Int("of", len(left.State.Customers)).Float64("age_ms", ageMillis).
		Msg("checkpoint of an earlier incarnation restored")
}

// reportNoCheckpoint logs why no checkpoint is restored, and counts it where there was one.
func (g *Gateway) reportNoCheckpoint(reason error) {
	if !errors.Is(reason, checkpoint.ErrNotFound) {
		g.corruptCheckpoints.Add(1)
	}
	g.log.Info().AnErr("reason", reason).Msg("no checkpoint to restore")
}

// journalDisk opens the folder of a journal. Tests replace it.
var journalDisk = func(dir string) store.Disk { return store.Dir(dir) }

// openJournal records non-idempotent requests from here on, where that is configured. besidePredecessor tells
// that the predecessor still writes the ends of its own requests.
func (g *Gateway) openJournal(besidePredecessor bool) {
	settings := g.config.Journal
	if settings == nil {
		return
	}
	owner := store.Writer{Instance: g.config.Name}
	if mark, uptimeMillis, err := crashstate.ReadBoot(); err == nil {
		owner.BootID = crc32.ChecksumIEEE(mark)
		owner.ClockOffsetMillis = float64(time.Now().UnixMilli()) - uptimeMillis
	}
	disk := journalDisk(settings.InstanceDir(g.config.Name))
	journal := store.Start(disk, settings.Config, owner, besidePredecessor, g.config.Seed, g.log)
	g.journal.Store(journal)
	g.proxy.EnableJournal(journal, settings.Config, g.config.Policy.Products, g.config.Names.ProductNames())
}

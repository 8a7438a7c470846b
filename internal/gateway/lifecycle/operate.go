package lifecycle

import "willowdeck/internal/gateway/admin"

// up tells clients' side whether to come here.
func (g *Gatekeeper) up() bool { return g.desk.Ready() && !g.drains.Load() }

// Healthy tells whether this process serves clients.
func (g *Gatekeeper) Healthy() bool { return g.up() && !g.front.Closing() }

// Quiesce sends clients away: /up says no at once, and all that still comes is served.
func (g *Gatekeeper) Quiesce() {
	g.drains.Store(true)
	g.limit.BeginSoftDrain()
}

// Resume takes clients again.
func (g *Gatekeeper) Resume() {
	g.limit.EndSoftDrain()
	g.drains.Store(false)
}

// Note logs what operators ask.
func (g *Gatekeeper) LogCall(what string) { g.log.Info().Str("call", what).Msg("operators") }

// Figures gathers what operators see, from counts and copies alone.
func (g *Gatekeeper) Stats() admin.Stats {
	seen := g.desk.CachedTally()
	f := admin.Stats{Attempts: g.links.AttemptsWritten(), Active: g.front.ActiveRequests(),
		Workers: int64(seen.Workers),
		Ejected: int64(seen.SuspectedWorkers)}
	f.Products = make([]admin.ProductStats, len(g.conf.Charter.Products))
	for name, i := range g.conf.Names.Products {
		p := &f.Products[i]
		p.Name = name
		p.Succeeded, p.Rejected, p.Failed = g.front.FinalCounts(i)
	}
	add := func(name string, v int64) { f.Extra = append(f.Extra, admin.Stat{Name: name, Value: v}) }
	if g.conf.SharesEndpoints {
		add("members", g.members.Load())
		holds := g.desk.LockTimes()
		add("desk.longest.list_us", holds.FullListMicros.Load())
		add("desk.longest.change_us", holds.ChangeMicros.Load())
		add("desk.longest.rules_us", holds.RulesetMicros.Load())
		add("peers.suspected", int64(seen.SilentPeers))
		add("peers.gone", int64(seen.LostPeers))
	}
	if k := g.journal.Load(); k != nil {
		k.Figures(add)
	}
	if g.conf.CrashStatePath != "" && g.conf.KeepsCheckpoint {
		c := g.desk.CheckpointStats()
		add("copies.recalled", c.Restored.Load())
		add("copies.spoilt", g.spoilt.Load())
		add("copies.written", c.Written.Load())
		add("copies.failed", c.Failed.Load())
	}
	g.creditFigures(add)
	if g.agreed != nil {
		g.agreed.figures(add)
	}
	if g.portal != nil {
		g.portal.Figures(add)
	}
	if g.vouch != nil {
		g.vouch.Figures(add)
	}
	return f
}

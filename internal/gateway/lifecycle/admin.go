package lifecycle

import "willowdeck/internal/gateway/admin"

// ready reports whether clients may be sent here: endpoints are known, and nobody drains this process.
func (g *Gateway) ready() bool { return g.dispatcher.Ready() && !g.draining.Load() }

// Healthy reports whether this process serves clients.
func (g *Gateway) Healthy() bool { return g.ready() && !g.frontend.Closing() }

// Quiesce sends clients away: /up fails at once, and requests that still arrive are served.
func (g *Gateway) Quiesce() {
	g.draining.Store(true)
	g.listener.BeginSoftDrain()
}

// Resume ends Quiesce.
func (g *Gateway) Resume() {
	g.listener.EndSoftDrain()
	g.draining.Store(false)
}

// LogCall logs an admin call.
func (g *Gateway) LogCall(call string) { g.log.Info().Str("call", call).Msg("admin call") }

// Stats gathers the stats of /admin/stats, from counters and copies alone: it takes no lock of a request's
// path.
func (g *Gateway) Stats() admin.Stats {
	tally := g.dispatcher.CachedTally()
	f := admin.Stats{
		Attempts: g.workerConns.AttemptsWritten(),
		Active:   g.frontend.ActiveRequests(),
		Workers:  int64(tally.Workers),
		Ejected:  int64(tally.SuspectedWorkers),
	}
	f.Products = make([]admin.ProductStats, len(g.config.Policy.Products))
	for name, i := range g.config.Names.Products {
		p := &f.Products[i]
		p.Name = name
		p.Succeeded, p.Rejected, p.Failed = g.frontend.FinalCounts(i)
	}
	add := func(name string, value int64) { f.Extra = append(f.Extra, admin.Stat{Name: name, Value: value}) }
	if g.config.SharesEndpoints {
		add("members", g.memberCount.Load())
		lockTimes := g.dispatcher.LockTimes()
		add("desk.longest.list_us", lockTimes.FullListMicros.Load())
		add("desk.longest.change_us", lockTimes.ChangeMicros.Load())
		add("desk.longest.rules_us", lockTimes.RulesetMicros.Load())
		add("peers.suspected", int64(tally.SilentPeers))
		add("peers.gone", int64(tally.LostPeers))
	}
	if journal := g.journal.Load(); journal != nil {
		journal.Figures(add)
	}
	if g.config.CrashStatePath != "" && g.config.KeepsCheckpoint {
		checkpoints := g.dispatcher.CheckpointStats()
		add("copies.recalled", checkpoints.Restored.Load())
		add("copies.spoilt", g.corruptCheckpoints.Load())
		add("copies.written", checkpoints.Written.Load())
		add("copies.failed", checkpoints.Failed.Load())
	}
	g.borrowingStats(add)
	if g.ruleset != nil {
		g.ruleset.stats(add)
	}
	if g.authServer != nil {
		g.authServer.Figures(add)
	}
	if g.authorizer != nil {
		g.authorizer.Figures(add)
	}
	return f
}

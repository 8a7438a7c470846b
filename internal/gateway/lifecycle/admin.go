package lifecycle

import "willowdeck/internal/gateway/admin"

// up tells clients' side whether to come here.
func (g *Gateway) ready() bool { return g.dispatcher.Ready() && !g.draining.Load() }

// Healthy tells whether this process serves clients.
func (g *Gateway) Healthy() bool { return g.ready() && !g.frontend.Closing() }

// Quiesce sends clients away: /up says no at once, and all that still comes is served.
func (g *Gateway) Quiesce() {
	g.draining.Store(true)
	g.listener.SendAway()
}

// Resume takes clients again.
func (g *Gateway) Resume() {
	g.listener.Welcome()
	g.draining.Store(false)
}

// Note logs what operators ask.
func (g *Gateway) Note(what string) { g.log.Info().Str("call", what).Msg("operators") }

// Figures gathers what operators see, from counts and copies alone.
func (g *Gateway) Figures() admin.Figures {
	seen := g.dispatcher.CachedTally()
	f := admin.Figures{Tries: g.workerConns.Tries(), Active: g.frontend.Active(), Workers: int64(seen.Workers),
		Avoided: int64(seen.Distrusted)}
	f.Products = make([]admin.Product, len(g.config.Charter.Products))
	for name, i := range g.config.Names.Products {
		p := &f.Products[i]
		p.Name = name
		p.Settled, p.Declined, p.Voided = g.frontend.Finals(i)
	}
	add := func(name string, v int64) { f.More = append(f.More, admin.Figure{Name: name, Value: v}) }
	if g.config.Tells {
		add("members", g.memberCount.Load())
		holds := g.dispatcher.LockTimes()
		add("desk.longest.list_us", holds.FullListMicros.Load())
		add("desk.longest.change_us", holds.ChangeMicros.Load())
		add("desk.longest.rules_us", holds.RulesetMicros.Load())
		add("peers.suspected", int64(seen.Suspected))
		add("peers.gone", int64(seen.Lost))
	}
	if k := g.journal.Load(); k != nil {
		k.Figures(add)
	}
	if g.config.Residue != "" && g.config.Recall {
		c := g.dispatcher.CheckpointStats()
		add("copies.recalled", c.Restored.Load())
		add("copies.spoilt", g.corruptCheckpoints.Load())
		add("copies.written", c.Written.Load())
		add("copies.failed", c.Failed.Load())
	}
	g.borrowingFigures(add)
	if g.ruleset != nil {
		g.ruleset.figures(add)
	}
	if g.authServer != nil {
		g.authServer.Figures(add)
	}
	if g.authorizer != nil {
		g.authorizer.Figures(add)
	}
	return f
}

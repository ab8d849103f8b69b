package policy

// LearnedState lists every figure that the gateway has learned, in a fixed
// order, for the characterization test.
func (g *Balancer) LearnedState() []float64 {
	figures := []float64{g.quota, g.full, g.width, g.widest, g.setSum, g.dear, g.load, g.mine, g.theirs, g.tolds, g.rate}
	figures = append(figures, g.fleet.figures()...)
	for _, e := range g.engines {
		figures = append(figures, e.loop.figures()...)
		figures = append(figures, e.cores, e.draw, e.load, e.faults,
			float64(e.coldUntil), float64(e.coldTold), float64(e.coldNext), float64(e.coldWas), float64(e.trialAt))
	}
	for _, settings := range g.set.Classes {
		c := g.classes[settings.Name]
		figures = append(figures, c.latency, c.quick, c.work, c.spread, c.guess, c.grant)
	}
	for _, settings := range g.set.Tenants {
		figures = append(figures, g.tenants[settings.Name].tokens)
	}
	return figures
}

func (l *loop) figures() []float64 {
	return []float64{l.start, l.top, l.bound, l.alpha, l.backlog, l.level, l.slow, l.sum, float64(l.n), float64(l.pressed)}
}

package forecast

import (
	"fmt"
	"strings"
	"time"
)

// AppendText writes an outlook as a page of text.
func AppendText(b []byte, o *Outlook) []byte {
	line := func(format string, a ...any) { b = fmt.Appendf(append(b, ""...), format+"\n", a...) }
	line("outlook as of %s, by the newest word", time.UnixMilli(o.AsOf).UTC().Format("2006-01-02T15:04:05.000Z"))
	line("rests on %d words, rules of version %d", len(o.Rests), o.Version)
	for _, s := range o.Old {
		line("too old: %s of %s in %s, by %d ms", s.Name, s.Host, s.Hall, s.Age)
	}
	for _, s := range o.Other {
		line("not gone by: %s", s)
	}
	for _, s := range o.Unheard {
		line("unheard: %s; asked is taken as %g times what is heard", s, o.Scaled)
	}
	for _, s := range o.Unknown {
		line("unknown: %s", s)
	}
	line("")
	line("now: value %g/s, in time %g/s, late %g/s, declined %s", o.Now.Value, o.Now.InTime, o.Now.Late,
		named(o.Now.Declined))
	for _, h := range o.Now.Halls {
		line("  %s: %d gatekeepers asked %g/s; %d workers (%g warm) run %g/s, use %s, pace %g ms, in hand %d of %g",
			h.Name, h.Gatekeepers, h.Asked, h.Workers, h.Able, h.Run, use(h.Use), h.Pace, h.InHand, h.Room)
	}
	for _, c := range o.Losses {
		line("")
		line("loss of %s: %s", c.Loss.Kind, strings.Join(c.Loss.Halls, " and "))
		line("  at once: value %g, txns run for nobody %g", c.AtOnce, c.Wasted)
		phase(line, fmt.Sprintf("for %g s, until shares have moved", o.Moved/1000), &c.First)
		phase(line, "then", &c.After)
		for _, m := range c.Missing {
			line("  missing: %s", m)
		}
	}
	return b
}

func phase(line func(string, ...any), when string, p *Phase) {
	line("  %s: value lost %g/s, left %g/s, in time %g/s, late %g/s, declined %s", when, p.Lost, p.Value,
		p.InTime, p.Late, named(p.Declined))
	if p.Wasted > 0 || p.Credit > 0 {
		line("    txns run for nobody %g/s, credit drawn %g units", p.Wasted, p.Credit)
	}
	for _, h := range p.Halls {
		if h.Gatekeepers > 0 || h.Workers > 0 {
			line("    %s: asked %g/s, run %g/s, use %s, pace %g ms", h.Name, h.Asked, h.Run, use(h.Use), h.Pace)
		}
	}
}

func use(v float64) string {
	if v < 0 {
		return "not known"
	}
	return fmt.Sprintf("%.1f%%", 100*v)
}

func named(all []Named) string {
	var s []string
	for _, n := range all {
		s = append(s, fmt.Sprintf("%s %g/s", n.Name, n.Rate))
	}
	return strings.Join(s, ", ")
}

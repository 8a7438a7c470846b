package forecast

import (
	"fmt"
	"strings"
	"time"
)

// AppendText appends a forecast to b as a page of text for operators.
func AppendText(b []byte, o *Forecast) []byte {
	line := func(format string, a ...any) { b = fmt.Appendf(append(b, ""...), format+"\n", a...) }
	line("outlook as of %s, by the newest word", time.UnixMilli(o.AsOf).UTC().Format("2006-01-02T15:04:05.000Z"))
	line("rests on %d words, rules of version %d", len(o.Used), o.RulesetVersion)
	for _, s := range o.TooOld {
		line("too old: %s of %s in %s, by %d ms", s.Name, s.Host, s.Region, s.AgeMillis)
	}
	for _, s := range o.Rejected {
		line("not gone by: %s", s)
	}
	for _, s := range o.Missing {
		line("unheard: %s; asked is taken as %g times what is heard", s, o.Scale)
	}
	for _, s := range o.Unknown {
		line("unknown: %s", s)
	}
	line("")
	line("now: value %g/s, in time %g/s, late %g/s, declined %s", o.Now.Value, o.Now.InTime, o.Now.Late,
		formatRates(o.Now.Rejected))
	for _, h := range o.Now.Regions {
		line("  %s: %d gatekeepers asked %g/s; %d workers (%g warm) run %g/s, use %s, pace %g ms, in hand %d of %g",
			h.Name, h.Gatekeepers, h.Requested, h.Workers, h.WarmWorkers, h.Succeeded,
			formatUtilization(h.Utilization), h.MeanMillis, h.InFlight, h.WindowCapacity)
	}
	for _, c := range o.Losses {
		line("")
		line("loss of %s: %s", c.Loss.Kind, strings.Join(c.Loss.Regions, " and "))
		line("  at once: value %g, txns run for nobody %g", c.Immediate, c.Wasted)
		appendPhase(line, fmt.Sprintf("for %g s, until shares have moved", o.RebalanceMillis/1000), &c.Before)
		appendPhase(line, "then", &c.After)
		for _, m := range c.Missing {
			line("  missing: %s", m)
		}
	}
	return b
}

func appendPhase(line func(string, ...any), when string, p *Phase) {
	line("  %s: value lost %g/s, left %g/s, in time %g/s, late %g/s, declined %s", when, p.LostValue, p.Value,
		p.InTime, p.Late, formatRates(p.Rejected))
	if p.Wasted > 0 || p.CreditDrawn > 0 {
		line("    txns run for nobody %g/s, credit drawn %g units", p.Wasted, p.CreditDrawn)
	}
	for _, h := range p.Regions {
		if h.Gatekeepers > 0 || h.Workers > 0 {
			line("    %s: asked %g/s, run %g/s, use %s, pace %g ms", h.Name, h.Requested, h.Succeeded,
				formatUtilization(h.Utilization), h.MeanMillis)
		}
	}
}

func formatUtilization(v float64) string {
	if v < 0 {
		return "not known"
	}
	return fmt.Sprintf("%.1f%%", 100*v)
}

func formatRates(all []PlanRate) string {
	var s []string
	for _, n := range all {
		s = append(s, fmt.Sprintf("%s %g/s", n.Name, n.Rate))
	}
	return strings.Join(s, ", ")
}

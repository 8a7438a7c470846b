package ruleset

import (
	"math"
	"slices"
)

const (
	unlimited = 1e300 // units of what has no ceiling: finite, so that a state can be written as JSON
	rounding  = 1e-9  // of a figure, by which a sum of parts may pass it
)

// Part is what one gatekeeper may let through of one plan.
type Part struct {
	Rate   float64 `json:"Rate"`   // of the ceiling, units a second and units; far beyond any use where there is none
	Depth  float64 `json:"Depth"`  // of the ceiling, units a second and units; far beyond any use where there is none
	Credit float64 `json:"Credit"` // units of the credit line
}

// least and most take the lesser, or greater, of two by each figure.
func (p Part) least(o Part) Part {
	return Part{math.Min(p.Rate, o.Rate), math.Min(p.Depth, o.Depth), math.Min(p.Credit, o.Credit)}
}

func (p Part) most(o Part) Part {
	return Part{math.Max(p.Rate, o.Rate), math.Max(p.Depth, o.Depth), math.Max(p.Credit, o.Credit)}
}

// of is a part of what there is; all of it where there is no ceiling.
func (p Part) of(f float64) Part {
	q := Part{p.Rate * f, p.Depth * f, p.Credit * f}
	if p.Rate == unlimited {
		q.Rate, q.Depth = unlimited, unlimited
	}
	return q
}

func (p Part) plus(o Part) Part { return Part{p.Rate + o.Rate, p.Depth + o.Depth, p.Credit + o.Credit} }

func (p Part) within(o Part) bool {
	if p.Credit > o.Credit*(1+rounding) {
		return false
	}
	return o.Rate == unlimited || p.Rate <= o.Rate*(1+rounding) && p.Depth <= o.Depth*(1+rounding)
}

// Whole is what all gatekeepers together may let through of a plan.
func Whole(p *Plan) Part {
	w := Part{p.CeilingRate, p.CeilingDepth, p.Credit * p.Rate}
	if p.CeilingRate == 0 {
		w.Rate, w.Depth = unlimited, unlimited
	}
	return w
}

// Share is what a gatekeeper may let through by rules that are in force: one part of as many as there are
// places; nothing of a ceiling where it has no place. A customer whose set is smaller has a larger part at
// each of fewer: the sum over its set is the same, and where a set is dealt anew its parts count as spent
// (policy.Resize).
func Share(r *Rules, plan, me int) Part {
	if plan >= len(r.Plans) {
		return Part{}
	}
	if w := Whole(&r.Plans[plan]); me >= 0 {
		return w.of(1 / float64(len(r.Members)))
	} else if w.Rate == unlimited {
		return Part{Rate: unlimited, Depth: unlimited}
	}
	return Part{}
}

// Cut is what one that has lost touch may let through by its fallback: a part of its share, and no credit.
func Cut(r *Rules, plan, me int) Part {
	p := Share(r, plan, me).of(r.Fallback.Part)
	p.Credit = 0
	return p
}

// Place is a gatekeeper's place by rules; -1 is none.
func Place(r *Rules, name string) int {
	if name == "" {
		return -1
	}
	return slices.IndexFunc(r.Members, func(m Member) bool { return m.Name == name })
}

// Stance is what each of some gatekeepers may let through, by plan: the same for all.
type Stance struct {
	Members []Member `json:"Members"`
	Parts   []Part   `json:"Parts"`
	// Places are those of Members where some were left out; none: they are in their places. Rules that do not
	// need ManyMembers leave members out without a word of places, as programs before it do.
	Places []int `json:"Places,omitempty"`
}

// place is that of the member at i.
func (s *Stance) place(i int) int {
	if i < len(s.Places) {
		return s.Places[i]
	}
	return i
}

// normal and fallback are the stances that rules name.
func normal(r *Rules) Stance {
	s := Stance{Members: r.Members}
	for i := range r.Plans {
		s.Parts = append(s.Parts, Share(r, i, 0))
	}
	return s
}

func fallback(r *Rules) Stance {
	s := Stance{Members: r.Members}
	for i := range r.Plans {
		s.Parts = append(s.Parts, Cut(r, i, 0))
	}
	return s
}

// narrowed is a stance held to the lesser of itself and what coming rules allow: nothing for those that the
// coming ones do not name.
func (s Stance) narrowed(coming *Rules) Stance {
	var n Stance
	stays := make(map[string]bool, len(coming.Members))
	for _, m := range coming.Members {
		stays[m.Name] = m.Name != ""
	}
	placed := slices.Contains(coming.Needs, ManyMembers)
	for i, m := range s.Members {
		if stays[m.Name] {
			if n.Members = append(n.Members, m); placed {
				n.Places = append(n.Places, s.place(i))
			}
		}
	}
	for i, p := range s.Parts {
		n.Parts = append(n.Parts, p.least(Share(coming, i, 0)))
	}
	return n
}

// Contradicts names the plan of which more than rules allow comes through where some go by them and others by
// any of the stances, in the worst mix: each gatekeeper, told by its name, by whichever gives it most. Empty
// where they never do. What is said of workers is not weighed: by it none passes a ceiling, and one that is
// cut off keeps the words that it has.
func Contradicts(held []Stance, next *Rules) string {
	var allowed []Part
	for i := range next.Plans {
		allowed = append(allowed, Whole(&next.Plans[i]))
	}
	return passes(append([]Stance{normal(next)}, held...), allowed, next)
}

// Mixes names the plan of which more comes through than either of two rules allow, where some gatekeepers go
// by one and some by the other without having gone by the first before. Where a sum stays the same and places
// come or go it does; where ceilings change alone it does not.
func Mixes(former, next *Rules) string {
	var allowed []Part
	for i := range next.Plans {
		w := Whole(&next.Plans[i])
		if i < len(former.Plans) {
			w = w.most(Whole(&former.Plans[i]))
		}
		allowed = append(allowed, w)
	}
	return passes([]Stance{normal(next), normal(former)}, allowed, next)
}

// passes names the plan of which the worst mix of stances lets through more than is allowed.
func passes(all []Stance, allowed []Part, next *Rules) string {
	places := 0
	for _, s := range all {
		places = max(places, len(s.Members))
	}
	number := make(map[string]int, places) // in the order of their first mention
	var member [][]int32                   // which stances name it
	for i, s := range all {
		for _, m := range s.Members {
			if m.Name == "" {
				continue
			}
			n, known := number[m.Name]
			if !known {
				n = len(member)
				number[m.Name] = n
				member = append(member, nil)
			}
			member[n] = append(member[n], int32(i))
		}
	}
	for plan := range allowed {
		var sum Part
		for _, in := range member {
			var worst Part
			for _, i := range in {
				if plan < len(all[i].Parts) {
					worst = worst.most(all[i].Parts[plan])
				}
			}
			sum = sum.plus(worst)
		}
		if !sum.within(allowed[plan]) {
			return next.Plans[plan].Name
		}
	}
	return ""
}

// hosts are those whose daemons keep members, each once.
func hosts(members []Member) []string {
	var all []string
	there := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Name != "" && !there[m.Host] {
			there[m.Host] = true
			all = append(all, m.Host)
		}
	}
	return all
}

// union adds hosts to some, each once.
func union(some, more []string) []string {
	there := make(map[string]bool, len(some))
	for _, h := range some {
		there[h] = true
	}
	for _, h := range more {
		if !there[h] {
			there[h] = true
			some = append(some, h)
		}
	}
	return some
}

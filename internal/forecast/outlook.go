package forecast

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"willowdeck/internal/policy"
)

// Rules are what operators say beside the words; an outlook says them again. Times are in ms.
type Rules struct {
	MostAge   float64 // a word that is so much older than the newest one is not gone by
	Cores     float64 // txns that a worker runs at once; 0 is not known
	PerS      float64 // txns of the usual mix that a warm worker settles a second at the most; 0: from paces
	Way       float64 // of an answer's time in the same hall, what is not the worker's
	Tries     int     // that a client makes, each at the next gatekeeper of its set
	Back      float64 // the longest pause before one, where no time is advised
	Takeover  float64 // until clients of a lost gatekeeper come to others; 0: with their next try
	Elsewhere bool    // clients whose gatekeepers are all lost come to the neighbours', else to none
	Slow      float64 // how many times as long the neighbours' workers take in the last kind of loss
}

// Usual are the rules where operators say nothing.
var Usual = Rules{MostAge: 10000, Tries: 1, Elsewhere: true, Slow: 2}

// Check finds the first figure that makes no sense.
func (r *Rules) Check() error {
	switch {
	case !(r.MostAge > 0):
		return fmt.Errorf("old_ms: %v is not above nought", r.MostAge)
	case !(r.Cores >= 0) || !(r.PerS >= 0) || !(r.Way >= 0):
		return errors.New("worker_cores, worker_per_s, way_ms: one is below nought")
	case r.Tries < 1 || r.Tries > 100:
		return fmt.Errorf("tries: %d is not from 1 to 100", r.Tries)
	case !(r.Back >= 0) || !(r.Takeover >= 0):
		return errors.New("back_ms, takeover_ms: one is below nought")
	case !(r.Slow >= 1):
		return fmt.Errorf("slow: %v is under one", r.Slow)
	}
	return nil
}

// Kind is what of a hall is lost.
type Kind uint8

// The kinds.
const (
	Whole   Kind = iota // its workers and its gatekeepers
	Keepers             // its gatekeepers alone
	Links               // what joins it to others: each of its halls is then alone
	Slowed              // all of it, and the neighbours' workers are slow
	kinds
)

var kindNames = [kinds]string{"hall", "gatekeepers", "links", "hall, neighbours slow"}

func (k Kind) String() string { return kindNames[k] }

// MarshalText gives a kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(kindNames[k]), nil }

// UnmarshalText reads a kind's name.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("loss: %q is unknown", text)
	}
	*k = Kind(i)
	return nil
}

// Loss is what may be lost.
type Loss struct {
	Kind  Kind
	Halls []string
}

// Same tells whether two losses are the same.
func (l *Loss) Same(o Loss) bool { return l.Kind == o.Kind && slices.Equal(l.Halls, o.Halls) }

// Losses are all that are usually asked about: each kind for each hall, and for each pair of halls where
// another one is left.
func Losses(halls []string) (all []Loss) {
	halls = slices.Sorted(slices.Values(halls))
	for k := range kinds {
		for _, h := range halls {
			all = append(all, Loss{k, []string{h}})
		}
		for i, h := range halls {
			for _, o := range halls[i+1:] {
				if len(halls) > 2 {
					all = append(all, Loss{k, []string{h, o}})
				}
			}
		}
	}
	return all
}

// Outlook is what the words say of the fleet now, and of each loss. Rates are a second, times in ms; values
// are the charter's.
type Outlook struct {
	AsOf    int64 // Unix ms of the newest word, by its own gatekeeper's clock
	Rules   Rules
	Version uint64   // of the rules that gatekeepers go by, the newest that was heard
	Rests   []Source // the words that it rests on
	Old     []Source // words too old to go by
	Other   []string // words that were not gone by, and why
	Unheard []string // gatekeepers that are known of and have said nothing
	Scaled  float64  // what is asked is taken to be so many times what is heard, for those
	Unknown []string // what could not be reckoned, and why
	Now     State
	Moved   float64 // after a loss, until the shares of those lost have moved to others
	Losses  []Cost
}

// Source is a word that was heard.
type Source struct {
	Name, Host, Hall string
	Life             uint32
	Seq, Version     uint64
	Age              int64 // older than the newest one, ms
}

// State is how a fleet does.
type State struct {
	Value    float64 // settled, late ones by their late share
	InTime   float64
	Late     float64
	Declined []Named // txns, by plan; with those that clients gave up or that were voided
	Halls    []HallState
}

// Named is a figure of a plan.
type Named struct {
	Name string
	Rate float64
}

// HallState is how a hall does. What is asked goes by the gatekeepers that stand in it, the rest by its
// workers.
type HallState struct {
	Name        string
	Gatekeepers int
	Workers     int
	Able        float64 // in warm workers
	Asked       float64
	Run         float64 // txns that its workers settle
	Use         float64 // of what they can do; below nought where that is not known
	Pace        float64 // of an answer
	Room        float64 // submissions that windows let out at it now
	InHand      int
}

// Cost is what a loss would cost.
type Cost struct {
	Loss    Loss
	AtOnce  float64 // value lost at once: what is in hand, and what comes until clients have moved
	First   Phase   // the mean until shares have moved
	After   Phase
	Orphans float64 // txns asked whose gatekeepers are all lost
	Wasted  float64 // txns that run at once for nobody
	Missing []string
}

// Phase is how the fleet does after a loss.
type Phase struct {
	Lost   float64 // value
	Wasted float64 // txns run that settle nothing in time
	Credit float64 // units borrowed, in sum
	State
}

// Project says what the words say. Words need to have passed Check.
func Project(words []*Word, r Rules) *Outlook {
	o := &Outlook{Rules: r, Scaled: 1}
	used := o.sift(words)
	if len(used) == 0 {
		o.Unknown = append(o.Unknown, "everything: there is no word to go by")
		return o
	}
	f := o.gather(used)
	o.Moved = round4(f.moved())
	o.Now = f.now()
	if f.cores == 0 {
		return o
	}
	base := f.base()
	for _, l := range Losses(f.names) {
		o.Losses = append(o.Losses, f.cost(l, base))
	}
	return o
}

// sift tells the words that can be gone by from the others, in the order of groups and numbers: the newest of
// each gatekeeper, of the newest rules, with what most of them say of the charter.
func (o *Outlook) sift(words []*Word) (used []*Word) {
	newest := map[string]*Word{}
	for _, w := range words {
		id := w.Group + "\x00" + fmt.Sprint(w.Number)
		if was := newest[id]; was == nil || w.Newer(was) {
			newest[id] = w
		}
	}
	all := make([]*Word, 0, len(newest))
	for _, w := range newest {
		all = append(all, w)
		o.AsOf, o.Version = max(o.AsOf, w.At), max(o.Version, w.Version)
	}
	slices.SortFunc(all, func(a, b *Word) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Number, b.Number), cmp.Compare(a.Name, b.Name))
	})
	terms, most := termsOf(all)
	for i, w := range all {
		s := Source{w.Name, w.Host, w.Hall, w.Life, w.Seq, w.Version, o.AsOf - w.At}
		switch {
		case float64(s.Age) > o.Rules.MostAge:
			o.Old = append(o.Old, s)
		case terms[i] != most:
			o.Other = append(o.Other, w.Name+": goes by other products and plans than most")
		default:
			o.Rests = append(o.Rests, s)
			used = append(used, w)
		}
	}
	o.unheard(used)
	return used
}

// terms is what words must agree on to be added up.
func (w *Word) terms() string {
	c := w.Charter
	c.GatewayIndex = 0
	b, err := json.Marshal(struct {
		C              any
		Products, Plan []string
	}{c, w.Products, w.Plans})
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// termsOf gives the terms of each word, and those that most have; of two as common the first by text.
func termsOf(words []*Word) (all []string, most string) {
	count := map[string]int{}
	for _, w := range words {
		all = append(all, w.terms())
		count[all[len(all)-1]]++
	}
	for t, n := range count {
		if n > count[most] || n == count[most] && t < most {
			most = t
		}
	}
	return all, most
}

// unheard names the gatekeepers that words tell of and that have said none, and takes them to be asked as
// much as the mean of the others, as the module itself takes a peer that never spoke.
func (o *Outlook) unheard(used []*Word) {
	known, heard := 0, 0
	for i := 0; i < len(used); {
		group, n := used[i].Group, used[i].Charter.GatewayCount
		said := map[int]bool{}
		for ; i < len(used) && used[i].Group == group; i++ {
			said[used[i].Number] = true
		}
		known, heard = known+n, heard+len(said)
		var gaps []string
		for k := range n {
			if !said[k] {
				gaps = append(gaps, fmt.Sprint(k))
			}
		}
		if len(gaps) > 0 {
			o.Unheard = append(o.Unheard, fmt.Sprintf("group %s: number %s of %d", group, strings.Join(gaps, " "), n))
		}
	}
	if heard > 0 {
		o.Scaled = round4(float64(known) / float64(heard))
	}
}

// gather adds up what words say.
func (o *Outlook) gather(used []*Word) *fleet {
	f := &fleet{rules: o.Rules, words: used, charter: used[0].Charter, products: used[0].Products,
		plans: used[0].Plans, at: map[string]int{}, stands: map[string][]int{}, scaled: o.Scaled}
	f.manner = policy.ModelParametersOf(f.charter)
	f.add()
	o.Unknown = append(o.Unknown, f.unknown...)
	return f
}

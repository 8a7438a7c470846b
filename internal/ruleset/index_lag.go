package ruleset

import "slices"

// mostHighest is of how many of discovery's indices the time is kept. Where more came, one that is behind all
// of them counts from the oldest kept: 128 changes of the list are a minute of a rolling deploy.
const mostHighest = 128

// Behind is one whose list of discovery's lags.
type Behind struct {
	Who     string  `json:"Who"`
	Index   int64   `json:"Index"`
	Highest int64   `json:"Highest"`
	For     float64 `json:"For"` // ms since a newer index than its own was first told
}

// Lag knows which index of discovery's list each process has told. What discovery itself has is not known
// here: where all lag, none does.
type Lag struct {
	has     map[string]int64
	indices []int64   // each higher than the one before
	first   []float64 // when it was first told, ms
}

// NewLag makes one that knows of none.
func NewLag() *Lag { return &Lag{has: map[string]int64{}} }

// Told takes what one says of its list, at a time, ms. An index that goes back is taken: it has begun anew.
func (l *Lag) Told(who string, index int64, now float64) {
	if _, known := l.has[who]; !known && len(l.has) >= 2*mostMembers {
		return
	}
	l.has[who] = index
	n := len(l.indices)
	if n > 0 && index <= l.indices[n-1] {
		return
	}
	if n == mostHighest {
		l.indices, l.first = slices.Delete(l.indices, 0, 1), slices.Delete(l.first, 0, 1)
	}
	l.indices, l.first = append(l.indices, index), append(l.first, now)
}

// Left takes one out.
func (l *Lag) Left(who string) { delete(l.has, who) }

// Late names those that have been behind the highest index for longer than a time, ms, by name.
func (l *Lag) Late(now, longer float64) []Behind {
	var all []Behind
	for who, index := range l.has {
		i, there := slices.BinarySearch(l.indices, index)
		if there {
			i++
		}
		if i < len(l.indices) && now-l.first[i] > longer {
			all = append(all, Behind{who, index, l.indices[len(l.indices)-1], now - l.first[i]})
		}
	}
	slices.SortFunc(all, func(a, b Behind) int {
		if a.Who < b.Who {
			return -1
		}
		return 1
	})
	return all
}

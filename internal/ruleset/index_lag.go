package ruleset

import "slices"

// mostHighest is of how many of discovery's indices the time is kept. Where more came, one that is behind all
// of them counts from the oldest kept: 128 changes of the list are a minute of a rolling deploy.
const maxTrackedIndexes = 128

// Behind is one whose list of discovery's lags.
type LaggingMember struct {
	Name         string  `json:"Who"`
	Index        int64   `json:"Index"`
	HighestIndex int64   `json:"Highest"`
	LagMillis    float64 `json:"For"` // ms since a newer index than its own was first told
}

// Lag knows which index of discovery's list each process has told. What discovery itself has is not known
// here: where all lag, none does.
type IndexLag struct {
	latest              map[string]int64
	indexes             []int64   // each higher than the one before
	firstReportedMillis []float64 // when it was first told, ms
}

// NewLag makes one that knows of none.
func NewIndexLag() *IndexLag { return &IndexLag{latest: map[string]int64{}} }

// Told takes what one says of its list, at a time, ms. An index that goes back is taken: it has begun anew.
func (l *IndexLag) Report(name string, index int64, nowMillis float64) {
	if _, known := l.latest[name]; !known && len(l.latest) >= 2*maxMembers {
		return
	}
	l.latest[name] = index
	n := len(l.indexes)
	if n > 0 && index <= l.indexes[n-1] {
		return
	}
	if n == maxTrackedIndexes {
		l.indexes, l.firstReportedMillis = slices.Delete(l.indexes, 0, 1), slices.Delete(l.firstReportedMillis, 0,
			1)
	}
	l.indexes, l.firstReportedMillis = append(l.indexes, index), append(l.firstReportedMillis, nowMillis)
}

// Left takes one out.
func (l *IndexLag) Remove(name string) { delete(l.latest, name) }

// Late names those that have been behind the highest index for longer than a time, ms, by name.
func (l *IndexLag) Lagging(nowMillis, minLagMillis float64) []LaggingMember {
	var lagging []LaggingMember
	for name, index := range l.latest {
		i, known := slices.BinarySearch(l.indexes, index)
		if known {
			i++
		}
		if i < len(l.indexes) && nowMillis-l.firstReportedMillis[i] > minLagMillis {
			lagging = append(lagging, LaggingMember{name, index, l.indexes[len(l.indexes)-1],
				nowMillis - l.firstReportedMillis[i]})
		}
	}
	slices.SortFunc(lagging, func(a, b LaggingMember) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return lagging
}

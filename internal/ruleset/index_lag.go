package ruleset

import "slices"

// maxTrackedIndexes is for how many indexes of the endpoint list the time of the first report is kept. A
// member behind all of them counts from the oldest one: 128 changes of the list are a minute of a rolling
// deploy.
const maxTrackedIndexes = 128

// LaggingMember is a member whose endpoint list is behind another member's.
type LaggingMember struct {
	Name         string  `json:"Who"`
	Index        int64   `json:"Index"`
	HighestIndex int64   `json:"Highest"` // that any member has reported
	LagMillis    float64 `json:"For"`     // since an index newer than Index was first reported
}

// IndexLag tracks which index of service discovery's endpoint list each member has reported. It does not know
// discovery's own index: where all members lag, none is named.
type IndexLag struct {
	latest              map[string]int64 // by member
	indexes             []int64          // ascending
	firstReportedMillis []float64        // of each of indexes
}

// NewIndexLag makes one without members.
func NewIndexLag() *IndexLag { return &IndexLag{latest: map[string]int64{}} }

// Report takes a member's index of the endpoint list at a time. An index that goes back is taken: discovery
// has begun anew. Beyond twice maxMembers new names are ignored.
func (l *IndexLag) Report(name string, index int64, nowMillis float64) {
	if _, known := l.latest[name]; !known && len(l.latest) >= 2*maxMembers {
		return
	}
	l.latest[name] = index
	count := len(l.indexes)
	if count > 0 && index <= l.indexes[count-1] {
		return
	}
	if count == maxTrackedIndexes {
		l.indexes = slices.Delete(l.indexes, 0, 1)
		l.firstReportedMillis = slices.Delete(l.firstReportedMillis, 0, 1)
	}
	l.indexes = append(l.indexes, index)
	l.firstReportedMillis = append(l.firstReportedMillis, nowMillis)
}

// Remove forgets a member.
func (l *IndexLag) Remove(name string) { delete(l.latest, name) }

// Lagging names the members that have been behind the highest index for longer than minLagMillis, by name.
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

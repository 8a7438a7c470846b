package ruleset

import "slices"

// maxTrackedIndexes is the number of indexes of the endpoint list for which the time of the first report is
// kept. For a member that is behind all of them the lag counts from the oldest. A rolling deploy makes 128
// changes of the list in about a minute.
const maxTrackedIndexes = 128

// LaggingMember is a member whose endpoint list is behind another member's.
type LaggingMember struct {
	Name         string  `json:"Who"`
	Index        int64   `json:"Index"`
	HighestIndex int64   `json:"Highest"` // the highest index that any member has reported
	LagMillis    float64 `json:"For"`     // since an index newer than Index was first reported
}

// IndexLag tracks which index of service discovery's endpoint list each member has reported. It does not know
// the index of service discovery itself: if all members lag equally, it reports none of them.
type IndexLag struct {
	latest              map[string]int64 // by member
	indexes             []int64          // ascending
	firstReportedMillis []float64        // for each of indexes
}

// NewIndexLag returns an IndexLag without members.
func NewIndexLag() *IndexLag { return &IndexLag{latest: map[string]int64{}} }

// Report records the index of the endpoint list that a member has reported at a time. A lower index than
// before is accepted, as service discovery may have started over. New names beyond twice maxMembers are
// ignored.
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

// Remove removes a member.
func (l *IndexLag) Remove(name string) { delete(l.latest, name) }

// Lagging returns the members for which an index newer than their own was first reported more than
// minLagMillis ago, sorted by name.
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

package distribution

const (
	discoveryIndexTTLMillis  = 10000.0 // for which a client's report counts
	discoveryIndexScanMillis = 1000.0  // between two scans of all clients for the highest index
)

// clientIndex is what a client last reported of the discovery service's list.
type clientIndex struct {
	index      int64
	reportedAt float64
}

// indexTracker knows the highest index of the discovery service's list that clients have reported lately.
type indexTracker struct {
	maxClients int
	clients    map[string]clientIndex
	highest    int64   // at the last scan, or reported since
	scannedAt  float64 // point in time
}

func newIndexTracker(maxClients int) indexTracker {
	return indexTracker{maxClients: maxClients, clients: map[string]clientIndex{}, highest: -1, scannedAt: never}
}

// record notes a client's index, where it is not negative. Beyond the bound of clients it makes way for a new
// one by those whose reports have expired, and else ignores it.
func (t *indexTracker) record(client string, index int64, now float64) {
	if index < 0 {
		return
	}
	if _, exists := t.clients[client]; !exists && len(t.clients) >= t.maxClients {
		for name, c := range t.clients {
			if now-c.reportedAt > discoveryIndexTTLMillis {
				delete(t.clients, name)
			}
		}
	}
	if _, exists := t.clients[client]; exists || len(t.clients) < t.maxClients {
		t.clients[client] = clientIndex{index, now}
		t.highest = max(t.highest, index)
	}
}

// highestAt gives the highest index at a time; negative: none.
func (t *indexTracker) highestAt(now float64) int64 {
	if now-t.scannedAt > discoveryIndexScanMillis {
		t.scannedAt, t.highest = now, -1
		for _, c := range t.clients {
			if now-c.reportedAt <= discoveryIndexTTLMillis {
				t.highest = max(t.highest, c.index)
			}
		}
	}
	return t.highest
}

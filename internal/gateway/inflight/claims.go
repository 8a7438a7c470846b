package inflight

import (
	"fmt"
	"sync/atomic"
)

// Claim is something that must hold. Debug builds stop where it does not; release builds count it.
type Claim uint8

const (
	OneFinal    Claim = iota // a txn gets one final answer
	InTime                   // and gets it before its client stops waiting, with the slack of the rules
	NoneAfter                // nothing is sent for a txn after that
	Named                    // the module decides on txns in hand only
	ShortSpeech              // a datagram is no longer than peers take
	claims
)

var claimNames = [claims]string{"one_final", "in_time", "none_after", "named", "short_speech"}

var broken [claims]atomic.Int64

// Must notes whether a claim holds here.
func Must(holds bool, c Claim) {
	if holds {
		return
	}
	if asserted {
		panic(fmt.Sprintf("claim %s does not hold", claimNames[c]))
	}
	broken[c].Add(1)
}

// Broken gives the counts of the claims that did not hold, by name.
func Broken() map[string]int64 {
	m := map[string]int64{}
	for i := range broken {
		if n := broken[i].Load(); n > 0 {
			m[claimNames[i]] = n
		}
	}
	return m
}

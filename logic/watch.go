package logic

import "math"

// WatchAfter is the pause before the watch is opened, ms, after so many tries in a row that brought nothing,
// by so many gatekeepers that may all ask at once, none where lists are pushed; chance is from 0 to 1. What
// discovery has to tell counts as told in due ms: +Inf where it has been out of reach, and the pause is free
// to grow. Guards against a fleet that asks as one: discovery then lets nobody in, kept busy with those who
// gave up and those whom it turns away.
func WatchAfter(tries, askers int, due, chance float64) float64 {
	most, each := math.Max(due-WatchAnswer, 0), WatchEach*float64(askers)
	switch {
	case tries == 0:
		return math.Min(each, most) * chance
	case askers == 0: // it costs nobody anything, and what is missed counts as told at once
		return WatchAgain * (1 + chance) / 2
	}
	longer := math.Min(math.Pow(2, float64(tries-1)), WatchLonger)
	return math.Max(math.Min(each*longer, most), WatchAgain) * (1 + chance) / 2
}

// WatchSilent is how long a watch that has spoken may say nothing, ms, until it is opened anew, at once. The
// askers spread in it, not after it, so that one that speaks late is heard. In the worst case it is WatchDue
// from its last word to the new one's first: WatchQuiet, the spread, and WatchAnswer.
func WatchSilent(askers int, chance float64) float64 {
	return WatchQuiet + WatchAfter(0, askers, WatchDue-WatchQuiet, chance)
}

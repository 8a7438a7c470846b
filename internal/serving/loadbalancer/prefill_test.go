package loadbalancer

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"testing"
	"time"
)

// promptOf returns a request whose own part has ownTokens.
func promptOf(shared string, ownTokens int) *Request {
	header := fmt.Sprintf("base:500,%s:4800,of-%s:%d", shared, shared, ownTokens)
	return &Request{Parts: ParsePrompt(header), MaxStreamGapMillis: 400}
}

// TestPrefillTimesAreLearned observes an engine's times to the first token, many of them with queueing.
func TestPrefillTimesAreLearned(t *testing.T) {
	for _, tokensPerMillisecond := range []float64{30, 140, 400} {
		model := newPrefillModel()
		random := rand.New(rand.NewSource(1))
		for range 200 {
			uncached := math.Exp(5 + 5*random.Float64())
			millis := 60 + uncached/tokensPerMillisecond
			if random.Float64() < 0.5 {
				millis += random.ExpFloat64() * 80
			}
			model.observe(time.Duration(millis*float64(time.Millisecond)), uncached, uncached)
		}
		want := 15_000 / tokensPerMillisecond
		if got := model.estimateMillis(15_000, 15_000); got < want/2 || got > want*2 {
			t.Errorf("%v tokens a ms: 15,000 tokens take %.0f ms, not %.0f", tokensPerMillisecond, got, want)
		}
	}
}

// TestStepsReachTheQuantile checks the step rule itself.
func TestStepsReachTheQuantile(t *testing.T) {
	random := rand.New(rand.NewSource(2))
	estimate := 1.0
	for range 5_000 {
		estimate = stepTowardQuantile(estimate, 100*random.Float64(), 0.02, 0.25)
	}
	if estimate < 18 || estimate > 33 {
		t.Errorf("%.1f instead of about 25", estimate)
	}
}

// TestLongPromptsShareAnEngine sends long prompts one after the other: all go to the same engine.
func TestLongPromptsShareAnEngine(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(20)
	used := map[int]int{}
	for i := range 20 {
		now := time.Duration(i) * 3 * time.Second
		request := &Request{Parts: ParsePrompt(fmt.Sprintf("own-%d:45000", i)), MaxStreamGapMillis: 400}
		chosen := b.Choose(now, request, candidates)
		used[chosen]++
		notice := b.RecordSent(now, request, candidates[chosen].Instance)
		if !notice.Long || notice.PrefillMillis < 400 {
			t.Fatalf("notice %+v", notice)
		}
		b.RecordFirstToken(now+time.Second, request, candidates[chosen].Instance)
		b.Release(candidates[chosen].Instance)
	}
	if len(used) != 1 {
		t.Errorf("engines used by long prompts one after the other: %v", used)
	}
}

// TestLongPromptsDoNotQueue sends some at once: each gets an engine of its own, and the first ones of the
// agreed order are selected, whichever edge sends.
func TestLongPromptsDoNotQueue(t *testing.T) {
	candidates := workers(20)
	first, second := newBalancer(1), newBalancer(2)
	used := map[int]bool{}
	for i := range 4 {
		sender, other := first, second
		if i%2 == 1 {
			sender, other = second, first
		}
		request := promptOf(fmt.Sprint("p", i), 45_000)
		chosen := sender.Choose(0, request, candidates)
		other.RecordPeerPrefill(0, sender.RecordSent(0, request, candidates[chosen].Instance))
		used[chosen] = true
	}
	ranks := longPromptRanks(candidates)
	for chosen := range used {
		if ranks[candidates[chosen].Instance] > 4 {
			t.Errorf("rank %d of the order was selected", ranks[candidates[chosen].Instance])
		}
	}
	if len(used) != 4 {
		t.Errorf("%d engines for four long prompts at once", len(used))
	}
}

// longShares returns the share of each engine's time that long prompts have taken, where it bars affinity.
func longShares(b *Balancer, now time.Duration) map[string]float64 {
	shares := map[string]float64{}
	for instance, worker := range b.workers {
		if share := worker.prefillQueue.longShare.At(now); share > maxAffinityLongShare {
			shares[instance] = share
		}
	}
	return shares
}

// TestShortPromptsAvoidLongOnes reports long prompts at an engine: affinity leaves it and short prompts go
// elsewhere; some time after the last one, all is as before.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(10)
	request := promptOf("shared", 200)
	affinity := b.Choose(0, request, candidates)
	for i := range 5 {
		now := time.Duration(i) * time.Second
		b.RecordPeerPrefill(now, PrefillNotice{
			Instance: candidates[affinity].Instance, PrefillMillis: 700, Long: true,
		})
	}
	now := 10 * time.Second
	if got := b.Choose(now, promptOf("shared", 200), candidates); got == affinity {
		t.Error("a short prompt goes where long ones are prefilled")
	}
	if shares := longShares(b, now); len(shares) != 1 || shares[candidates[affinity].Instance] < 0.1 {
		t.Errorf("shares %v", shares)
	}
	now += 3 * time.Minute
	if got := b.Choose(now, promptOf("shared", 201), candidates); got != affinity {
		t.Error("the affinity is not back after the long prompts ended")
	}
}

// TestPeerPrefillsMakeEnginesBusy records a prompt that another edge has sent: its engine is not selected
// until it has prefilled that.
func TestPeerPrefillsMakeEnginesBusy(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	b.RecordPeerPrefill(0, PrefillNotice{Instance: candidates[0].Instance, PrefillMillis: 300})
	for i := range 10 {
		if got := b.Choose(0, &Request{Parts: ParsePrompt("own:100")}, candidates); got != 1 {
			t.Fatalf("choice %d goes to the busy engine", i)
		}
	}
	if wait := b.state(candidates[0].Instance).prefillQueue.waitMillis(400 * time.Millisecond); wait != 0 {
		t.Errorf("%.0f ms to wait after the prefill", wait)
	}
}

// TestInvalidNoticesAreIgnored gives times that no engine takes.
func TestInvalidNoticesAreIgnored(t *testing.T) {
	b := newBalancer(1)
	for _, millis := range []float64{-1, 0, math.NaN(), math.Inf(1), 1e9} {
		b.RecordPeerPrefill(0, PrefillNotice{Instance: "i-0", PrefillMillis: millis, Long: true})
	}
	if wait := b.state("i-0").prefillQueue.waitMillis(0); wait != 0 {
		t.Errorf("%.0f ms to wait", wait)
	}
}

// TestReplacedWorkerStaysEjected finds another worker at an address: the ejection lasts for longer than after
// a failure.
func TestReplacedWorkerStaysEjected(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	b.RecordReplaced(0, candidates[0].Instance)
	for _, now := range []time.Duration{0, time.Second, 9 * time.Second} {
		if got := b.Choose(now, &Request{}, candidates); got != 1 {
			t.Errorf("after %v the replaced worker is selected", now)
		}
	}
}

// TestWorkersBehindSuspectedPathsComeLast suspects the paths to workers: they are selected only where there
// is no other.
func TestWorkersBehindSuspectedPathsComeLast(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(3)
	candidates[0].PathSuspected, candidates[1].PathSuspected = true, true
	if got := b.Choose(0, promptOf("shared", 200), candidates); got != 2 {
		t.Errorf("worker %d is selected", got)
	}
	if got := b.Choose(0, promptOf("shared", 200), candidates[:2]); got < 0 {
		t.Error("none is selected where all paths are suspected")
	}
}

// TestPeersReportUnresponsiveWorkers has another edge report a worker unresponsive: it is ejected for a time,
// but not where this edge has just seen a success.
func TestPeersReportUnresponsiveWorkers(t *testing.T) {
	b := newBalancer(1)
	candidates := workers(2)
	reported := candidates[0].Instance
	choose := func(now time.Duration) int { return b.Choose(now, promptOf("shared", 200), candidates[:2]) }
	b.RecordSuccess(0, reported)
	b.RecordUnresponsive(100*time.Millisecond, reported, true)
	if b.state(reported).health.ejected(100 * time.Millisecond) {
		t.Error("a peer's report outweighs what was seen just now")
	}
	if b.RecordUnresponsive(time.Second, reported, true) ||
		!b.RecordUnresponsive(1200*time.Millisecond, reported, false) {
		t.Error("the first report is new, the second is not")
	}
	if choose(1500*time.Millisecond) != 1 || !b.state(reported).health.ejected(2*time.Second) {
		t.Error("an unresponsive worker is selected")
	}
	b.RecordSuccess(2*time.Second, reported)
	if b.state(reported).health.ejected(2 * time.Second) {
		t.Error("ejected after a success")
	}
}

// TestRequestNotExecuted sends a prompt to a worker that does not execute it: nothing of the prompt counts
// there, and what an earlier request had sent stays.
func TestRequestNotExecuted(t *testing.T) {
	b := newBalancer(1)
	const instance = "i-1"
	earlier := promptOf("common", 100)
	b.RecordSent(0, earlier, instance)
	b.RecordFirstToken(time.Second, earlier, instance)
	state := b.state(instance)
	waitBefore := state.prefillQueue.waitMillis(0)
	cachedBefore := maps.Clone(state.prefixCache)

	request := promptOf("common", 6000)
	request.Parts = append(ParsePrompt("new:4000"), request.Parts...)
	b.RecordSent(0, request, instance)
	if state.prefillTokens == 0 || state.prefillQueue.waitMillis(0) <= waitBefore {
		t.Fatal("the prompt does not count while it is in flight")
	}
	for attempt := range 2 { // the second has no effect
		b.RecordNotExecuted(time.Second, request, instance)
		if state.prefillTokens != 0 {
			t.Errorf("%d: %.0f tokens are still to be prefilled", attempt, state.prefillTokens)
		}
		if wait := state.prefillQueue.waitMillis(0); wait != waitBefore {
			t.Errorf("%d: a further prompt waits for %.1f ms, not %.1f ms", attempt, wait, waitBefore)
		}
		if !maps.Equal(state.prefixCache, cachedBefore) {
			t.Errorf("%d: cached parts %v, not %v", attempt, state.prefixCache, cachedBefore)
		}
	}
}

// TestRequestNotExecutedKeepsLaterParts sends the same prompt again before the first request comes back
// unexecuted: the later request's parts stay.
func TestRequestNotExecutedKeepsLaterParts(t *testing.T) {
	b := newBalancer(1)
	const instance = "i-1"
	rejected, later := promptOf("common", 100), promptOf("common", 100)
	b.RecordSent(0, rejected, instance)
	b.RecordSent(time.Second, later, instance)
	b.RecordNotExecuted(2*time.Second, rejected, instance)
	if own, shared := b.state(instance).uncachedTokens(2*time.Second, later.Parts, false); own+shared > 0 {
		t.Errorf("%.0f tokens of the later request count as not cached", own+shared)
	}
}

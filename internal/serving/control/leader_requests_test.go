package control

import (
	"testing"
	"time"

	"willowdeck/internal/serving/wirepb"
)

// TestRetryAfterLostLeadIsProposed gives a leader a command whose entry it lost with the lead in an earlier
// term: a retry is proposed again, and one within a term is not.
func TestRetryAfterLostLeadIsProposed(t *testing.T) {
	w := startWorld(1, shape{cores: 3, tolerated: 1})
	leader := w.leader()
	if leader == nil {
		t.Fatal("there is no leader")
	}
	engine := leader.process.engine
	command := &wirepb.Command{Id: "retried"}
	from := requester{number: 1}
	expires := w.now + time.Second
	term := engine.node.Term()
	engine.leaderRequests.commands[command.Id] = leaderRequest{requester: from, expiresAt: expires,
		term: term - 1}
	before := len(engine.node.UncommittedEntries())
	if !engine.accept(command, from, expires) {
		t.Fatal("the retry is not accepted")
	}
	proposed := len(engine.node.UncommittedEntries())
	if proposed != before+1 {
		t.Errorf("%d uncommitted entries after %d: the retry is not proposed", proposed, before)
	}
	if !engine.accept(command, from, expires) || len(engine.node.UncommittedEntries()) != proposed {
		t.Errorf("after %d uncommitted entries a retry within the term is proposed again", proposed)
	}
}

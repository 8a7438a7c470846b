package raftlog

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"willowdeck/internal/ruleset"
)

// Messages that are too long, of another protocol version or cluster, or from an unknown host are rejected
// with a reason, counted, and change nothing.
func TestRejectedMessages(t *testing.T) {
	t.Parallel()
	group := newActiveGroup(t, 3)
	me := group.nodes["h0"]
	disk := me.Status().DiskID
	other := group.nodes["h1"].Status()
	post := func(path, body string) (int, string) {
		res, err := http.Post("http://"+me.Address()+path, "application/json", strings.NewReader(body))
		requireNoError(t, err)
		defer res.Body.Close()
		var b bytes.Buffer
		_, _ = b.ReadFrom(res.Body)
		return res.StatusCode, b.String()
	}
	cases := []struct{ name, path, body, reason, text string }{
		{"too long", "/council/raft", `{"form":1,"name":"` + strings.Repeat("x", maxMessageBytes) + `"}`,
			reasonTooLong, "more than"},
		{"no JSON", "/council/raft", "GET me", reasonMalformed, "not a message"},
		{"another form", "/council/hello", `{"form":2,"cluster":"till","name":"h1"}`, reasonProtocolVersion,
			"form 2"},
		{"another cluster", "/council/hello", `{"form":1,"cluster":"rill","name":"h1","id":"1"}`,
			reasonOtherCluster, `"rill"`},
		{"a stranger", "/council/hello", `{"form":1,"cluster":"till","name":"h9","id":"1"}`, reasonUnknownHost,
			`"h9"`},
		{"its own name", "/council/hello", `{"form":1,"cluster":"till","name":"h0","id":"1"}`, reasonUnknownHost,
			`"h0"`},
		{"no id", "/council/hello", `{"form":1,"cluster":"till","name":"h1","id":"z"}`, reasonMalformed, "no id"},
		{"to another disk", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","to":"2"}`,
			reasonOtherDisk, "not here"},
		{"of another council", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"x",` +
			`"to":"` + disk + `"}`, reasonOtherCluster, "council x"},
		{"no message", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"` +
			other.GroupID + `","to":"` + disk + `","messages":["AAAA"]}`, reasonMalformed, "no message"},
		{"in another's name", "/council/raft", `{"form":1,"cluster":"till","name":"h1","id":"1","council":"` +
			other.GroupID + `","to":"` + disk + `","messages":["CBMQAhgDIAUoADAAOABCAA=="]}`, "", ""},
		{"joins with a full disk", "/council/join", `{"form":1,"cluster":"till","name":"h1","id":"1"}`, "", ""},
	}
	for _, c := range cases {
		before := me.Status()
		status, text := post(c.path, c.body)
		v := me.Status()
		if c.reason == "" {
			if v.AppliedIndex < before.AppliedIndex || status == http.StatusInternalServerError {
				t.Errorf("%s: %d %s", c.name, status, text)
			}
			continue
		}
		if status != http.StatusForbidden || !strings.Contains(text, c.text) ||
			v.Rejections[c.reason] != before.Rejections[c.reason]+1 {
			t.Errorf("%s: %d %q, counted %v", c.name, status, text, v.Rejections)
		}
	}
	group.waitForOutcome(me, group.propose(me, 200)) // the group goes on
	group.waitForVersion(2)
	if _, err := me.Propose(&ruleset.Rules{Format: 2}); err == nil {
		t.Error("rules of another form are proposed")
	}
	if err := me.Node.Propose(make([]byte, maxEntryBytes+1)); err == nil {
		t.Error("an entry that is too long is proposed")
	}
}

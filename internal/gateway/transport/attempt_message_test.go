package transport

import (
	"testing"
	"time"

	"willowdeck/internal/policy"
)

// The message of an attempt, byte for byte.
func TestAppendAttempt(t *testing.T) {
	cases := []struct {
		name           string
		request        Request
		remaining      float64
		rulesetVersion int64
		want           string
	}{
		{"inquiry", Request{Method: []byte("GET"), Target: []byte("/a?b"), RequestID: []byte("1")}, 12.5, NoRuleset,
			"GET /a?b HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 1\r\nX-Deadline: 12500u\r\n\r\n"},
		{"referenced", Request{Method: []byte("POST"), Target: []byte("/s"), RequestID: []byte("2"),
			IdempotencyKey: []byte("k"), Body: []byte("xy")}, 1, NoRuleset,
			"POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 2\r\n" +
				"X-Deadline: 1000u\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nxy"},
		{"no time left", Request{Method: []byte("POST"), Target: []byte("/s"), RequestID: []byte("3")}, -1,
			NoRuleset,
			"POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 3\r\n" +
				"X-Deadline: 0u\r\nContent-Length: 0\r\n\r\n"},
		{"by rules", Request{Method: []byte("GET"), Target: []byte("/a"), RequestID: []byte("4")}, 1, 12,
			"GET /a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 4\r\nX-Deadline: 1000u\r\nX-Rules: 12\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			message, offset := AppendAttempt(nil, &tc.request, tc.rulesetVersion)
			if got := SetRemaining(message, offset, Millis(tc.remaining)); string(got) != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// The remaining time is written in whole us, rounded down. Filling it in allocates nothing.
func TestSetRemaining(t *testing.T) {
	request := Request{Method: []byte("POST"), Target: []byte("/s"), RequestID: []byte("2"), Body: []byte("xy")}
	for remaining, want := range map[time.Duration]string{
		-time.Hour: "0u", 0: "0u", 999 * time.Nanosecond: "0u", 1999 * time.Nanosecond: "1u",
		480 * time.Millisecond: "480000u", Millis(policy.MaxClientWaitMillis): "3600000000u",
		24 * time.Hour: "9999999999u",
	} {
		message, offset := AppendAttempt(make([]byte, 0, 512), &request, 7)
		var got []byte
		buffer := make([]byte, 0, 512)
		n := testing.AllocsPerRun(10, func() {
			got = SetRemaining(append(buffer[:0], message...), offset,
				remaining)
		})
		if n > 0 {
			t.Errorf("%v: %g allocations", remaining, n)
		}
		if want := "POST /s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 2\r\nX-Deadline: " + want +
			"\r\nX-Rules: 7\r\nContent-Length: 2\r\n\r\nxy"; string(got) != want {
			t.Errorf("%v: %q, want %q", remaining, got, want)
		}
	}
}

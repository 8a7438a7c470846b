package wire

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/wire/roster"
)

// Guards against a watch that is turned away and asks again at once, asks twice at a time, or forgets the
// version that it has: after each kind of end the next call waits for its pause and goes by that version.
func TestWatchAgain(t *testing.T) {
	const line = `{"index":%d,"snapshot":false,"endpoints":[]}` + "\n"
	l, addr := sink(t)
	var asked []string
	go func() { // one call after another, so that a second one beside it would be seen
		for _, say := range []string{"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 4) + "\n",
			"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 5) + "not a list\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + fmt.Sprintf(line, 6)} {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				asked = append(asked, r.URL.Query().Get("index"))
			}
			_, _ = conn.Write([]byte(say))
			_ = conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var tries []int
	var ends []string
	heard := 0
	version := Watch(ctx, addr.String(), 3, func(l roster.List) {
		if l.Version == 6 {
			cancel()
		}
	}, func() { heard++ }, func(err error) { ends = append(ends, err.Error()) }, func(n int) float64 {
		tries = append(tries, n)
		return 1
	})
	if version != 6 || heard != 1 || !slices.Equal(tries, []int{0, 1, 2, 1, 2, 1}) {
		t.Errorf("version %d, %d lines without news, pauses after %v tries", version, heard, tries)
	}
	if want := []string{"3", "3", "3", "4", "4", "0"}; !slices.Equal(asked, want) {
		t.Errorf("asked from versions %v, not %v", asked, want)
	}
	if len(ends) != 5 || !strings.Contains(ends[1], "503") {
		t.Errorf("ends: %q", ends)
	}
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	uploadRunTime = 24 * time.Second
	uploadBytes   = 4_000_000 // less than max_body_bytes, 4,194,304
	usualUploads  = 11        // clients of each edge
	burstUploads  = 27        // clients of each edge in the burst: 2.5 times as many
	burstAfter    = 6 * time.Second
	burstTime     = 10 * time.Second
	uploadChunk   = 32 << 10
	// uploadPause paces a body to 1.3 MB in a second, so that all clients of an edge together stay far below the
	// 1,000 Mbit/s of a machine's link.
	uploadPause = 25 * time.Millisecond
	maxEnds     = 2 // of a machine's processes in a day, by Fault
	maxEnding   = 1 // machines that may have more, by Fault
)

// uploadsCase has many clients at once send bodies within max_body_bytes, while others look things up through
// the same edges.
func uploadsCase(root string, trouble bool, record *record) (bool, error) {
	k, err := startDesk(root, record, answerStream)
	if err != nil {
		return false, err
	}
	defer k.stop()
	clients := usualUploads
	if trouble {
		clients = burstUploads
	}
	begun := time.Now()
	var uploads sync.WaitGroup
	for _, edge := range k.edges {
		for c := range clients {
			uploads.Go(func() {
				if c < usualUploads {
					k.upload(edge, c, begun.Add(uploadRunTime))
					return
				}
				time.Sleep(burstAfter)
				k.upload(edge, c, begun.Add(burstAfter+burstTime))
			})
		}
	}
	lookups := k.runLookups(k.edges, uploadRunTime)
	uploads.Wait()
	ending := 0
	for _, ends := range k.countEnds() {
		if ends > maxEnds {
			ending++
		}
	}
	record.add("%d machines had processes that ended by themselves three times or more; %d may", ending,
		maxEnding)
	return k.countCut(lookups) > maxCut || ending > maxEnding, nil
}

// uploadBody is the body of all large requests.
var uploadBody = make([]byte, uploadBytes)

// upload has a client send one large request after the other.
func (k *desk) upload(edge *machine, c int, end time.Time) {
	client := &http.Client{Timeout: 12 * time.Second}
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("upload-%s-%d-%d", edge.zone, c, n)
		body := &pacedBody{rest: bytes.NewReader(uploadBody)}
		status := send(client, k.address(edge, frontPort), "/help/x", id, "12000", body)
		k.record.add("client: %s ends with %d", id, status)
		if status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// pacedBody is a body that comes in chunks.
type pacedBody struct{ rest *bytes.Reader }

// Read returns the next chunk.
func (b *pacedBody) Read(buffer []byte) (int, error) {
	time.Sleep(uploadPause)
	return b.rest.Read(buffer[:min(len(buffer), uploadChunk)])
}

var _ io.Reader = (*pacedBody)(nil)

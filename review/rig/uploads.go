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
	usualUploads  = 11        // clients
	burstUploads  = 27        // clients, in the burst: 2.5 times as many
	burstAfter    = 6 * time.Second
	burstTime     = 10 * time.Second
	uploadChunk   = 100_000
	// uploadPause paces a body to 4 MB in a second, so that all clients together stay below the 1,000 Mbit/s of
	// a machine's link.
	uploadPause = 25 * time.Millisecond
)

// uploadsCase has many clients at once send bodies within max_body_bytes, while others look things up through the
// same edge.
func uploadsCase(root string, trouble bool, record *record) (bool, error) {
	k, err := startDesk(root, record, answerStream)
	if err != nil {
		return false, err
	}
	defer k.stop()
	watch := watchMemory(k.deployment, k.edge)
	begun := time.Now()
	var uploads sync.WaitGroup
	for c := range burstUploads {
		from, until := time.Duration(0), uploadRunTime
		if c >= usualUploads {
			if !trouble {
				break
			}
			from, until = burstAfter, burstAfter+burstTime
		}
		uploads.Go(func() {
			time.Sleep(from)
			k.upload(c, begun.Add(until))
		})
	}
	lookups := k.runLookups(uploadRunTime)
	uploads.Wait()
	return k.judgeLost(lookups, watch), nil
}

// upload has a client send one large request after the other.
func (k *desk) upload(c int, end time.Time) {
	client := &http.Client{Timeout: 12 * time.Second}
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("upload-%d-%d", c, n)
		body := &pacedBody{rest: bytes.NewReader(make([]byte, uploadBytes))}
		status := send(client, k.address(k.edge, frontPort), "/help/x", id, "12000", body)
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
